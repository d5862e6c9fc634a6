package opalcove.resp;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import opalcove.core.RequestHandle;
import opalcove.core.StreamedValue;
import org.tinylog.Logger;

/**
 * A streamed value that is written to its client while its backend sends it. Owned by the connection's event loop.
 *
 * <p>If the backend cuts off a value while it is written, the client's connection is closed, because the client cannot
 * detect in any other way that the value is incomplete. The requests behind the value would be lost with the
 * connection. Therefore, if requests behind it were read, the value is fully buffered before any of it is written;
 * otherwise no request is read until the value has been written.
 */
final class ResponseStream implements StreamedValue.Sink {
    /**
     * How long after the request's deadline the gateway waits for a value that has begun to arrive and is not being
     * written.
     */
    private static final long GRACE_MS = 200;

    private final PipelineSlot slot;
    private final ClientConnection connection;
    private final StreamedValue value;
    /** Whether the header of the value was written. */
    private boolean isWriting;
    /** Whether the value is written only once it is complete. */
    private boolean isFullyBuffered;
    /** Whether a timer limits the time until the value is complete; set when its response is the first in order. */
    private boolean hasTimeout;
    /** Whether the slot has another response, so that further parts of the value are dropped. */
    private boolean isAbandoned;
    /** Parts of the value that have arrived and are not written yet. */
    private final Deque<ByteBuf> pending = new ArrayDeque<>(4);
    /** The number of bytes reserved for the value in the server's buffer budget. */
    private int reservedBytes;

    private int pendingBytes;
    /** What of the pending bytes is charged to the memory budget: all, unless the value is fully buffered. */
    private int chargedBytes;

    ResponseStream(PipelineSlot slot, StreamedValue value) {
        this.slot = slot;
        this.value = value;
        connection = slot.connection();
    }

    boolean isWriting() {
        return isWriting;
    }

    @Override
    public void onPart(ByteBuf bytes) {
        if (connection.isClosing() || isAbandoned) {
            bytes.release();
        } else {
            ByteBuf part = connection.socket().compact(bytes);
            pending.add(part);
            countPending(part.readableBytes());
            advance();
        }
    }

    @Override
    public void onComplete() {
        if (!connection.isClosing() && !isAbandoned) {
            advance();
        }
    }

    /** If this response is the first in order, writes the parts that have arrived or waits for more. */
    void advance() {
        if (isAbandoned || !connection.pipeline().isFirst(slot)) {
            return;
        }
        if (!isWriting && !mayBegin()) {
            return;
        }
        if (!isWriting) {
            begin();
        }
        writePending();
    }

    private boolean mayBegin() {
        if (value.isComplete()) {
            return true;
        }
        if (!pending.isEmpty() && !isFullyBuffered && !connection.isOnlyCommandRead(slot)) {
            if (!connection.server().streamBudget().reserve(value.length())) {
                abandon("requests are behind it, and the buffer budget is used up");
                return false;
            }
            isFullyBuffered = true;
            reservedBytes = value.length();
        }
        value.setReading(true);
        boolean begins = !pending.isEmpty() && !isFullyBuffered;
        if (!begins) {
            setTimeout();
        }
        return begins;
    }

    /**
     * Guards the response against a backend that sends the rest of a value late: unless the value is being written, the
     * request must get a response in time.
     */
    private void setTimeout() {
        if (hasTimeout || slot.request() == null) {
            return;
        }
        hasTimeout = true;
        long timeoutMs = (long) Math.max(0, slot.request().remainingMs()) + GRACE_MS;
        connection.server().vertx().setTimer(timeoutMs, due -> {
            if (!isWriting && !isAbandoned && !value.isComplete() && !slot.isComplete() && !connection.isClosing()) {
                abandon("it is incomplete after its deadline");
            }
        });
    }

    private void begin() {
        isWriting = true;
        if (!value.isComplete()) {
            connection.input().suspend();
        }
        connection.socket().setMaxPendingBytes(2 * RespBackendConnection.READ_LIMIT_BYTES);
        RespWriter.writeHeader(connection.socket().reserve(RespWriter.MAX_HEADER_BYTES), '$', value.length());
    }

    private void writePending() {
        RawSocket socket = connection.socket();
        while (!pending.isEmpty() && (!value.isComplete() || socket.isWritable())) {
            ByteBuf part = pending.poll();
            releaseBudget(part.readableBytes());
            countPending(-part.readableBytes());
            socket.write(part);
        }
        if (pending.isEmpty() && value.isComplete()) {
            connection.pipeline().streamEnded(slot);
        } else {
            value.setReading(socket.isWritable());
        }
    }

    /**
     * Fails only this request: nothing of the value was written, so the connection and the requests behind it continue.
     */
    private void abandon(String cause) {
        Logger.warn("abandoning a streamed value of {} bytes: {}", value.length(), cause);
        isAbandoned = true;
        RequestHandle request = slot.request();
        discard();
        connection.pipeline().writeLine(slot, "-ERR failed");
        if (request != null) {
            request.abortStreamedValue();
        }
    }

    private void countPending(int addedBytes) {
        pendingBytes += addedBytes;
        int chargedNow = isFullyBuffered ? 0 : pendingBytes;
        connection.server().memory().recharge(chargedBytes, chargedNow);
        chargedBytes = chargedNow;
    }

    private void releaseBudget(int bytes) {
        int released = Math.min(reservedBytes, bytes);
        reservedBytes -= released;
        connection.server().streamBudget().release(released);
    }

    /** Releases the parts that have not been written. */
    void discard() {
        pending.forEach(ByteBuf::release);
        pending.clear();
        countPending(-pendingBytes);
        releaseBudget(reservedBytes);
    }

    @Override
    public void onTruncated() {
        slot.clearRequest();
        if (connection.isClosing() || isAbandoned) {
            return;
        }
        if (isWriting && !value.isComplete()) {
            Logger.warn("a streamed value was cut off by its backend while it was written");
            connection.endInIncompleteValue();
        } else {
            slot.discard();
            connection.pipeline().writeLine(slot, "-ERR failed");
        }
    }
}
