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
    /** The deadline that the attempt forwards to the backend, ms. */
    private double deadlineMs;

    private boolean writeFailed;
    private boolean connecting;
    private boolean cancelled;
    /** Whether the attempt was stopped before its bytes were written. */
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

    /** Sets whether a connection is being opened for the attempt. */
    void setConnecting(boolean value) {
        connecting = value;
    }

    /** Whether the attempt still waits for a connection. Ends it as not sent if its request no longer needs it. */
    boolean isStillWanted() {
        if (!ended && !cancelled && !listener.isStillWanted()) {
            finish(AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
        }
        return !ended && !cancelled;
    }

    /** Called when the connection that was opened for the attempt has been established. */
    void connected(PooledConnection newConnection) {
        // While the connection was being opened, the backend may have been drained or moved, the client may have
        // disconnected or received its response, or the window for a retry may have passed.
        if (cancelled || !listener.isStillWanted()) {
            newConnection.makeIdle();
            finish(AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
        } else {
            sendOn(newConnection);
        }
    }

    void sendOn(PooledConnection available) {
        connection = available;
        deadlineMs = Math.max(1, timeoutMs - ageMs());
        connection.send(this, deadlineMs);
    }

    boolean acceptsStreamedValue(StreamedValue value) {
        return !cancelled && listener.acceptsStreamedValue(value);
    }

    boolean isNextResponse() {
        return listener.isNextResponse();
    }

    /** Whether the attempt's bytes may be written now. */
    boolean maySend() {
        return listener.maySend(deadlineMs);
    }

    /** Closes the connection before the attempt's bytes are written. */
    void withdraw() {
        withdrawn = true;
        connection.close();
    }

    /** Called when the attempt's last byte was not written and never will be. */
    void writeFailed() {
        writeFailed = true;
    }

    /**
     * Whether this gateway has cancelled or withdrawn the attempt, so that the close of its connection says nothing
     * about the backend.
     */
    boolean isAbandoned() {
        return cancelled || withdrawn;
    }

    /**
     * Called when the connection has closed during the attempt. If the last byte was not written, the backend cannot
     * have run the attempt. Only a failed write proves that; bytes of a write whose outcome is not known yet may still
     * reach the backend.
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
            // The result is reported only when the connection has closed. Otherwise the next attempt could be in flight
            // while this one is still on an open connection.
            connection.close();
        }
    }
}
