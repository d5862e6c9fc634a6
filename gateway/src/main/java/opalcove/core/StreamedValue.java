package opalcove.core;

import io.netty.buffer.ByteBuf;

/**
 * A value that is too long to be buffered and is forwarded while a backend sends it. Its parts are delivered in order,
 * on the event loop. The sink controls when reading continues, so that this process holds no more of the value than one
 * read returns.
 */
public interface StreamedValue {
    /** Returns the length of the complete value, bytes. */
    int length();

    /** Sets the receiver of the parts; called once, before the first part. */
    void deliverTo(Sink sink);

    /** Starts or stops reading. A part that was already read is still delivered. */
    void setReading(boolean enabled);

    /** Whether all parts have been delivered. */
    boolean isComplete();

    /** Receives a streamed value. */
    interface Sink {
        /** Receives the next part. The sink has to release the buffer. */
        void onPart(ByteBuf bytes);

        /** Called when all parts have been delivered. */
        void onComplete();

        /** Called when the value ends before all parts have been delivered. */
        void onTruncated();
    }
}
