package opalcove.core;

import opalcove.config.Backend;
import opalcove.decision.DecisionSettings;
import opalcove.decision.DeduplicationScope;
import opalcove.decision.Endpoint;
import opalcove.decision.Idempotency;
import opalcove.metrics.Invariant;

/**
 * The rules, checked once more outside the module: a slip in a decision must not become a second effect, a second copy
 * or work for a node that leaves. All that is sent passes here three times: when it is decided on, when its link has come up,
 * and when its bytes leave.
 */
final class AttemptGuard {
    /**
     * How much longer the deadline that a node is told may be than what its client has left, ms: a third of the rule's slack,
     * for a process that is held up between this check and the write.
     */
    private static final double DEADLINE_SLACK_MS = 50;
    /**
     * A repeat that would come to its node so shortly before the end of its window is not sent, ms: the time for which the
     * process may be held up between this check and the write.
     */
    private static final double WINDOW_MARGIN_MS = 150;

    /** Why something may not be done, and by which rule. */
    record Veto(Invariant invariant, String cause) {}

    private final EndpointList backends;
    /** Attempts that an ask may have, by the newest settings: fewer bind also the asks under way. */
    private int mostAttempts;
    /** Attempts of one ask that may be out at once, by the newest settings: two where they allow a second copy. */
    private int mostOut;

    AttemptGuard(DecisionSettings settings, EndpointList backends) {
        this.backends = backends;
        applyLimits(settings);
    }

    /** New settings are in force. */
    void applyLimits(DecisionSettings settings) {
        mostAttempts = settings.limits().maxAttempts();
        mostOut = settings.limits().secondCopies() ? 2 : 1;
    }

    /** Why this attempt may not be made, or null where it may. */
    Veto vetoAttempt(InFlightRequest inFlight, String backend, double now) {
        Backend target = backends.available(backend);
        if (target == null) {
            return new Veto(Invariant.LISTED, "the node list does not offer " + backend);
        }
        if (inFlight.attemptsOut() >= mostOut) {
            return new Veto(Invariant.ATTEMPTS, mostOut + " of its attempts still out");
        }
        if (inFlight.attempts.size() >= mostAttempts) {
            return new Veto(Invariant.ATTEMPTS, "it has had all its attempts");
        }
        return vetoRepeat(inFlight, inFlight.firstThatMayHaveRun(), target, now);
    }

    /** Why an attempt that was decided on may not be written any more, or null where it may. */
    Veto vetoAfterConnect(InFlightRequest inFlight, InFlightRequest.Attempt attempt, double now) {
        if (inFlight.over) {
            return new Veto(Invariant.CLIENT_WAITS, "it is over");
        }
        Backend target = backends.available(attempt.backend.name());
        if (target == null || !target.address().equals(attempt.backend.address())) {
            return new Veto(
                    Invariant.LISTED, "the node list does not offer " + attempt.backend.name() + " there any more");
        }
        InFlightRequest.Attempt first = inFlight.firstThatMayHaveRun();
        return vetoRepeat(inFlight, first == attempt ? null : first, target, now);
    }

    /** Why an attempt whose bytes tell its node to wait so long may not leave now, or null where it may. */
    Veto vetoWrite(InFlightRequest inFlight, InFlightRequest.Attempt attempt, double toldMs, double now) {
        double left = inFlight.acceptedAtMs + inFlight.request.timeoutMs() - now;
        if (toldMs > Math.max(0, left) + DEADLINE_SLACK_MS) {
            return new Veto(
                    Invariant.DEADLINE_PASSED_ON,
                    "held up, it tells " + (long) toldMs + " ms with " + (long) left + " left");
        }
        return vetoAfterConnect(inFlight, attempt, now);
    }

    private static Veto vetoRepeat(
            InFlightRequest inFlight, InFlightRequest.Attempt first, Backend target, double now) {
        DecisionSettings.RequestClass c = inFlight.requestClass;
        if (first == null || c.idempotency() == Idempotency.SAFE) {
            return null;
        }
        if (c.idempotency() == Idempotency.UNSAFE) {
            return new Veto(Invariant.REPEAT, "it may have run and must not be repeated");
        }
        if (now >= first.startedAtMs + c.windowMs() - Math.min(WINDOW_MARGIN_MS, c.windowMs() / 4)) {
            return new Veto(Invariant.REPEAT, "its repeat window is over");
        }
        Endpoint a = first.backend.host();
        Endpoint b = target.host();
        boolean shared =
                switch (c.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> a.zone().equals(b.zone());
                    case CELL -> a.cell() == b.cell();
                };
        return shared ? null : new Veto(Invariant.REPEAT, "a node outside its pod must not see it again");
    }

    /** Whether a refusal's promise, that trying again is harmless, may be given. */
    boolean mayRefuse(InFlightRequest inFlight) {
        DecisionSettings.RequestClass c = inFlight.requestClass;
        return inFlight.firstThatMayHaveRun() == null
                || c.idempotency() == Idempotency.SAFE
                || c.idempotency() == Idempotency.KEYED && c.deduplicationScope() == DeduplicationScope.ALL;
    }
}
