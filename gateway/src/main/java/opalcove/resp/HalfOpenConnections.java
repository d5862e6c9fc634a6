package opalcove.resp;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The connections whose output the gateway has closed and which their clients have not closed yet, oldest first. Owned
 * by the server's event loop.
 */
final class HalfOpenConnections {
    /**
     * How long a connection stays half open, so that its client can read the responses and close it. Guards responses
     * that a slow client still reads from the kernel: input that arrives after a close resets the connection, and the
     * rest of them is lost.
     */
    private static final long TIMEOUT_MS = 10_000;
    /**
     * The same for a connection whose input is not read, so that its client's close would not be seen, and while the
     * process ends.
     */
    private static final long SHORT_TIMEOUT_MS = 250;
    /** The number of open connections per allowed half-open one. Limits the descriptors of half-open connections. */
    static final int OPEN_PER_HALF_OPEN = 8;

    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final int maxConnections;
    private final DrainState drain;

    /** Creates a set whose limit is derived from the maximum number of open connections. */
    HalfOpenConnections(int maxOpenConnections, DrainState drain) {
        maxConnections = maxFor(maxOpenConnections);
        this.drain = drain;
    }

    /** Returns how many connections may be half open in addition to this number of open ones. */
    static int maxFor(int maxOpenConnections) {
        return Math.max(1, maxOpenConnections / OPEN_PER_HALF_OPEN);
    }

    int size() {
        return connections.size();
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Adds a connection whose output is about to be closed, and closes another one if the limit is reached. */
    void add(ClientConnection connection) {
        if (connections.size() >= maxConnections) {
            closeOldest();
        }
        connections.add(connection);
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Closes the connections that have been half open for too long. */
    void closeExpired() {
        for (ClientConnection each : List.copyOf(connections)) {
            boolean isShort = drain.isProcessEnding() || each.input().isReadingStopped();
            long timeoutMs = isShort ? SHORT_TIMEOUT_MS : TIMEOUT_MS;
            if (System.nanoTime() - each.halfOpenSinceNanos() > TimeUnit.MILLISECONDS.toNanos(timeoutMs)) {
                each.close();
            }
        }
    }

    /**
     * Closes the oldest connection that has sent all its responses, or the oldest of all if there is none. Guards the
     * descriptors against clients that read nothing: a close that waits for their responses would never happen.
     */
    private void closeOldest() {
        // A connection that was closed in this turn remains in the set until its close is reported.
        List<ClientConnection> candidates =
                connections.stream().filter(ClientConnection::isOpen).toList();
        candidates.stream()
                .filter(each -> !each.hasPendingWrites())
                .findFirst()
                .or(() -> candidates.stream().findFirst())
                .ifPresent(ClientConnection::closeAndDiscard);
    }
}
