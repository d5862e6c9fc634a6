package opalcove.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The idle connections to one backend, the most recently used first. The pool is retired when the endpoint list says
 * that the backend takes no new requests or has another address. Used on the event loop only.
 */
final class HostPool {
    final Deque<PooledConnection> idle = new ArrayDeque<>();
    /** Whether connections may still be added. */
    boolean acceptsConnections = true;

    /** Closes all idle connections; each is removed from the pool when it closes. */
    void closeIdle() {
        List.copyOf(idle).forEach(PooledConnection::close);
    }
}
