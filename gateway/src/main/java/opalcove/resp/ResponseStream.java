package opalcove.resp;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import opalcove.core.RequestHandle;
import opalcove.core.StreamedValue;
import org.tinylog.Logger;

/**
 * A streamed value that is written to its client while its backend sends it. Owned by the connection's event loop.
 *
 * <p>If the backend cuts off a value while it is written, the client's connection is closed, because the client cannot
 * detect in any other way that the value is incomplete. The requests behind the value would be lost with the
 * connection. Therefore, if requests behind it were read, the value is held back until it is complete, but only for as
 * long as a value may be held back that its backend still sends; it is written from then on. While it is written, no
 * further request is read.
 */
final class ResponseStream implements StreamedValue.Sink {
    /** For how long a value is held back that its backend still sends; its bytes may not be kept for 2 s. */
    private static final long MAX_HOLD_MS = 1500;
    /** A value is written this long before its request's deadline, because its first bytes have to come in time. */
    private static final long DEADLINE_MARGIN_MS = 50;
    /** A backend that has sent nothing for this long does not count as still sending. */
    private static final long STALL_MS = 500;
    /**
     * How long after the request's deadline the gateway waits for a value that is held back because its backend does
     * not send any more of it.
     */
    private static final long GRACE_MS = 200;
    /** The interval at which a value that is held back is examined. */
    private static final long CHECK_INTERVAL_MS = 50;

    private enum Phase {
        /** Earlier responses are due, or no byte has arrived. */
        WAITING,
        /** The value is the first response in order, and is held back for the requests behind it. */
        HELD_BACK,
        /** Its header has been written. */
        WRITING,
        /** The slot has another response, so that further parts of the value are dropped. */
        ABANDONED
    }

    private final PipelineSlot slot;
    private final ClientConnection connection;
    private final StreamedValue value;
    private Phase phase = Phase.WAITING;
    /** Until when the value is held back while its backend sends it, by {@link System#nanoTime}. */
    private long heldUntilNanos;
    /** When the last part arrived. */
    private long lastPartNanos;

    private boolean isCheckScheduled;
    /** Whether the backend is not read, because there is no memory for a value that is held back. */
    private boolean isPausedForMemory;
    /** Parts of the value that have arrived and are not written yet. */
    private final Deque<ByteBuf> pending = new ArrayDeque<>(4);

    private int pendingBytes;
    /** What of the pending bytes is reserved in the server's budget of values that are held back. */
    private int reservedBytes;
    /** What of the pending bytes is charged to the memory budget: all that is not reserved. */
    private int chargedBytes;

    ResponseStream(PipelineSlot slot, StreamedValue value) {
        this.slot = slot;
        this.value = value;
        connection = slot.connection();
    }

    boolean isWriting() {
        return phase == Phase.WRITING;
    }

    @Override
    public void onPart(ByteBuf bytes) {
        if (connection.isClosing() || phase == Phase.ABANDONED) {
            bytes.release();
            return;
        }
        lastPartNanos = System.nanoTime();
        ByteBuf part = connection.socket().compact(bytes);
        pending.add(part);
        pendingBytes += part.readableBytes();
        countPending();
        advance();
    }

    @Override
    public void onComplete() {
        if (!connection.isClosing() && phase != Phase.ABANDONED) {
            advance();
        }
    }

    /** If this response is the first in order, writes the parts that have arrived or waits for more. */
    void advance() {
        if (phase == Phase.ABANDONED || !connection.pipeline().isFirst(slot)) {
            return;
        }
        if (phase == Phase.WAITING) {
            leaveWaiting();
        }
        if (phase == Phase.HELD_BACK && mayBegin()) {
            begin();
        }
        if (phase == Phase.WRITING) {
            writePending();
        }
    }

    private void leaveWaiting() {
        boolean hasBytes = !pending.isEmpty() || value.isComplete();
        if (hasBytes && (value.isComplete() || connection.isOnlyCommandRead(slot))) {
            begin();
            return;
        }
        value.setReading(true);
        if (hasBytes) {
            holdBack();
        }
        scheduleCheck();
    }

    private void holdBack() {
        phase = Phase.HELD_BACK;
        double maxHoldMs = slot.request() == null ? MAX_HOLD_MS : slot.request().remainingMs() - DEADLINE_MARGIN_MS;
        long holdMs = (long) Math.max(0, Math.min(MAX_HOLD_MS, maxHoldMs));
        heldUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(holdMs);
    }

    /** Whether the time in which the value has to be complete or written is over. */
    private boolean isOverdue() {
        return slot.request() != null && slot.request().remainingMs() + GRACE_MS < 0;
    }

    /** Whether the backend of a value that is held back still sends it, or only waits until it is read again. */
    private boolean isStillSent() {
        boolean isRecent = System.nanoTime() - lastPartNanos < TimeUnit.MILLISECONDS.toNanos(STALL_MS);
        return phase == Phase.HELD_BACK && (isPausedForMemory || isRecent);
    }

    /** Whether a value that is held back is written now. */
    private boolean mayBegin() {
        if (value.isComplete()) {
            return true;
        }
        if (System.nanoTime() - heldUntilNanos >= 0 && isStillSent()) {
            Logger.debug("writing a value of {} bytes that its backend still sends", value.length());
            return true;
        }
        reserveOrPause();
        return false;
    }

    /** Reserves memory for the parts that are held back; without it, the backend is not read. */
    private void reserveOrPause() {
        int unreservedBytes = pendingBytes - reservedBytes;
        if (connection.server().streamBudget().reserve(unreservedBytes)) {
            reservedBytes += unreservedBytes;
            countPending();
            isPausedForMemory = false;
        } else {
            isPausedForMemory = true;
        }
        value.setReading(!isPausedForMemory);
    }

    /**
     * Examines a value periodically that is not being written. Guards its request, and those behind it, against a
     * backend that sends the rest late or never.
     */
    private void scheduleCheck() {
        if (isCheckScheduled) {
            return;
        }
        isCheckScheduled = true;
        connection.server().vertx().setTimer(CHECK_INTERVAL_MS, due -> {
            isCheckScheduled = false;
            if (!connection.isClosing() && !slot.isComplete() && phase != Phase.WRITING && phase != Phase.ABANDONED) {
                check();
            }
        });
    }

    private void check() {
        if (isOverdue() && !isStillSent()) {
            abandon("it is incomplete after its deadline");
            return;
        }
        advance();
        if (phase == Phase.WAITING || phase == Phase.HELD_BACK) {
            scheduleCheck();
        }
    }

    private void begin() {
        phase = Phase.WRITING;
        if (!value.isComplete()) {
            connection.input().suspend();
        }
        connection.socket().setMaxPendingBytes(2 * RespBackendConnection.READ_LIMIT_BYTES);
        RespWriter.writeHeader(connection.socket().reserve(RespWriter.MAX_HEADER_BYTES), '$', value.length());
    }

    private void writePending() {
        RawSocket socket = connection.socket();
        while (!pending.isEmpty() && socket.isWritable()) {
            ByteBuf part = pending.poll();
            pendingBytes -= part.readableBytes();
            countPending();
            socket.write(part);
        }
        if (pending.isEmpty() && value.isComplete()) {
            connection.pipeline().streamEnded(slot);
        } else {
            value.setReading(pending.isEmpty() && socket.isWritable());
        }
    }

    /**
     * Fails only this request: nothing of the value was written, so the connection and the requests behind it continue.
     */
    private void abandon(String cause) {
        Logger.warn("abandoning a streamed value of {} bytes: {}", value.length(), cause);
        phase = Phase.ABANDONED;
        RequestHandle request = slot.request();
        discard();
        connection.pipeline().writeLine(slot, "-ERR failed");
        if (request != null) {
            request.abortStreamedValue();
        }
    }

    /** Returns what is reserved beyond the pending bytes, and charges those that are not reserved. */
    private void countPending() {
        int excess = Math.max(0, reservedBytes - pendingBytes);
        reservedBytes -= excess;
        connection.server().streamBudget().release(excess);
        int chargedNow = pendingBytes - reservedBytes;
        connection.server().memory().recharge(chargedBytes, chargedNow);
        chargedBytes = chargedNow;
    }

    /** Releases the parts that have not been written. */
    void discard() {
        pending.forEach(ByteBuf::release);
        pending.clear();
        pendingBytes = 0;
        countPending();
    }

    @Override
    public void onTruncated() {
        slot.clearRequest();
        if (connection.isClosing() || phase == Phase.ABANDONED) {
            return;
        }
        if (phase == Phase.WRITING && !value.isComplete()) {
            Logger.warn("a streamed value was cut off by its backend while it was written");
            connection.endInIncompleteValue();
        } else {
            slot.discard();
            connection.pipeline().writeLine(slot, "-ERR failed");
        }
    }
}
