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

    /** The preferred connection leaves one part in this many of the memory of polls to the others. */
    private static final int OTHERS_SHARE_DIVISOR = 8;

    private final Vertx vertx;
    private final LongSupplier readUpTo;
    private final LongSupplier unreadSince;
    private final Set<ConnectionInput> paused = new HashSet<>();
    private boolean isPollScheduled;
    private final MemoryBudget memory;
    private final Runnable checkIncomplete;
    /** The connection that may use more of the memory of polls than the others; null if there is none. */
    private ConnectionInput preferredInput;

    /**
     * To be called on the event loop of the connections.
     *
     * @param checkIncomplete is run each time an attempt is not made because more of its client's input is unread than
     *     may be buffered
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
     * are left to all others, so that one client cannot hide the disconnects of the others. One connection after the
     * other may have nearly all that is left: if each took only a part of it, the end of none might be reached.
     */
    boolean reserveBufferSpace(ConnectionInput input, int bytesOfConnection) {
        long availableBytes = memory.maxPolledBytes() - memory.undecodedBytes();
        if (bytesOfConnection < availableBytes) {
            return true;
        }
        if (preferredInput == null) {
            preferredInput = input;
        }
        return preferredInput == input && availableBytes > memory.maxPolledBytes() / OTHERS_SHARE_DIVISOR;
    }

    /** Called when the end of the input of a connection was reached, or polls of it do not buffer bytes any more. */
    void pollCompleted(ConnectionInput input) {
        if (preferredInput == input) {
            preferredInput = null;
        }
    }

    /** Counts a check that did not reach the end of the input of a connection. */
    void checkIncomplete() {
        checkIncomplete.run();
    }

    /** Counts bytes that wait to be decoded; a negative number counts bytes that have been. */
    void addUndecoded(int bytes) {
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
