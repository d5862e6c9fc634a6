package opalcove.core;

import opalcove.config.Backend;
import opalcove.decision.DecisionSettings;
import opalcove.decision.DeduplicationScope;
import opalcove.decision.Endpoint;
import opalcove.decision.Idempotency;
import opalcove.metrics.Invariant;

/**
 * The invariants, checked once more outside the decision module: a wrong decision must not become a second effect, a
 * second concurrent attempt or work for a draining backend. All that is sent passes here three times: when it is
 * decided on, when its connection is up, and when its bytes leave. Used on the event loop only.
 */
final class AttemptGuard {
    /**
     * How much longer the deadline passed to a backend may be than what its client has left, ms: a third of the
     * allowed slack, for a process that is held up between this check and the write.
     */
    private static final double DEADLINE_SLACK_MS = 50;
    /**
     * A repeat that would reach its backend less than this before the end of its window is not sent, ms: the process
     * may be held up between this check and the write.
     */
    private static final double WINDOW_MARGIN_MS = 150;

    /** Why something may not be done, and the invariant that it would violate. */
    record Veto(Invariant invariant, String cause) {}

    private final EndpointList endpoints;
    /** Attempts that a request may have, by the newest settings: a lower number also binds requests in flight. */
    private int maxAttempts;
    /** Attempts of one request that may be in flight at once, by the newest settings: two where they allow hedging. */
    private int maxOutstanding;

    AttemptGuard(DecisionSettings settings, EndpointList endpoints) {
        this.endpoints = endpoints;
        applyLimits(settings);
    }

    /** Applies the limits of new settings. */
    void applyLimits(DecisionSettings settings) {
        maxAttempts = settings.limits().maxAttempts();
        maxOutstanding = settings.limits().mayHedge() ? 2 : 1;
    }

    /** Why this attempt may not be started, or null where it may. */
    Veto vetoAttempt(InFlightRequest inFlight, String backend, double nowMs) {
        Backend target = endpoints.available(backend);
        if (target == null) {
            return new Veto(Invariant.LISTED, "the endpoint list does not offer " + backend);
        }
        if (inFlight.attemptsOut() >= maxOutstanding) {
            return new Veto(Invariant.ATTEMPTS, maxOutstanding + " of its attempts still out");
        }
        if (inFlight.attempts.size() >= maxAttempts) {
            return new Veto(Invariant.ATTEMPTS, "it has had all its attempts");
        }
        return vetoRepeat(inFlight, inFlight.firstThatMayHaveRun(), target, nowMs);
    }

    /** Why an attempt that was decided on may not be written any more, or null where it may. */
    Veto vetoAfterConnect(InFlightRequest inFlight, InFlightRequest.Attempt attempt, double nowMs) {
        if (inFlight.over) {
            return new Veto(Invariant.CLIENT_WAITS, "it is over");
        }
        Backend target = endpoints.available(attempt.backend.name());
        if (target == null || !target.address().equals(attempt.backend.address())) {
            return new Veto(
                    Invariant.LISTED, "the endpoint list does not offer " + attempt.backend.name() + " there any more");
        }
        InFlightRequest.Attempt first = inFlight.firstThatMayHaveRun();
        return vetoRepeat(inFlight, first == attempt ? null : first, target, nowMs);
    }

    /** Why an attempt whose bytes pass on this deadline may not be sent now, or null where it may. */
    Veto vetoWrite(InFlightRequest inFlight, InFlightRequest.Attempt attempt, double deadlineMs, double nowMs) {
        double remainingMs = inFlight.remainingMs(nowMs);
        if (deadlineMs > Math.max(0, remainingMs) + DEADLINE_SLACK_MS) {
            return new Veto(
                    Invariant.DEADLINE_PASSED_ON,
                    "held up, it passes on " + (long) deadlineMs + " ms with " + (long) remainingMs + " left");
        }
        return vetoAfterConnect(inFlight, attempt, nowMs);
    }

    private static Veto vetoRepeat(
            InFlightRequest inFlight, InFlightRequest.Attempt first, Backend target, double nowMs) {
        DecisionSettings.RequestClass requestClass = inFlight.requestClass;
        if (first == null || requestClass.idempotency() == Idempotency.SAFE) {
            return null;
        }
        if (requestClass.idempotency() == Idempotency.UNSAFE) {
            return new Veto(Invariant.REPEAT, "it may have run and must not be repeated");
        }
        if (nowMs
                >= first.startedAtMs
                        + requestClass.windowMs()
                        - Math.min(WINDOW_MARGIN_MS, requestClass.windowMs() / 4)) {
            return new Veto(Invariant.REPEAT, "its repeat window is over");
        }
        Endpoint firstEndpoint = first.backend.endpoint();
        Endpoint nextEndpoint = target.endpoint();
        boolean shared =
                switch (requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> firstEndpoint.zone().equals(nextEndpoint.zone());
                    case CELL -> firstEndpoint.cell() == nextEndpoint.cell();
                };
        return shared
                ? null
                : new Veto(Invariant.REPEAT, "a backend outside its deduplication scope must not see it again");
    }

    /** Whether a refusal's promise, that trying again is harmless, may be given. */
    boolean mayRefuse(InFlightRequest inFlight) {
        DecisionSettings.RequestClass requestClass = inFlight.requestClass;
        return inFlight.firstThatMayHaveRun() == null
                || requestClass.idempotency() == Idempotency.SAFE
                || requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }
}
