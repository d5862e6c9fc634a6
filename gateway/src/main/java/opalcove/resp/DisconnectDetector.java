package opalcove.resp;

import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import opalcove.lifecycle.Application;

/**
 * Detects that clients have disconnected. A close or a reset shows only in a read, and only behind all that was sent
 * before it. A connection that is read shows it within a turn of the event loop. One whose reading is paused is polled:
 * it is read from time to time, and right before an attempt is made for it, with its bytes buffered for later. Owned by
 * the event loop of the connections.
 */
final class DisconnectDetector {
    /** How often paused connections with open requests are polled: the requests of a disconnected client are ended. */
    private static final long POLL_MS = 100;
    /** Most bytes that polls may buffer until the connections are read again, of all together. */
    private static final int MAX_BUFFERED_BYTES = 2 * 1024 * 1024;

    private final Vertx vertx;
    private final LongSupplier readUpTo;
    private final LongSupplier unreadSince;
    private final Set<ConnectionInput> paused = new HashSet<>();
    private boolean isPollScheduled;
    private int bufferedBytes;

    /** Made on the event loop of the connections. */
    DisconnectDetector(Vertx vertx) {
        this.vertx = vertx;
        readUpTo = Application.readUpTo(vertx);
        unreadSince = Application.unreadSince(vertx);
    }

    /**
     * The input of one connection.
     *
     * @param hasOpenRequests a paused connection is polled only while this holds: nothing waits for its client
     *     otherwise
     */
    ConnectionInput input(RawSocket socket, RespDecoder decoder, BooleanSupplier hasOpenRequests) {
        return new ConnectionInput(this, socket, decoder, hasOpenRequests);
    }

    Vertx vertx() {
        return vertx;
    }

    /** Up to when the event loop has read the connections that are not paused, by {@link System#nanoTime}. */
    long readUpToNanos() {
        return readUpTo.getAsLong();
    }

    /** Since when what the event loop reads in this turn may have lain unread, by {@link System#nanoTime}. */
    long unreadSinceNanos() {
        return unreadSince.getAsLong();
    }

    /** Polls this connection from now on. */
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
        return bufferedBytes < MAX_BUFFERED_BYTES;
    }

    void addBuffered(int bytes) {
        bufferedBytes += bytes;
    }

    void removeBuffered(int bytes) {
        bufferedBytes -= bytes;
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
