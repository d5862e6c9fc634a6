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
        record SendTo(String backend, double timeoutMs) implements Step {}

        /** The final answer. */
        record Final(Response answer) implements Step {}
    }

    /** A long value and the attempt that brings it. */
    record Passing(Attempt attempt, StreamedValue value) {}

    /** One attempt, in the module's numbering. */
    final class Attempt implements BackendTransport.Ended {
        final Backend backend;
        final int number;
        final double sentAt;
        BackendTransport.Attempt running;
        AttemptStatus result;

        Attempt(Backend backend, double sentAt) {
            this.backend = backend;
            this.sentAt = sentAt;
            number = attempts.size();
        }

        boolean ranMaybe() {
            return result == null || !result.neverRan;
        }

        @Override
        public boolean began(StreamedValue value) {
            return gateway.valueBegan(InFlightRequest.this, this, value);
        }

        @Override
        public boolean stillWanted() {
            return gateway.stillWanted(InFlightRequest.this, this);
        }

        @Override
        public boolean mayLeave(double toldMs) {
            return gateway.mayLeave(InFlightRequest.this, this, toldMs);
        }

        @Override
        public void ended(AttemptResult end) {
            gateway.attemptEnded(InFlightRequest.this, this, end);
        }
    }

    final Request request;
    /** The settings and module that it was taken under, which decide on it to its end. */
    final RequestDispatcher.ConfigGeneration generation;

    final DecisionSettings.RequestClass requestClass;
    final double takenAt;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** The long value that is being passed on: the ask is bound to its attempt, and its deadline has been met. */
    Passing passing;

    boolean over;
    /** Its terminal left before it was over. */
    boolean left;
    /** It ends with the process: an ask that came after it may not wait longer. */
    boolean hurried;

    private final RequestDispatcher gateway;
    private final RequestDispatcher.ResponseHandler responseHandler;
    private final TimerQueue.Alarm deadline;
    private boolean settled;

    InFlightRequest(
            RequestDispatcher gateway,
            RequestDispatcher.ConfigGeneration generation,
            Request request,
            DecisionSettings.RequestClass requestClass,
            RequestDispatcher.ResponseHandler responseHandler,
            double takenAt) {
        this.gateway = gateway;
        this.generation = generation;
        this.request = request;
        this.requestClass = requestClass;
        this.responseHandler = responseHandler;
        this.takenAt = takenAt;
        deadline = new TimerQueue.Alarm() {
            @Override
            void ring() {
                gateway.overdue(InFlightRequest.this);
            }
        };
    }

    TimerQueue.Alarm deadline() {
        return deadline;
    }

    /** The terminal has left: nobody waits for an answer any more. */
    @Override
    public void leave() {
        gateway.leave(this);
    }

    @Override
    public double remainingMs() {
        return gateway.remainingMs(this);
    }

    @Override
    public void giveUpValue() {
        gateway.giveUpValue(this);
    }

    @Override
    public void hurry() {
        gateway.hurry(this);
    }

    /** Whether its client is still connected, as far as can be known now. */
    boolean isConnected() {
        return responseHandler.isConnected();
    }

    /** Hands a long value on; tells whether the terminal's side takes it. */
    boolean pass(Attempt attempt, StreamedValue begun) {
        if (over || passing != null || attempt.result != null || !responseHandler.passes(begun)) {
            return false;
        }
        passing = new Passing(attempt, begun);
        return true;
    }

    /** Ends the life with an answer, or with none for a terminal that left. */
    void finish(Response answer) {
        over = true;
        if (answer != null) {
            responseHandler.answered(answer);
        }
        settleIfDone();
    }

    /** Lets go of the ask once it is over and no attempt is out that could still be written. */
    void settleIfDone() {
        if (over && !settled && attemptsOut() == 0) {
            settled = true;
            gateway.settled(this);
            responseHandler.settled();
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
    Attempt ranFirst() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).ranMaybe()) {
                return attempts.get(i);
            }
        }
        return null;
    }
}
