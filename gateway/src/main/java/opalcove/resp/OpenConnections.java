package opalcove.resp;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import opalcove.core.RequestDispatcher;
import opalcove.metrics.ConnectionCloseReason;

/**
 * The open connections of one server. Closes connections without an open request when they are idle for too long or
 * their descriptors are needed. Owned by the server's event loop.
 */
final class OpenConnections {
    /** The idle timeout of a connection without an open request, whether new, idle or in the middle of a command. */
    static final long IDLE_TIMEOUT_MS = 2000;
    /** The same timeout during a drain: it leaves a new connection time to send its first command. */
    private static final long DRAIN_IDLE_TIMEOUT_MS = 200;
    /** How many connections are examined and found in use before a new one is rejected because the server is full. */
    private static final int MAX_CANDIDATES = 16;

    private final Set<ClientConnection> connections = new HashSet<>();
    private final int maxConnections;
    private final DrainState drain;
    private final RequestDispatcher dispatcher;

    /** Creates a set of up to maxConnections connections. */
    OpenConnections(int maxConnections, DrainState drain, RequestDispatcher dispatcher) {
        this.maxConnections = maxConnections;
        this.drain = drain;
        this.dispatcher = dispatcher;
    }

    int size() {
        return connections.size();
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    boolean isFull() {
        return connections.size() >= maxConnections;
    }

    void add(ClientConnection connection) {
        connections.add(connection);
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    /**
     * Closes the connections that have been idle for too long. Guards memory and descriptors against clients that stay
     * connected after one request, or without ever completing a command.
     */
    void closeIdle() {
        long timeoutMs = drain.isActive() ? DRAIN_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
        long idleSinceNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        for (ClientConnection each : List.copyOf(connections)) {
            each.countUnsent();
            boolean hasEnded = each.endIfStalled() || each.endIfUnread();
            if (!hasEnded && !each.hasOpenCommands() && each.lastUsedNanos() - idleSinceNanos < 0) {
                each.closeIfIdle(drain.isActive() ? ConnectionCloseReason.DRAINED : ConnectionCloseReason.IDLE);
            }
        }
    }

    /** Refuses requests that have waited for memory until shortly before their deadlines. */
    void refuseOverdue() {
        for (ClientConnection each : List.copyOf(connections)) {
            each.memory().refuseIfOverdue(drain.isProcessEnding());
        }
    }

    /**
     * Closes the connection that has been idle longest, to free its descriptor; a connection may be closed between
     * requests. Guards the descriptors that connections to backends need, and prevents connections whose clients have
     * vanished from filling the server.
     *
     * @return false if all connections are in use
     */
    boolean closeLongestIdle() {
        Set<ClientConnection> examined = new HashSet<>();
        while (examined.size() < MAX_CANDIDATES) {
            ClientConnection longestIdle = null;
            for (ClientConnection each : connections) {
                if (!each.hasOpenCommands()
                        && (longestIdle == null || each.lastUsedNanos() - longestIdle.lastUsedNanos() < 0)
                        && !examined.contains(each)) {
                    longestIdle = each;
                }
            }
            if (longestIdle == null) {
                return false;
            }
            if (longestIdle.closeIfIdle(ConnectionCloseReason.CAPACITY_NEEDED)) {
                dispatcher.clientConnectionClosedForDescriptors(false);
                return true;
            }
            // It stays open, because half a command or an unread request was found on it. The others are examined next.
            examined.add(longestIdle);
        }
        return false;
    }
}
