package opalcove.decision;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Handles each admitted request until its final response: it queues the request, starts the first attempt, retries and
 * hedged requests, and sheds or fails the request if no backend served it. Owned by the thread that delivers the
 * instance's events.
 */
final class RequestForwarder {
    /** The interval at which queued requests are checked if there are no other events, ms. */
    private static final double QUEUE_INTERVAL_MS = 20;

    /** A backend is silent if it has not responded for longer than this, ms. */
    private static final double SILENT_MS = 250;

    private final DecisionContext context;
    private final QuotaController quotas;
    private final CapacityController capacity;
    private final PressureMonitor pressure;
    private final StallDetector stalls;
    private final BackendSelector selector;
    private final BackendHealth health;
    private final RequestTimers timers;
    private final RetryBudget retryBudget = new RetryBudget();
    private final Map<String, RequestState> requests = new HashMap<>();
    private boolean queueTimerSet;

    RequestForwarder(
            DecisionContext context,
            QuotaController quotas,
            CapacityController capacity,
            PressureMonitor pressure,
            StallDetector stalls,
            BackendSelector selector,
            BackendHealth health,
            RequestTimers timers) {
        this.context = context;
        this.quotas = quotas;
        this.capacity = capacity;
        this.pressure = pressure;
        this.stalls = stalls;
        this.selector = selector;
        this.health = health;
        this.timers = timers;
    }

    /** Returns the request with this id, or null once it has ended and none of its attempts is in flight. */
    RequestState find(String requestId) {
        return requests.get(requestId);
    }

    /** Adds a request. It receives its final response shortly before its budget ends at the latest. */
    void add(RequestState state) {
        requests.put(state.request.requestId(), state);
        double budgetMs = state.request.budgetMs();
        timers.set(RequestTimers.DEADLINE, state, Math.max(0, budgetMs - 2 * context.settings.tickMs()));
    }

    /**
     * Starts an attempt, or queues the request if no backend is available. The first attempt is charged to the quota
     * and the ceiling.
     */
    void forward(RequestState state) {
        if (state.finished) {
            return;
        }
        if (!state.mayStartAttempt()) {
            if (state.inFlight == 0) {
                endUnserved(state);
            }
            return;
        }
        BackendState backend = selector.select(state);
        if (backend == null) {
            queue(state);
            return;
        }
        if (state.attempts.isEmpty()) {
            quotas.charge(state);
            retryBudget.earn();
        }
        state.attempts.add(new AttemptState(backend, context.nowMs, state.expectedMs()));
        state.inFlight++;
        capacity.attemptStarted(state.request.units());
        state.tenant.inFlight++;
        health.attemptStarted(backend, state);
        context.actions.startAttempt(state.request.requestId(), backend.endpoint.id(), 0);
        timers.set(RequestTimers.SLOW_ATTEMPT, state, slowAfterMs(state));
    }

    /** The age from which an attempt counts as slow, ms. */
    private double slowAfterMs(RequestState state) {
        double usualMs = context.responseTimes.meanMs(state.classIndex);
        return Math.min(state.requestClass.objectiveMs() * 0.5, usualMs * 4)
                + Math.max(0, state.expectedMs() - usualMs);
    }

    /** Queues a request that may still be forwarded. Any other request without attempts in flight ends immediately. */
    void queue(RequestState state) {
        if (state.finished || state.queued) {
            return;
        }
        if (state.isQueuedTooLong()) {
            if (state.inFlight == 0) {
                endUnserved(state);
            }
            return;
        }
        state.queued = true;
        state.queue.add(state);
        setQueueTimer();
    }

    private void setQueueTimer() {
        if (!queueTimerSet) {
            context.actions.setTimer(RequestTimers.QUEUES, QUEUE_INTERVAL_MS);
        }
        queueTimerSet = true;
    }

    /** Records that the timer of the queues expired. */
    void queueTimerExpired() {
        queueTimerSet = false;
    }

    /** Releases queued requests, those of the highest weight first, and ends those that were queued for too long. */
    void releaseQueued() {
        boolean stillQueued = false;
        for (ClassQueue queue : capacity.queuesByWeight()) {
            if (!queue.requests.isEmpty()) {
                release(queue);
                stillQueued |= !queue.requests.isEmpty();
            }
        }
        if (stillQueued) {
            setQueueTimer();
        }
    }

    private void release(ClassQueue queue) {
        for (Iterator<RequestState> iterator = queue.requests.iterator(); iterator.hasNext(); ) {
            RequestState state = iterator.next();
            boolean queuedTooLong = state.isQueuedTooLong();
            boolean released = !state.finished
                    && !queuedTooLong
                    && quotas.fits(state)
                    && (!state.attempts.isEmpty() || capacity.tryTake(state, true));
            if (!state.finished && !queuedTooLong && !released) {
                continue;
            }
            iterator.remove();
            state.queued = false;
            queue.queuedUnits -= state.request.units();
            if (released) {
                forward(state);
            }
            if (queuedTooLong && !state.finished && state.inFlight == 0) {
                endUnserved(state);
            }
        }
    }

    /** Records the outcome of an attempt, and retries or ends the request if no other attempt is in flight. */
    void attemptEnded(RequestState state, AttemptOutcome outcome) {
        AttemptState attempt = state.attempts.get(outcome.attempt());
        attempt.ended = true;
        attempt.mayHaveRun = !outcome.status().neverRan;
        state.inFlight--;
        capacity.attemptEnded();
        state.tenant.inFlight--;
        health.attemptEnded(attempt, outcome, state);
        quotas.recordUsage(state.tenant, state.request.units(), outcome.usedPercent(), outcome.trueUnits());
        if (!state.finished) {
            capacity.recordOutcome(outcome, state);
        }
        if (outcome.requestEnded()) {
            finish(state);
        }
        if (!state.finished && state.inFlight == 0) {
            retryOrEnd(state, outcome.status());
        }
        if (state.finished && state.inFlight == 0) {
            requests.remove(outcome.requestId());
        }
    }

    /**
     * Starts another attempt of a request that has no response and no attempt in flight, if the rules, the retry budget
     * and the capacity allow it; otherwise ends the request.
     */
    private void retryOrEnd(RequestState state, AttemptStatus lastStatus) {
        boolean addsLoad = !lastStatus.neverRan && lastStatus != AttemptStatus.CANCELLED;
        if (state.remainingBudgetMs() <= 2 * context.settings.tickMs()
                || !state.mayStartAttempt()
                || addsLoad && (!retryBudget.hasToken() || capacity.isBounded())) {
            endUnserved(state);
            return;
        }
        if (addsLoad) {
            retryBudget.spend();
        }
        if (lastStatus == AttemptStatus.REJECTED && state.attempts.size() > 1) {
            queue(state);
        } else {
            forward(state);
        }
    }

    /**
     * Handles a slow attempt: records a sign of pressure, and then hedges or retries the request if the plan, the
     * class, the limits and the retry budget allow it.
     */
    void slowAttemptDetected(RequestState state) {
        if (stalls.isRecovering(context.nowMs)) {
            return;
        }
        for (AttemptState attempt : state.attempts) {
            if (!attempt.ended && context.nowMs - attempt.startedAtMs > 0.9 * slowAfterMs(state)) {
                pressure.recordSign(attempt, context.nowMs);
            }
        }
        // Hedged requests would add load where all backends are slow, so there are none while there is another sign.
        if (state.inFlight != 1 || capacity.isBounded() || !retryBudget.hasToken() || pressure.hasSeveralSigns()) {
            return;
        }
        if (state.plan.maxInFlight() > 0 || state.requestClass.idempotency() == Idempotency.UNSAFE) {
            return;
        }
        if (context.limits.mayHedge()) {
            hedge(state);
        } else {
            cancelAtSilentBackend(state);
        }
    }

    private void hedge(RequestState state) {
        BackendState backend = state.mayStartAttempt() ? selector.select(state) : null;
        if (backend != null && selector.expectedWaitMs(backend, state) * 2 < selector.longestWaitMs(state)) {
            retryBudget.spend();
            forward(state);
        }
    }

    /** Cancels the last attempt if its backend is silent, so that the outcome leads to a retry. */
    private void cancelAtSilentBackend(RequestState state) {
        int lastAttempt = state.attempts.size() - 1;
        boolean silent = context.nowMs - state.attempts.get(lastAttempt).backend.respondedAtMs > SILENT_MS;
        if (!context.limits.mayCancel() || lastAttempt + 1 >= context.limits.maxAttempts() || !silent) {
            return;
        }
        retryBudget.spend();
        context.actions.cancelAttempt(state.request.requestId(), lastAttempt);
    }

    /** Ends a request that no backend served: sheds it if it may be shed, and fails it otherwise. */
    void endUnserved(RequestState state) {
        if (!state.mayBeShed()) {
            context.actions.fail(state.request.requestId());
        } else {
            context.actions.shed(state.request.requestId(), context.limits.retryAfter() ? state.drawRetryAfterMs() : 0);
        }
        close(state);
    }

    /** Sheds a request before its first attempt, which the rules of all classes allow. */
    void shed(RequestState state, double retryAfterMs) {
        context.actions.shed(state.request.requestId(), context.limits.retryAfter() ? retryAfterMs : 0);
        close(state);
    }

    /** Closes a request that has its final response, or whose client disconnected. */
    void close(RequestState state) {
        finish(state);
        if (state.inFlight == 0) {
            requests.remove(state.request.requestId());
        }
    }

    /** Cancels the timers of a request and, if cancelling is allowed, its attempts in flight. */
    private void finish(RequestState state) {
        if (state.finished) {
            return;
        }
        state.finished = true;
        timers.cancelAll(state);
        if (!context.limits.mayCancel()) {
            return;
        }
        for (int i = 0; i < state.attempts.size(); i++) {
            if (!state.attempts.get(i).ended) {
                context.actions.cancelAttempt(state.request.requestId(), i);
            }
        }
    }
}
