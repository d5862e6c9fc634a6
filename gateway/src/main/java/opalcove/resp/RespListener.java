package opalcove.resp;

import io.netty.buffer.ByteBuf;

/** Receives the values that a {@link RespDecoder} decodes, on the thread that calls the decoder. */
interface RespListener {
    /** Called when a value is complete; it may be examined only during this call. */
    void valueDecoded(RespDecoder value);

    /**
     * Called when a string that is too long to be buffered begins as the first item of an array. After all its parts
     * have been delivered, the array is decoded like any other, with an empty string in place of this one.
     *
     * @param length the length of the string, bytes
     * @return whether its parts are accepted
     */
    default boolean streamStarted(int length) {
        return false;
    }

    /** What becomes of a string for which memory has to be reserved. */
    enum MemoryDecision {
        /** Its memory is reserved. */
        RESERVED,
        /**
         * Decoding stops until {@link RespDecoder#continueDecoding} or {@link RespDecoder#skipString} is called; the
         * caller of the decoder keeps further bytes.
         */
        WAIT,
        /** Its bytes are dropped, as by {@link RespDecoder#skipString}. */
        SKIP
    }

    /** Whether memory is so scarce that it has to be reserved for this string of the value even if it is short. */
    default boolean reservesShortString(RespDecoder value) {
        return false;
    }

    /**
     * Called when a string begins that makes its value longer than {@link MemoryBudget#MAX_UNRESERVED_BYTES}, or for
     * which {@link #reservesShortString} holds; once for each value. The items decoded before may be examined only
     * during this call.
     *
     * @param length the length of the string, bytes
     */
    default MemoryDecision reserveMemory(RespDecoder value, int length) {
        return MemoryDecision.RESERVED;
    }

    /** Called with the next bytes of a streamed string; the listener must release them. */
    default void streamPart(ByteBuf bytes) {
        bytes.release();
    }

    /** Called when all bytes of a streamed string have been delivered. */
    default void streamEnded() {}

    /** Called once if the input is not RESP2 or exceeds a limit; no other method is called after this one. */
    void decodingFailed(String reason);
}
