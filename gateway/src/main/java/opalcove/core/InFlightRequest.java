package opalcove.core;

import java.util.ArrayList;
import java.util.List;
import opalcove.config.Backend;
import opalcove.decision.AdmissionRequest;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;

/**
 * One accepted request: its attempts, whether it is over, and the handler of its response. Owned by the event loop.
 */
final class InFlightRequest implements RequestHandle {
    /**
     * How much earlier than the client's deadline the module's budget ends, ms. Guards against a final response that is
     * late because the machine was: a pause of the process or a slow wake-up.
     */
    private static final double MODULE_MARGIN_MS = 25;

    /** A value that is being streamed, and the attempt that brings it. */
    record Streaming(Attempt attempt, StreamedValue value) {}

    /** One attempt, in the module's numbering. */
    final class Attempt implements BackendTransport.AttemptListener {
        final Backend backend;
        final int number;
        final double startedAtMs;
        BackendTransport.Attempt inProgress;
        AttemptStatus status;

        Attempt(Backend backend, double startedAtMs) {
            this.backend = backend;
            this.startedAtMs = startedAtMs;
            number = attempts.size();
        }

        /** Whether the backend may have executed it. */
        boolean mayHaveRun() {
            return status == null || !status.neverRan;
        }

        @Override
        public boolean acceptsStreamedValue(StreamedValue value) {
            return lifecycle.valueBegan(InFlightRequest.this, this, value);
        }

        @Override
        public boolean isStillWanted() {
            return lifecycle.isStillWanted(InFlightRequest.this, this);
        }

        @Override
        public boolean maySend(double deadlineMs) {
            return lifecycle.maySend(InFlightRequest.this, this, deadlineMs);
        }

        @Override
        public void onResult(AttemptResult result) {
            lifecycle.attemptEnded(InFlightRequest.this, this, result);
        }
    }

    final Request request;
    /** The settings and module that it was accepted under, which decide on it to its end. */
    final ConfigGeneration generation;

    final DecisionSettings.RequestClass requestClass;
    final double acceptedAtMs;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Set once a value is being streamed: the request is bound to that attempt, and its deadline has been met. */
    Streaming streaming;

    boolean over;
    /** Its client left before it was over. */
    boolean clientDisconnected;
    /** It ends with the process: a request that came after it may not wait longer. */
    boolean expedited;

    private final RequestLifecycle lifecycle;
    private final ResponseHandler handler;
    private final TimerQueue.Timer deadline;
    private boolean released;

    InFlightRequest(
            RequestLifecycle lifecycle,
            ConfigGeneration generation,
            Request request,
            DecisionSettings.RequestClass requestClass,
            ResponseHandler handler,
            double acceptedAtMs) {
        this.lifecycle = lifecycle;
        this.generation = generation;
        this.request = request;
        this.requestClass = requestClass;
        this.handler = handler;
        this.acceptedAtMs = acceptedAtMs;
        deadline = new TimerQueue.Timer() {
            @Override
            void onExpiry() {
                lifecycle.deadlineExpired(InFlightRequest.this);
            }
        };
    }

    /** What the decision module needs to know of it. */
    AdmissionRequest admissionRequest() {
        return new AdmissionRequest(
                request.id(),
                request.requestClass(),
                request.plan(),
                request.tenant(),
                request.units(),
                Math.max(1, request.timeoutMs() - MODULE_MARGIN_MS),
                request.gatewayCount(),
                request.retry());
    }

    /** Expires at its deadline, or earlier where it is expedited. */
    TimerQueue.Timer deadline() {
        return deadline;
    }

    @Override
    public void clientDisconnected() {
        lifecycle.clientDisconnected(this);
    }

    @Override
    public double remainingMs() {
        return lifecycle.remainingMs(this);
    }

    @Override
    public void abortStreamedValue() {
        if (!over && streaming != null) {
            streaming.attempt().inProgress.cancel();
        }
    }

    @Override
    public void expedite() {
        lifecycle.expedite(this);
    }

    /** How much of its time is left then, ms; below 0 once it is over. */
    double remainingMs(double nowMs) {
        return acceptedAtMs + request.timeoutMs() - nowMs;
    }

    /** Whether its client is still connected, as far as can be known now. */
    boolean isClientConnected() {
        return handler.isConnected();
    }

    /** Binds the request to a value that has begun to come; false where the handler does not take it. */
    boolean stream(Attempt attempt, StreamedValue value) {
        if (over || streaming != null || attempt.status != null || !handler.acceptsStreamedValue(value)) {
            return false;
        }
        streaming = new Streaming(attempt, value);
        return true;
    }

    /** Ends the request with a response, or with none for a client that left. */
    void finish(Response response) {
        over = true;
        if (response != null) {
            handler.onResponse(response);
        }
        releaseIfDone();
    }

    /** Releases the request once it is over and no attempt is out that could still be written. */
    void releaseIfDone() {
        if (over && !released && attemptsOut() == 0) {
            released = true;
            lifecycle.cancelDeadline(this);
            handler.onReleased();
        }
    }

    /** How many attempts have not ended. */
    int attemptsOut() {
        int out = 0;
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).status == null) {
                out++;
            }
        }
        return out;
    }

    /** The first attempt that may have run, or null. */
    Attempt firstThatMayHaveRun() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveRun()) {
                return attempts.get(i);
            }
        }
        return null;
    }
}
