package opalcove.resp;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Connections whose output was closed here and which their clients have not closed yet, oldest first. Owned by the
 * server's event loop.
 */
final class HalfOpenConnections {
    /**
     * How long a connection stays half open, for its client to read what was written and close it. Guards the last
     * response: a socket closed with input unread is reset, and what was in flight to the client is dropped with it.
     */
    private static final long TIMEOUT_MS = 250;
    /** Guards the descriptors: one half-open connection is allowed for so many open ones. */
    static final int OPEN_PER_HALF_OPEN = 8;

    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final int maxConnections;

    /** Holds as many as go with this number of open connections. */
    HalfOpenConnections(int maxOpenConnections) {
        maxConnections = maxFor(maxOpenConnections);
    }

    /** How many connections may be half open beside so many open ones. */
    static int maxFor(int maxOpenConnections) {
        return Math.max(1, maxOpenConnections / OPEN_PER_HALF_OPEN);
    }

    int size() {
        return connections.size();
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Adds a connection whose output is about to be closed; another is closed where there are too many. */
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
            if (System.nanoTime() - each.halfOpenSinceNanos() > TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS)) {
                each.close();
            }
        }
    }

    /**
     * Closes the oldest connection, of those that have sent all their responses if there is one. Guards the descriptors
     * against a client that reads nothing, for which a close that waits for the responses would never come.
     */
    private void closeOldest() {
        // One that was closed in this turn is still among them until its close is reported.
        List<ClientConnection> candidates =
                connections.stream().filter(ClientConnection::isOpen).toList();
        candidates.stream()
                .filter(each -> !each.hasPendingWrites())
                .findFirst()
                .or(() -> candidates.stream().findFirst())
                .ifPresent(ClientConnection::closeAndDiscard);
    }
}
