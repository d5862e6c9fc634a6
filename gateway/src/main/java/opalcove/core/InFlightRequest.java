package opalcove.core;

import java.util.ArrayList;
import java.util.List;
import opalcove.config.Backend;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;

/** The ledger of one ask: its attempts, whether it is over, and who waits for its answer. */
final class InFlightRequest implements RequestDispatcher.RequestHandle {
    /** What the module wants done next. */
    sealed interface Step {
        /** An attempt at a node. */
        record Forward(String backend, double timeoutMs) implements Step {}

        /** The final answer. */
        record Respond(Response response) implements Step {}
    }

    /** A long value and the attempt that brings it. */
    record Streaming(Attempt attempt, StreamedValue value) {}

    /** One attempt, in the module's numbering. */
    final class Attempt implements BackendTransport.AttemptListener {
        final Backend backend;
        final int number;
        final double startedAtMs;
        BackendTransport.Attempt inProgress;
        AttemptStatus result;

        Attempt(Backend backend, double startedAtMs) {
            this.backend = backend;
            this.startedAtMs = startedAtMs;
            number = attempts.size();
        }

        boolean mayHaveRun() {
            return result == null || !result.neverRan;
        }

        @Override
        public boolean acceptsStreamedValue(StreamedValue value) {
            return lifecycle.valueBegan(InFlightRequest.this, this, value);
        }

        @Override
        public boolean isStillWanted() {
            return lifecycle.stillWanted(InFlightRequest.this, this);
        }

        @Override
        public boolean maySend(double deadlineMs) {
            return lifecycle.mayLeave(InFlightRequest.this, this, deadlineMs);
        }

        @Override
        public void onResult(AttemptResult result) {
            lifecycle.attemptEnded(InFlightRequest.this, this, result);
        }
    }

    final Request request;
    /** The settings and module that it was taken under, which decide on it to its end. */
    final RequestDispatcher.ConfigGeneration generation;

    final DecisionSettings.RequestClass requestClass;
    final double acceptedAtMs;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** The long value that is being passed on: the ask is bound to its attempt, and its deadline has been met. */
    Streaming streaming;

    boolean over;
    /** Its terminal left before it was over. */
    boolean clientLeft;
    /** It ends with the process: an ask that came after it may not wait longer. */
    boolean expedited;

    private final RequestDispatcher lifecycle;
    private final RequestDispatcher.ResponseHandler handler;
    private final TimerQueue.Timer deadline;
    private boolean released;

    InFlightRequest(
            RequestDispatcher gateway,
            RequestDispatcher.ConfigGeneration generation,
            Request request,
            DecisionSettings.RequestClass requestClass,
            RequestDispatcher.ResponseHandler handler,
            double acceptedAtMs) {
        this.lifecycle = gateway;
        this.generation = generation;
        this.request = request;
        this.requestClass = requestClass;
        this.handler = handler;
        this.acceptedAtMs = acceptedAtMs;
        deadline = new TimerQueue.Timer() {
            @Override
            void onExpiry() {
                gateway.overdue(InFlightRequest.this);
            }
        };
    }

    TimerQueue.Timer deadline() {
        return deadline;
    }

    /** The terminal has left: nobody waits for an answer any more. */
    @Override
    public void clientLeft() {
        lifecycle.leave(this);
    }

    @Override
    public double remainingMs() {
        return lifecycle.remainingMs(this);
    }

    @Override
    public void abortStreamedValue() {
        lifecycle.giveUpValue(this);
    }

    @Override
    public void expedite() {
        lifecycle.hurry(this);
    }

    /** Whether its client is still connected, as far as can be known now. */
    boolean isClientConnected() {
        return handler.isConnected();
    }

    /** Hands a long value on; tells whether the terminal's side takes it. */
    boolean stream(Attempt attempt, StreamedValue value) {
        if (over || streaming != null || attempt.result != null || !handler.acceptsStreamedValue(value)) {
            return false;
        }
        streaming = new Streaming(attempt, value);
        return true;
    }

    /** Ends the life with an answer, or with none for a terminal that left. */
    void finish(Response answer) {
        over = true;
        if (answer != null) {
            handler.onResponse(answer);
        }
        releaseIfDone();
    }

    /** Lets go of the ask once it is over and no attempt is out that could still be written. */
    void releaseIfDone() {
        if (over && !released && attemptsOut() == 0) {
            released = true;
            lifecycle.settled(this);
            handler.onReleased();
        }
    }

    int attemptsOut() {
        int out = 0;
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).result == null) {
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
