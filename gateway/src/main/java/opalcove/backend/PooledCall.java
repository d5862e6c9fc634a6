package opalcove.backend;

import opalcove.core.AttemptResult;
import opalcove.core.BackendTransport;
import opalcove.core.Request;
import opalcove.core.StreamedValue;
import opalcove.decision.AttemptStatus;

/** One attempt, from its wait for a connection to its result. Used on the event loop only. */
final class PooledCall implements BackendTransport.Attempt {
    private final BackendTransport.AttemptListener listener;
    private final Request request;
    private final double timeoutMs;
    private final long startedNanos = System.nanoTime();
    private PooledConnection connection;
    /** The deadline that its bytes pass on, ms. */
    private double deadlineMs;

    private boolean writeFailed;
    private boolean connecting;
    private boolean cancelled;
    /** Its bytes have not left and will not. */
    private boolean withdrawn;

    private boolean ended;

    PooledCall(Request request, double timeoutMs, BackendTransport.AttemptListener listener) {
        this.request = request;
        this.timeoutMs = timeoutMs;
        this.listener = listener;
    }

    Request request() {
        return request;
    }

    double ageMs() {
        return (System.nanoTime() - startedNanos) / 1e6;
    }

    /** A connection is being opened for it, or no longer is. */
    void setConnecting(boolean now) {
        connecting = now;
    }

    /** Whether it still waits for a connection; ends it as not sent where its request needs it no more. */
    boolean isStillWanted() {
        if (!ended && !cancelled && !listener.isStillWanted()) {
            finish(AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
        }
        return !ended && !cancelled;
    }

    /** The connection that was opened for it is up. */
    void connected(PooledConnection fresh) {
        // Guards against what may have changed while the connection came up: the backend was drained or has moved, the
        // client has disconnected or has its response, the window for a retry is over.
        if (cancelled || !listener.isStillWanted()) {
            fresh.makeIdle();
            finish(AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
        } else {
            sendOn(fresh);
        }
    }

    void sendOn(PooledConnection free) {
        connection = free;
        deadlineMs = Math.max(1, timeoutMs - ageMs());
        connection.send(this, deadlineMs);
    }

    boolean acceptsStreamedValue(StreamedValue value) {
        return !cancelled && listener.acceptsStreamedValue(value);
    }

    /** Whether its bytes may leave now. */
    boolean maySend() {
        return listener.maySend(deadlineMs);
    }

    /** Has its connection closed before its bytes leave. */
    void withdraw() {
        withdrawn = true;
        connection.close();
    }

    /** Its last byte was not written and never will be. */
    void writeFailed() {
        writeFailed = true;
    }

    /** Whether this gateway itself has given it up, so that the close of its connection says nothing of the backend. */
    boolean isAbandoned() {
        return cancelled || withdrawn;
    }

    /**
     * The connection ended under the attempt: before its last byte was written the backend cannot have run it. Only a
     * write that failed proves that; one whose outcome is not known yet may be on its way.
     */
    void connectionClosed() {
        AttemptStatus status;
        if (withdrawn) {
            status = AttemptStatus.NOT_SENT;
        } else if (cancelled) {
            status = AttemptStatus.CANCELLED;
        } else {
            status = writeFailed ? AttemptStatus.UNREACHABLE : AttemptStatus.BROKEN;
        }
        finish(AttemptResult.withoutReport(status));
    }

    void finish(AttemptResult result) {
        if (!ended) {
            ended = true;
            listener.onResult(result);
        }
    }

    @Override
    public void cancel() {
        cancelled = true;
        if (connection == null) {
            finish(AttemptResult.withoutReport(connecting ? AttemptStatus.UNREACHABLE : AttemptStatus.NOT_SENT));
        } else if (connection.carries(this)) {
            // The result waits for the close: a next attempt must not be out while this one is on an open connection.
            connection.close();
        }
    }
}
