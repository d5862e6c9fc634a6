package opalcove.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import opalcove.decision.Admission;

/** The ledger of one ask: its attempts, the module's next step for it, and its final answer. */
final class Life {
    /** What the module wants done next. */
    sealed interface Step {
        /** An attempt at a node. */
        record SendTo(String node, double timeoutMs) implements Step { }

        /** The final answer. */
        record Final(Answer answer) implements Step { }
    }

    /** One attempt, in the module's numbering. */
    static final class Try {
        final AppNode node;
        final double sentAt;
        NodeLinks.Attempt running;
        Admission.Result result;

        Try(AppNode node, double sentAt) {
            this.node = node;
            this.sentAt = sentAt;
        }

        boolean ranMaybe() {
            return node != null && (result == null || !result.neverRan);
        }
    }

    final Ask ask;
    final Admission.RequestClass requestClass;
    final double takenAt;
    final List<Try> tries = new ArrayList<>(2);
    boolean over;
    Alarms.Alarm deadline;
    private Promise<Step> step = Promise.promise();

    Life(Ask ask, Admission.RequestClass requestClass, double takenAt) {
        this.ask = ask;
        this.requestClass = requestClass;
        this.takenAt = takenAt;
    }

    /** The module's next step, whenever it comes. */
    Future<Step> nextStep() {
        return step.future();
    }

    /** Hands over a step; the first final one ends the life, what comes later has no effect. */
    void decide(Step next) {
        if (over) {
            return;
        }
        over = next instanceof Step.Final;
        Promise<Step> waiting = step;
        step = Promise.promise();
        waiting.complete(next);
    }

    /** The terminal left: nobody waits for a step any more. */
    void abandon() {
        over = true;
        step.tryFail("the terminal has left");
    }

    boolean attemptOut() {
        return tries.stream().anyMatch(t -> t.result == null);
    }

    /** The first attempt that may have run, or null. */
    Try ranFirst() {
        return tries.stream().filter(Try::ranMaybe).findFirst().orElse(null);
    }
}
