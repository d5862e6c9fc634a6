package opalcove.core;

import java.util.ArrayList;
import java.util.List;
import opalcove.config.Backend;
import opalcove.decision.AdmissionRequest;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;

/** One accepted request, with its attempts, its state and the handler of its response. Owned by the event loop. */
final class InFlightRequest implements RequestHandle {
    /**
     * The module's time budget ends this much before the client's deadline, ms. Without the margin, a pause of the
     * process or a slow wake-up of the machine would make the final response late.
     */
    private static final double MODULE_MARGIN_MS = 25;

    /** A value that is being streamed, and the attempt that delivers it. */
    record Streaming(Attempt attempt, StreamedValue value) {}

    /** One attempt. Its number is the one that the module uses for it. */
    final class Attempt implements BackendTransport.AttemptListener {
        final Backend backend;
        final int number;
        final double startedAtMs;
        BackendTransport.Attempt transportAttempt;
        AttemptStatus status;

        Attempt(Backend backend, double startedAtMs) {
            this.backend = backend;
            this.startedAtMs = startedAtMs;
            number = attempts.size();
        }

        /** Whether the backend may have executed the attempt. */
        boolean mayHaveRun() {
            return status == null || !status.neverRan;
        }

        @Override
        public boolean acceptsStreamedValue(StreamedValue value) {
            return lifecycle.streamedValueStarted(InFlightRequest.this, this, value);
        }

        @Override
        public boolean isNextResponse() {
            return handler.isNextResponse();
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
    /** The settings and module under which the request was accepted and is decided on until it ends. */
    final ConfigGeneration generation;

    final DecisionSettings.RequestClass requestClass;
    final double acceptedAtMs;
    final List<Attempt> attempts = new ArrayList<>(2);
    /**
     * Set once a value is being streamed: the response then comes from that attempt, and the request's deadline no
     * longer applies.
     */
    Streaming streaming;

    boolean finished;
    /** Whether the client disconnected before the request ended. */
    boolean clientDisconnected;
    /** Whether the request ends before the process does, because the response of a later request is waiting for it. */
    boolean expedited;

    private final RequestLifecycle lifecycle;
    private final ResponseHandler handler;
    private final TimerQueue.Timer deadlineTimer;
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
        deadlineTimer = new TimerQueue.Timer() {
            @Override
            void onExpiry() {
                lifecycle.deadlineExpired(InFlightRequest.this);
            }
        };
    }

    /** Returns the request in the form that the decision module takes. */
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

    /** Returns the timer that expires at the request's deadline, or earlier if the request is expedited. */
    TimerQueue.Timer deadlineTimer() {
        return deadlineTimer;
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
        if (!finished && streaming != null) {
            streaming.attempt().transportAttempt.cancel();
        }
    }

    @Override
    public void expedite() {
        lifecycle.expedite(this);
    }

    /** Returns the time left until the request's deadline at {@code nowMs}, ms; below 0 after the deadline. */
    double remainingMs(double nowMs) {
        return acceptedAtMs + request.timeoutMs() - nowMs;
    }

    /** Returns what is known of the client now. */
    ClientState clientState() {
        return handler.clientState();
    }

    /**
     * Binds the request to a value whose first bytes have arrived. Returns false if the handler does not accept the
     * value.
     */
    boolean acceptStreamedValue(Attempt attempt, StreamedValue value) {
        if (finished || streaming != null || attempt.status != null || !handler.acceptsStreamedValue(value)) {
            return false;
        }
        streaming = new Streaming(attempt, value);
        return true;
    }

    /** Ends the request with a response, or with none (null) if its client has disconnected. */
    void finish(Response response) {
        finished = true;
        if (response != null) {
            handler.onResponse(response);
        }
        releaseIfDone();
    }

    /** Releases the request once it has ended and no attempt is in flight that could still be written. */
    void releaseIfDone() {
        if (finished && !released && attemptsInFlight() == 0) {
            released = true;
            lifecycle.cancelDeadline(this);
            handler.onReleased();
        }
    }

    /** Returns how many attempts have not ended. */
    int attemptsInFlight() {
        int count = 0;
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).status == null) {
                count++;
            }
        }
        return count;
    }

    /** Returns the first attempt that a backend may have executed, or null. */
    Attempt firstAttemptThatMayHaveRun() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveRun()) {
                return attempts.get(i);
            }
        }
        return null;
    }
}
