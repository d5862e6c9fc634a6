package opalcove.resp;

import io.netty.buffer.ByteBuf;

/** Notified of the values that a {@link RespDecoder} decodes, on the thread that feeds it. */
interface RespListener {
    /** A value is complete; it can be examined during this call. */
    void valueDecoded(RespDecoder value);

    /**
     * A string of that many bytes, too long to be buffered, begins as the first item of an array; tells whether its
     * parts are accepted. Once they have all been given the array is decoded as any other, with an empty string in that
     * place.
     */
    default boolean streamStarted(int length) {
        return false;
    }

    /** The next bytes of such a string; they are the listener's to release. */
    default void streamPart(ByteBuf bytes) {
        bytes.release();
    }

    /** All bytes of such a string have been given. */
    default void streamEnded() {}

    /** The input is not RESP2, or exceeds a limit; called once, and nothing after it. */
    void decodingFailed(String reason);
}
