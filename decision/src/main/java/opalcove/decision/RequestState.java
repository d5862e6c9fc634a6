package opalcove.decision;

import java.util.ArrayList;
import java.util.List;
import opalcove.decision.DecisionSettings.Plan;
import opalcove.decision.DecisionSettings.RequestClass;

/**
 * A request and its attempts. Only this class decides whether another attempt, a shed response or a failure complies
 * with the rules of the request's class. Owned by the thread that delivers the instance's events.
 */
final class RequestState {
    private final DecisionContext context;
    final AdmissionRequest request;
    final RequestClass requestClass;
    final Plan plan;
    final int classIndex;
    final TenantQuota tenant;
    final double arrivedAtMs;
    final List<AttemptState> attempts = new ArrayList<>(2);
    final List<Long> timerTokens = new ArrayList<>(2);

    /** The random share of its units that the token bucket of its class has to hold. */
    final double tokenShare;

    /**
     * The remaining part of the latency objective on arrival, ms. The smaller budget of a client's retry shows the time
     * that has passed since the initial request.
     */
    final double remainingObjectiveMs;

    ClassQueue queue;
    int inFlight;
    boolean finished;
    boolean queued;
    boolean streaming;

    RequestState(
            DecisionContext context,
            AdmissionRequest request,
            int classIndex,
            int planIndex,
            TenantQuota tenant,
            ClientRetryDetector retries) {
        this.context = context;
        this.request = request;
        this.classIndex = classIndex;
        this.tenant = tenant;
        arrivedAtMs = context.nowMs;
        tokenShare = context.random.nextDouble();
        plan = context.settings.plans().get(planIndex);
        requestClass = context.settings.classes().get(classIndex);
        double elapsedMs = Math.max(0, requestClass.deadlineMs() - request.budgetMs());
        boolean isRetry = request.retry() || !retries.recordBudget(request.budgetMs() / requestClass.deadlineMs());
        remainingObjectiveMs = requestClass.objectiveMs() - (isRetry ? elapsedMs : 0);
    }

    /** The remaining part of the client's time budget, ms. */
    double remainingBudgetMs() {
        return arrivedAtMs + request.budgetMs() - context.nowMs;
    }

    /** The expected response time for its class and units, ms. */
    double expectedMs() {
        return context.responseTimes.expectedMs(classIndex, request.units());
    }

    /**
     * The maximum time in the queue, ms: a part of the latency objective that remains after the mean response time of
     * the class and the expected response time of the request.
     */
    double maxQueueTimeMs() {
        double remainingMs = Math.min(remainingObjectiveMs, request.budgetMs());
        return Math.max(0, remainingMs - context.responseTimes.meanMs(classIndex) - expectedMs()) * 0.6;
    }

    /** Whether the request has been queued for the maximum time. */
    boolean isQueuedTooLong() {
        return context.nowMs - arrivedAtMs >= maxQueueTimeMs();
    }

    /** Draws a random Retry-After for a shed request, ms, after which a retry may still receive a response in time. */
    double drawRetryAfterMs() {
        double lastRetryMs = arrivedAtMs + remainingObjectiveMs - 2 * context.responseTimes.meanMs(classIndex);
        return context.random.nextDouble() * Math.max(0, lastRetryMs - context.nowMs);
    }

    /** Returns the first attempt that may have run, or null if there is none. */
    AttemptState firstAttemptThatMayHaveRun() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveRun) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** Whether the rules of the class allow another attempt now. */
    boolean mayStartAttempt() {
        if (finished || streaming || attempts.size() >= context.limits.maxAttempts()) {
            return false;
        }
        if (inFlight > 0 && !context.limits.mayHedge()) {
            return false;
        }
        AttemptState firstAttempt = firstAttemptThatMayHaveRun();
        if (firstAttempt == null || requestClass.idempotency() == Idempotency.SAFE) {
            return true;
        }
        double windowEndMs = firstAttempt.startedAtMs + requestClass.windowMs();
        return requestClass.idempotency() == Idempotency.KEYED
                && context.nowMs + context.settings.tickMs() < windowEndMs;
    }

    /** Whether the rules of the class allow the next attempt at this backend. */
    boolean mayUse(BackendState backend) {
        AttemptState firstAttempt = firstAttemptThatMayHaveRun();
        if (firstAttempt == null
                || requestClass.idempotency() == Idempotency.SAFE
                || requestClass.deduplicationScope() == DeduplicationScope.ALL) {
            return true;
        }
        Endpoint firstEndpoint = firstAttempt.backend.endpoint;
        return requestClass.deduplicationScope() == DeduplicationScope.ZONE
                ? firstEndpoint.zone().equals(backend.endpoint.zone())
                : firstEndpoint.cell() == backend.endpoint.cell();
    }

    /** Whether the rules of the class allow shedding the request, which promises that a retry is harmless. */
    boolean mayBeShed() {
        Idempotency idempotency = requestClass.idempotency();
        if (firstAttemptThatMayHaveRun() == null || idempotency == Idempotency.SAFE) {
            return true;
        }
        return idempotency == Idempotency.KEYED && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /** Whether an earlier attempt was sent to this backend. */
    boolean hasTried(BackendState backend) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).backend == backend) {
                return true;
            }
        }
        return false;
    }
}
