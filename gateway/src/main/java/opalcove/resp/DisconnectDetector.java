package opalcove.resp;

import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import opalcove.lifecycle.Application;

/**
 * Detects that clients have disconnected. A close or a reset is detected only by a read, and only after all bytes sent
 * before it have been read. On a connection that is being read this takes at most a turn of the event loop. A
 * connection whose reading is paused is polled: it is read to its end periodically and right before an attempt is made
 * for it, and its bytes are buffered for later. Owned by the event loop of the connections.
 */
final class DisconnectDetector {
    /**
     * The interval at which paused connections with open requests are polled, to cancel those of disconnected clients.
     */
    private static final long POLL_MS = 100;

    private final Vertx vertx;
    private final LongSupplier readUpTo;
    private final LongSupplier unreadSince;
    private final Set<ConnectionInput> paused = new HashSet<>();
    private boolean isPollScheduled;
    private final MemoryBudget memory;
    private final Runnable checkIncomplete;
    private int bufferedBytes;

    /**
     * To be called on the event loop of the connections.
     *
     * @param checkIncomplete is run each time it is not known whether the client of an attempt is still connected,
     *     because more of its input is unread than may be buffered
     */
    DisconnectDetector(Vertx vertx, MemoryBudget memory, Runnable checkIncomplete) {
        this.checkIncomplete = checkIncomplete;
        this.vertx = vertx;
        this.memory = memory;
        readUpTo = Application.readUpTo(vertx);
        unreadSince = Application.unreadSince(vertx);
    }

    /**
     * Creates the input of one connection.
     *
     * @param hasOpenRequests whether requests of the client are open; a paused connection is polled only while this is
     *     true, because nothing waits for the client otherwise
     */
    ConnectionInput input(RawSocket socket, RespDecoder decoder, BooleanSupplier hasOpenRequests) {
        return new ConnectionInput(this, socket, decoder, hasOpenRequests);
    }

    Vertx vertx() {
        return vertx;
    }

    /** Returns up to when the event loop has read the connections that are not paused, by {@link System#nanoTime}. */
    long readUpToNanos() {
        return readUpTo.getAsLong();
    }

    /**
     * Returns since when bytes read in this turn of the event loop may have been unread, by {@link System#nanoTime}.
     */
    long unreadSinceNanos() {
        return unreadSince.getAsLong();
    }

    /** Starts polling this connection. */
    void addPaused(ConnectionInput input) {
        paused.add(input);
        if (!isPollScheduled) {
            schedulePoll();
        }
    }

    void removePaused(ConnectionInput input) {
        paused.remove(input);
    }

    /**
     * Whether a poll may buffer more bytes of a connection that has this many already. A connection may have as many as
     * are left to all others, so that one client cannot hide the disconnects of the others.
     */
    boolean hasBufferSpace(int bytesOfConnection) {
        return bytesOfConnection < memory.maxPolledBytes() - bufferedBytes;
    }

    void checkIncomplete() {
        checkIncomplete.run();
    }

    /** Counts buffered bytes; a negative number counts bytes that are buffered no longer. */
    void addBuffered(int bytes) {
        bufferedBytes += bytes;
        memory.addUndecoded(bytes);
    }

    private void schedulePoll() {
        isPollScheduled = true;
        vertx.setTimer(POLL_MS, due -> pollPaused());
    }

    private void pollPaused() {
        for (ConnectionInput each : List.copyOf(paused)) {
            if (each.hasOpenRequests() && !each.isSuspended()) {
                each.poll();
            }
        }
        isPollScheduled = false;
        if (!paused.isEmpty()) {
            schedulePoll();
        }
    }
}
