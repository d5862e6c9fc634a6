package opalcove.core;

import io.netty.buffer.ByteBuf;

/**
 * A value too long to be gathered, passed on while an app node gives it. Its parts come in order, on the event loop; who
 * takes them says when to go on reading, so that no more of it is held here than one read brings.
 */
public interface StreamedValue {
    /** The whole value's length, bytes. */
    int length();

    /** Names who takes the parts; called once, before any part. */
    void deliverTo(Sink sink);

    /** Whether more of it is read; a part that was read already still comes. */
    void setReading(boolean yes);

    /** Whether all of it has come. */
    boolean isComplete();

    /** Takes a long value. */
    interface Sink {
        /** The next part; it is the sink's to release. */
        void onPart(ByteBuf bytes);

        /** All parts have come. */
        void onComplete();

        /** No more will come, and what came is not all. */
        void onTruncated();
    }
}
