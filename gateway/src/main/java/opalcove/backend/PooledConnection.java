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
    private boolean hasDeliveredReply;
    private boolean closed;
    /** When the last reply arrived, for the settling queue. */
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

    /** Whether the connection carries this call, and not a later one. */
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

    /** Whether this connection has been idle for longer than the other one. */
    boolean isIdleLongerThan(PooledConnection other) {
        return idleSinceNanos - other.idleSinceNanos < 0;
    }

    /** Makes the connection available for reuse, or closes it if it may not be reused. */
    void makeIdle() {
        if (closed) {
            return;
        }
        if (hostPool.acceptsConnections && pool.mayKeepIdle()) {
            idleSinceNanos = System.nanoTime();
            hostPool.idle.addFirst(this);
        } else {
            // A new backend at the same address must not get a connection to its predecessor, and a drained backend
            // must get no further attempts. When nearly all connections are open, an idle one would block the way to
            // other backends.
            connection.close();
        }
    }

    @Override
    public boolean acceptsStreamedValue(StreamedValue value) {
        return call != null && call.acceptsStreamedValue(value);
    }

    @Override
    public boolean isNextResponse() {
        return call == null || call.isNextResponse();
    }

    @Override
    public void onReply(AttemptResult result) {
        PooledCall completed = call;
        if (completed == null) {
            closeForStrayReply();
            return;
        }
        call = null;
        hasDeliveredReply = true;
        pool.settle(this);
        completed.finish(result);
    }

    @Override
    public void onPartialReply() {
        if (call == null) {
            closeForStrayReply();
        }
    }

    /**
     * Closes a connection on which a reply, or a part of one, belongs to no attempt. Guards the next attempt: the stray
     * reply would be taken for the reply to it.
     */
    private void closeForStrayReply() {
        pool.reusePolicy().strayReplyReceived();
        connection.close();
    }

    /**
     * Stops an attempt whose client disconnected in the same turn that sent it, or that was delayed before its bytes
     * were written.
     */
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
            if (hasDeliveredReply && !call.isAbandoned()) {
                pool.suspendReuse();
            }
            call.connectionClosed();
        }
    }
}
