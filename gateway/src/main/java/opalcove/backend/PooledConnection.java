package opalcove.backend;

import opalcove.core.AttemptResult;
import opalcove.core.StreamedValue;

/** A connection of the pool and the attempt that it carries. Used on the event loop only. */
final class PooledConnection implements BackendConnection.Listener {
    private final ConnectionPool pool;
    private final HostPool hostPool;
    private final BackendConnection connection;
    private PooledCall call;
    private long idleSinceNanos;
    private boolean used;
    private boolean closed;
    /** When its last reply came, for the settling queue. */
    long repliedAtNanos;

    PooledConnection(ConnectionPool pool, HostPool hostPool, BackendConnection connection) {
        this.pool = pool;
        this.hostPool = hostPool;
        this.connection = connection;
        connection.setListener(this);
    }

    /** Sends the call's request with this deadline, by the end of this turn of the event loop. */
    void send(PooledCall next, double deadlineMs) {
        call = next;
        connection.send(next.request(), deadlineMs);
    }

    /** Whether it carries this call and no later one. */
    boolean carries(PooledCall other) {
        return call == other;
    }

    boolean isAlive() {
        return connection.isAlive();
    }

    void close() {
        connection.close();
    }

    double idleMs(long nowNanos) {
        return (nowNanos - idleSinceNanos) / 1e6;
    }

    /** Whether it has been idle for longer than the other one. */
    boolean isIdleLongerThan(PooledConnection other) {
        return idleSinceNanos - other.idleSinceNanos < 0;
    }

    /** Lets it be used again, or closes it where it may not be. */
    void makeIdle() {
        if (closed) {
            return;
        }
        if (hostPool.open && pool.mayKeepIdle()) {
            idleSinceNanos = System.nanoTime();
            hostPool.idle.addFirst(this);
        } else {
            // Guards also a new backend at the same address, and a drained one, against connections of the one that
            // left, and the way to other backends where nearly all connections are open.
            connection.close();
        }
    }

    @Override
    public boolean acceptsStreamedValue(StreamedValue value) {
        return call != null && call.acceptsStreamedValue(value);
    }

    @Override
    public void onReply(AttemptResult result) {
        PooledCall done = call;
        if (done == null) {
            // Guards the next attempt against a reply that belongs to none.
            pool.reusePolicy().strayReply();
            connection.close();
            return;
        }
        call = null;
        used = true;
        pool.settle(this);
        done.finish(result);
    }

    /** Guards an attempt whose client left in the very turn that sent it, or that was held up before its bytes left. */
    @Override
    public boolean maySend() {
        if (call == null || call.maySend()) {
            return true;
        }
        if (call != null) {
            call.withdraw();
        }
        return false;
    }

    @Override
    public void onWriteFailed() {
        if (call != null) {
            call.writeFailed();
        }
    }

    @Override
    public void onClosed() {
        closed = true;
        pool.connectionClosed();
        hostPool.idle.remove(this);
        if (call != null) {
            if (used && !call.isAbandoned()) {
                pool.suspendReuse();
            }
            call.connectionClosed();
        }
    }
}
