package opalcove.decision;

/**
 * The slow start of newly started backends. Each has a budget of work that follows its ramp, in proportion to the pace
 * of warm backends. Owned by the thread that delivers the instance's events.
 */
final class SlowStart {
    private final DecisionContext context;

    /**
     * The load that a warming-up backend may receive, as a multiple of its ramp. It may exceed 1, because real ramps
     * are seldom the slowest possible.
     */
    private final double rampMargin;

    /** Moving mean of the work that warm backends complete, ms of response time per ms and unit of size. */
    private double pace;

    private double paceSamples;
    private double meanSize = 1;
    private int warmCount;

    /** Work that warm backends completed in this interval, ms of response time. */
    private double completedWorkMs;

    /** Work of one complete request of the slowest class, ms of response time. */
    private double largestRequestMs;

    SlowStart(DecisionContext context) {
        this.context = context;
        rampMargin = Math.min(1.2, 0.5 * context.obligations.overloadFactor());
        largestRequestMs = context.responseTimes.largestMeanMs();
    }

    /** Begins the slow start of a backend that started at this time, ms. */
    void begin(BackendState backend, double startedAtMs) {
        backend.startedAtMs = startedAtMs;
        // The initial budget is random. Otherwise all gateways would send to the backend at the same time, and none
        // would send before each of them had accumulated the budget of a complete request.
        backend.slowStartBudgetMs = context.random.nextDouble() * largestRequestMs;
        backend.slowness = 1;
        backend.failures = 0;
        backend.ejectedUntilMs = 0;
    }

    /** Whether the backend started so recently that it may not be warm yet. */
    boolean isWarmingUp(BackendState backend) {
        return context.nowMs - backend.startedAtMs < context.obligations.warmAfterMs();
    }

    /** Whether a warming-up backend has too little budget for another request. */
    boolean isExhausted(BackendState backend) {
        return backend.slowStartBudgetMs < largestRequestMs;
    }

    /** The share of its capacity that a warming-up backend has reached on its ramp. */
    double rampShare(BackendState backend) {
        double initialShare = context.obligations.initialShare();
        return initialShare
                + (1 - initialShare)
                        * (context.nowMs - backend.startedAtMs)
                        / Math.max(1, context.obligations.warmAfterMs());
    }

    /** The share of its usual capacity that a backend may be given; 1 once it is warm. */
    double capacityShare(BackendState backend) {
        return isWarmingUp(backend) ? rampShare(backend) * Math.min(0.9, rampMargin) : 1;
    }

    /** Deducts the work of an attempt, ms of response time, from the budget of a warming-up backend. */
    void charge(BackendState backend, double workMs) {
        if (isWarmingUp(backend)) {
            backend.slowStartBudgetMs -= workMs;
        }
    }

    /** Adds the work that a backend completed, ms of response time, to that of warm backends if it is warm. */
    void recordCompleted(BackendState backend, double workMs) {
        completedWorkMs += isWarmingUp(backend) ? 0 : workMs;
    }

    /** Resets the count of warm backends. */
    void resetWarmCount() {
        warmCount = 0;
    }

    /** Counts a backend if it is warm and not failing, and includes it in the mean size. */
    void countIfWarm(BackendState backend) {
        if (!isWarmingUp(backend) && !backend.isFailing()) {
            meanSize += (backend.endpoint.size() - meanSize) / ++warmCount;
        }
    }

    /** Updates the pace of warm backends per unit of size. Called once per interval. */
    void updatePace() {
        double measured = warmCount > 0
                ? completedWorkMs / DecisionContext.INTERVAL_MS / Math.max(1e-9, warmCount * meanSize)
                : pace;
        if (paceSamples > 0 || measured > 0) {
            pace += Math.max(0.05, 1 / ++paceSamples) * (measured - pace);
        }
        completedWorkMs = 0;
        largestRequestMs = context.responseTimes.largestMeanMs();
    }

    /** Refills the budget of a warming-up backend. Called once per interval. */
    void refill(BackendState backend) {
        if (!isWarmingUp(backend)) {
            return;
        }
        // Bounds the size by the mean of warm backends, because a listed size may follow the momentary load.
        double size =
                Math.min(rampMargin * backend.endpoint.size(), 0.7 * context.obligations.overloadFactor() * meanSize);
        double rate = rampShare(backend) * pace * size;
        double maxMs = Math.max(largestRequestMs, rate * 1000);
        backend.slowStartBudgetMs = Math.min(maxMs, backend.slowStartBudgetMs + rate * DecisionContext.INTERVAL_MS);
    }
}
