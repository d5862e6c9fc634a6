package opalcove.decision;

import java.util.ArrayList;
import java.util.List;
import opalcove.decision.DecisionSettings.Plan;
import opalcove.decision.DecisionSettings.RequestClass;

/**
 * One request and its attempts. It alone says whether another attempt, a shed response or a failure keeps the rules of
 * the request's class. Owned by the thread that delivers the instance's events.
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

    /** The share of its units that has to be in its class's token bucket, drawn by chance. */
    final double tokenShare;

    /** What was left of the latency objective on arrival, ms: a client's retry shows its age by its smaller budget. */
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

    /** What is left of the client's time budget, ms. */
    double remainingBudgetMs() {
        return arrivedAtMs + request.budgetMs() - context.nowMs;
    }

    /** The response time to expect for its class and units, ms. */
    double expectedMs() {
        return context.responseTimes.expectedMs(classIndex, request.units());
    }

    /** How long it may be queued, ms: what is left of its objective once a usual response has had its time. */
    double maxQueueTimeMs() {
        double remainingMs = Math.min(remainingObjectiveMs, request.budgetMs());
        return Math.max(0, remainingMs - context.responseTimes.meanMs(classIndex) - expectedMs()) * 0.6;
    }

    /** Whether it has been queued for as long as it may be. */
    boolean isQueuedTooLong() {
        return context.nowMs - arrivedAtMs >= maxQueueTimeMs();
    }

    /** A Retry-After for a shed request, ms: drawn so that a retry may still be answered in time. */
    double drawRetryAfterMs() {
        double lastRetryMs = arrivedAtMs + remainingObjectiveMs - 2 * context.responseTimes.meanMs(classIndex);
        return context.random.nextDouble() * Math.max(0, lastRetryMs - context.nowMs);
    }

    /** The first attempt that may have run, or null. */
    AttemptState firstAttemptThatMayHaveRun() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).mayHaveRun) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** Whether the rules allow another attempt now. */
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

    /** Whether the rules allow the next attempt at this backend. */
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

    /** Whether the rules allow to shed the request, which promises that a retry is harmless. */
    boolean mayBeShed() {
        Idempotency idempotency = requestClass.idempotency();
        if (firstAttemptThatMayHaveRun() == null || idempotency == Idempotency.SAFE) {
            return true;
        }
        return idempotency == Idempotency.KEYED && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /** Whether an attempt went to this backend before. */
    boolean hasTried(BackendState backend) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).backend == backend) {
                return true;
            }
        }
        return false;
    }
}
