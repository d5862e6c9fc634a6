package opalcove.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The idle connections to one backend, the latest first. It is retired once the list has the backend take no new requests,
 * or has it elsewhere. Used on the event loop only.
 */
final class HostPool {
    final Deque<PooledConnection> idle = new ArrayDeque<>();
    /** Whether connections may still become idle here. */
    boolean open = true;

    /** Closes all idle connections; each leaves the pool as it closes. */
    void closeIdle() {
        List.copyOf(idle).forEach(PooledConnection::close);
    }
}
