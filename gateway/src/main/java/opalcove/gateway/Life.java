package opalcove.gateway;

import java.util.ArrayList;
import java.util.List;
import opalcove.decision.Admission;

/** The ledger of one ask: its attempts, whether it is over, and who waits for its answer. */
final class Life implements Gateway.UnderWay {
    /** What the module wants done next. */
    sealed interface Step {
        /** An attempt at a node. */
        record SendTo(String node, double timeoutMs) implements Step {}

        /** The final answer. */
        record Final(Answer answer) implements Step {}
    }

    /** A long value and the attempt that brings it. */
    record Passing(Try attempt, LongValue value) {}

    /** One attempt, in the module's numbering. */
    final class Try implements NodeLinks.Ended {
        final AppNode node;
        final int number;
        final double sentAt;
        NodeLinks.Attempt running;
        Admission.Result result;

        Try(AppNode node, double sentAt) {
            this.node = node;
            this.sentAt = sentAt;
            number = tries.size();
        }

        boolean ranMaybe() {
            return result == null || !result.neverRan;
        }

        @Override
        public boolean began(LongValue value) {
            return gateway.valueBegan(Life.this, this, value);
        }

        @Override
        public boolean stillWanted() {
            return gateway.stillWanted(Life.this, this);
        }

        @Override
        public boolean mayLeave(double toldMs) {
            return gateway.mayLeave(Life.this, this, toldMs);
        }

        @Override
        public void ended(NodeEnd end) {
            gateway.attemptEnded(Life.this, this, end);
        }
    }

    final Ask ask;
    /** The settings and module that it was taken under, which decide on it to its end. */
    final Gateway.Generation generation;

    final Admission.RequestClass requestClass;
    final double takenAt;
    final List<Try> tries = new ArrayList<>(2);
    /** The long value that is being passed on: the ask is bound to its attempt, and its deadline has been met. */
    Passing passing;

    boolean over;
    /** Its terminal left before it was over. */
    boolean left;
    /** It ends with the process: an ask that came after it may not wait longer. */
    boolean hurried;

    private final Gateway gateway;
    private final Gateway.Asker asker;
    private final Alarms.Alarm deadline;
    private boolean settled;

    Life(
            Gateway gateway,
            Gateway.Generation generation,
            Ask ask,
            Admission.RequestClass requestClass,
            Gateway.Asker asker,
            double takenAt) {
        this.gateway = gateway;
        this.generation = generation;
        this.ask = ask;
        this.requestClass = requestClass;
        this.asker = asker;
        this.takenAt = takenAt;
        deadline = new Alarms.Alarm() {
            @Override
            void ring() {
                gateway.overdue(Life.this);
            }
        };
    }

    Alarms.Alarm deadline() {
        return deadline;
    }

    /** The terminal has left: nobody waits for an answer any more. */
    @Override
    public void leave() {
        gateway.leave(this);
    }

    @Override
    public double leftMs() {
        return gateway.leftMs(this);
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
        return asker.isConnected();
    }

    /** Hands a long value on; tells whether the terminal's side takes it. */
    boolean pass(Try attempt, LongValue begun) {
        if (over || passing != null || attempt.result != null || !asker.passes(begun)) {
            return false;
        }
        passing = new Passing(attempt, begun);
        return true;
    }

    /** Ends the life with an answer, or with none for a terminal that left. */
    void finish(Answer answer) {
        over = true;
        if (answer != null) {
            asker.answered(answer);
        }
        settleIfDone();
    }

    /** Lets go of the ask once it is over and no attempt is out that could still be written. */
    void settleIfDone() {
        if (over && !settled && attemptsOut() == 0) {
            settled = true;
            gateway.settled(this);
            asker.settled();
        }
    }

    int attemptsOut() {
        int out = 0;
        for (int i = 0; i < tries.size(); i++) {
            if (tries.get(i).result == null) {
                out++;
            }
        }
        return out;
    }

    /** The first attempt that may have run, or null. */
    Try ranFirst() {
        for (int i = 0; i < tries.size(); i++) {
            if (tries.get(i).ranMaybe()) {
                return tries.get(i);
            }
        }
        return null;
    }
}
