package opalcove.core;

import opalcove.config.Backend;
import opalcove.decision.DecisionSettings;
import opalcove.decision.DeduplicationScope;
import opalcove.decision.Endpoint;
import opalcove.decision.Idempotency;
import opalcove.metrics.Invariant;

/**
 * Checks the invariants a second time, outside the decision module, so that a wrong decision cannot cause a second
 * effect, a second concurrent attempt or work for a draining backend. Each attempt is checked three times: when it is
 * chosen, when its connection is established, and when its bytes are written. Used on the event loop only.
 */
final class AttemptGuard {
    /**
     * The deadline that is forwarded to a backend may exceed the client's remaining time by this much, ms. It is a
     * third of the allowed slack and covers a process that is delayed between this check and the write.
     */
    private static final double DEADLINE_SLACK_MS = 50;
    /**
     * A repeat is not sent in this last part of its window, ms, because the process may be delayed between this check
     * and the write.
     */
    private static final double REPEAT_WINDOW_MARGIN_MS = 150;

    /** The reason why an action is not allowed, and the invariant that the action would violate. */
    record Veto(Invariant invariant, String cause) {}

    private final EndpointList endpoints;
    /**
     * The maximum number of attempts of a request, from the newest settings. A lower number also applies to requests in
     * flight.
     */
    private int maxAttempts;
    /**
     * The maximum number of concurrent attempts of one request, from the newest settings: 2 if they allow hedging, else
     * 1.
     */
    private int maxConcurrentAttempts;

    AttemptGuard(DecisionSettings settings, EndpointList endpoints) {
        this.endpoints = endpoints;
        applyLimits(settings);
    }

    /** Applies the limits of new settings, also to requests in flight. */
    void applyLimits(DecisionSettings settings) {
        maxAttempts = settings.limits().maxAttempts();
        maxConcurrentAttempts = settings.limits().mayHedge() ? 2 : 1;
    }

    /** Returns the reason why this attempt may not be started, or null if it may. */
    Veto vetoAttempt(InFlightRequest inFlight, String backend, double nowMs) {
        Backend target = endpoints.available(backend);
        if (target == null) {
            return new Veto(Invariant.LISTED, "the endpoint list does not offer backend " + backend);
        }
        if (inFlight.attemptsInFlight() >= maxConcurrentAttempts) {
            return new Veto(
                    Invariant.ATTEMPTS, maxConcurrentAttempts + " of its attempts in flight, which is the limit");
        }
        if (inFlight.attempts.size() >= maxAttempts) {
            return new Veto(Invariant.ATTEMPTS, "maximum number of attempts reached");
        }
        return vetoRepeat(inFlight, inFlight.firstAttemptThatMayHaveRun(), target, nowMs);
    }

    /**
     * Returns the reason why an attempt that was chosen earlier may no longer be written to its new connection, or null
     * if it may.
     */
    Veto vetoAfterConnect(InFlightRequest inFlight, InFlightRequest.Attempt attempt, double nowMs) {
        if (inFlight.finished) {
            return new Veto(Invariant.CLIENT_WAITS, "the request has ended");
        }
        Backend target = endpoints.available(attempt.backend.name());
        if (target == null || !target.address().equals(attempt.backend.address())) {
            return new Veto(
                    Invariant.LISTED,
                    "the endpoint list no longer offers backend " + attempt.backend.name() + " at this address");
        }
        InFlightRequest.Attempt first = inFlight.firstAttemptThatMayHaveRun();
        return vetoRepeat(inFlight, first == attempt ? null : first, target, nowMs);
    }

    /** Returns the reason why an attempt that forwards this deadline may not be written now, or null if it may. */
    Veto vetoWrite(InFlightRequest inFlight, InFlightRequest.Attempt attempt, double deadlineMs, double nowMs) {
        double remainingMs = inFlight.remainingMs(nowMs);
        if (deadlineMs > Math.max(0, remainingMs) + DEADLINE_SLACK_MS) {
            return new Veto(
                    Invariant.DEADLINE_PASSED_ON,
                    "delayed write: the forwarded deadline is " + (long) deadlineMs + " ms with " + (long) remainingMs
                            + " ms left");
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
            return new Veto(Invariant.REPEAT, "an earlier attempt may have run and must not be repeated");
        }
        if (nowMs
                >= first.startedAtMs
                        + requestClass.windowMs()
                        - Math.min(REPEAT_WINDOW_MARGIN_MS, requestClass.windowMs() / 4)) {
            return new Veto(Invariant.REPEAT, "the repeat window of its class has expired");
        }
        Endpoint firstEndpoint = first.backend.endpoint();
        Endpoint nextEndpoint = target.endpoint();
        boolean inScope =
                switch (requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> firstEndpoint.zone().equals(nextEndpoint.zone());
                    case CELL -> firstEndpoint.cell() == nextEndpoint.cell();
                };
        return inScope
                ? null
                : new Veto(Invariant.REPEAT, "a backend outside its deduplication scope must not receive it again");
    }

    /** Whether the request may be refused. A refusal promises that trying again is harmless. */
    boolean mayRefuse(InFlightRequest inFlight) {
        DecisionSettings.RequestClass requestClass = inFlight.requestClass;
        return inFlight.firstAttemptThatMayHaveRun() == null
                || requestClass.idempotency() == Idempotency.SAFE
                || requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }
}
