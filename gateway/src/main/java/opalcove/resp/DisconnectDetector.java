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
 * connection whose reading is paused is polled: it is read periodically and right before an attempt is made for it, and
 * its bytes are buffered for later. Owned by the event loop of the connections.
 */
final class DisconnectDetector {
    /**
     * The interval at which paused connections with open requests are polled, to cancel those of disconnected clients.
     */
    private static final long POLL_MS = 100;
    /** The maximum number of bytes that polls buffer until the connections are read again, over all connections. */
    static final int MAX_BUFFERED_BYTES = 2 * 1024 * 1024;

    private final Vertx vertx;
    private final LongSupplier readUpTo;
    private final LongSupplier unreadSince;
    private final Set<ConnectionInput> paused = new HashSet<>();
    private boolean isPollScheduled;
    private final MemoryBudget memory;
    private final int maxBufferedBytes = MemoryBudget.maxPolledBytes();
    private int bufferedBytes;

    /** To be called on the event loop of the connections. */
    DisconnectDetector(Vertx vertx, MemoryBudget memory) {
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

    boolean hasBufferSpace() {
        return bufferedBytes < maxBufferedBytes;
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
            if (each.hasOpenRequests()) {
                each.poll();
            }
        }
        isPollScheduled = false;
        if (!paused.isEmpty()) {
            schedulePoll();
        }
    }
}
