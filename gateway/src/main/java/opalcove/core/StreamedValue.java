package opalcove.core;

import io.netty.buffer.ByteBuf;

/**
 * A value too long to be gathered, forwarded while a backend sends it. Its parts come in order, on the event loop; the
 * sink says when to read on, so that no more of it is held here than one read brings.
 */
public interface StreamedValue {
    /** The length of the complete value, bytes. */
    int length();

    /** Sets the receiver of the parts; called once, before any part. */
    void deliverTo(Sink sink);

    /** Starts or stops reading; a part that was read already is still delivered. */
    void setReading(boolean enabled);

    /** Whether all of it has come. */
    boolean isComplete();

    /** Receives a streamed value. */
    interface Sink {
        /** The next part; it is the sink's to release. */
        void onPart(ByteBuf bytes);

        /** All parts have come. */
        void onComplete();

        /** No more will come, and what came is not all. */
        void onTruncated();
    }
}
