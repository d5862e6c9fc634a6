package opalcove.resp;

import io.netty.buffer.ByteBuf;
import opalcove.core.StreamedValue;

/**
 * A long value that arrives on a backend connection and is delivered part by part. It owns its state, because its
 * client may read it long after it is complete, when the connection already carries the next value: from then on it has
 * no access to the connection. Owned by the connection's event loop.
 */
final class ReplyStream implements StreamedValue {
    /** The backend connection, as far as a value may control it. */
    interface ReadControl {
        /** Starts or stops reading the connection. */
        void setReading(boolean enabled);
    }

    private final int length;
    /** Controls the connection while the value arrives; null from its end on. */
    private ReadControl readControl;

    private Sink sink;
    private boolean isComplete;

    ReplyStream(int length, ReadControl readControl) {
        this.length = length;
        this.readControl = readControl;
    }

    @Override
    public int length() {
        return length;
    }

    @Override
    public void deliverTo(Sink newSink) {
        sink = newSink;
    }

    @Override
    public void setReading(boolean enabled) {
        if (readControl != null) {
            readControl.setReading(enabled);
        }
    }

    @Override
    public boolean isComplete() {
        return isComplete;
    }

    /** Delivers the next part. */
    void deliver(ByteBuf part) {
        sink.onPart(part);
    }

    /** Called when all parts have been delivered. */
    void complete() {
        isComplete = true;
        readControl = null;
        sink.onComplete();
    }

    /** Called when the connection has closed; it has no effect on a complete value. */
    void connectionClosed() {
        readControl = null;
        if (!isComplete && sink != null) {
            sink.onTruncated();
        }
    }
}
