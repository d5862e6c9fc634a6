package opalcove.decision;

/**
 * The slow start of backends that have just begun to serve: each has a budget of work that follows its ramp, in
 * proportion to the pace of warm backends. Owned by the thread that delivers the instance's events.
 */
final class SlowStart {
    private final DecisionContext context;

    /** What a starting backend may be given, as a multiple of its ramp: real ramps are seldom the slowest. */
    private final double rampMargin;

    /** Work that warm backends complete, ms of response time by ms and unit of size; a moving mean. */
    private double pace;

    private double paceSamples;
    private double meanSize = 1;
    private int warmCount;

    /** Work that warm backends completed in this interval, ms. */
    private double completedWorkMs;

    /** Work of one whole request of the slowest class, ms. */
    private double largestRequestMs;

    SlowStart(DecisionContext context) {
        this.context = context;
        rampMargin = Math.min(1.2, 0.5 * context.obligations.overloadFactor());
        largestRequestMs = context.responseTimes.largestMeanMs();
    }

    /** Begins a backend's slow start, as of the time at which it started. */
    void begin(BackendState backend, double startedAtMs) {
        backend.startedAtMs = startedAtMs;
        // Guards against gateways in step, and against each saving up a whole request before any sends.
        backend.slowStartBudgetMs = context.random.nextDouble() * largestRequestMs;
        backend.slowness = 1;
        backend.failures = 0;
        backend.ejectedUntilMs = 0;
    }

    /** Whether the backend started so lately that it may not have warmed up. */
    boolean isWarmingUp(BackendState backend) {
        return context.nowMs - backend.startedAtMs < context.obligations.warmAfterMs();
    }

    /** Whether a backend that is warming up has used up its budget. */
    boolean isExhausted(BackendState backend) {
        return backend.slowStartBudgetMs < largestRequestMs;
    }

    /** The part of its capacity that a backend that is warming up has reached, by the ramp. */
    double rampShare(BackendState backend) {
        double initialShare = context.obligations.initialShare();
        return initialShare
                + (1 - initialShare)
                        * (context.nowMs - backend.startedAtMs)
                        / Math.max(1, context.obligations.warmAfterMs());
    }

    /** The part of its usual capacity that a backend may be given; 1 once it is warm. */
    double capacityShare(BackendState backend) {
        return isWarmingUp(backend) ? rampShare(backend) * Math.min(0.9, rampMargin) : 1;
    }

    /** Draws the work of an attempt from the budget of a backend that is warming up. */
    void charge(BackendState backend, double workMs) {
        if (isWarmingUp(backend)) {
            backend.slowStartBudgetMs -= workMs;
        }
    }

    /** Counts work that a backend completed towards the pace of warm ones. */
    void recordCompleted(BackendState backend, double workMs) {
        completedWorkMs += isWarmingUp(backend) ? 0 : workMs;
    }

    /** Starts a new count of warm backends. */
    void resetWarmCount() {
        warmCount = 0;
    }

    /** Counts a listed backend that is warm and well, for the mean size. */
    void countIfWarm(BackendState backend) {
        if (!isWarmingUp(backend) && !backend.isFailing()) {
            meanSize += (backend.endpoint.size() - meanSize) / ++warmCount;
        }
    }

    /** Once an interval: takes in the pace of warm backends by size. */
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

    /** Once an interval: fills the budget of a backend that is warming up. */
    void refill(BackendState backend) {
        if (!isWarmingUp(backend)) {
            return;
        }
        // Guards against sizes that tell the load of the moment: a bound whatever they say.
        double size =
                Math.min(rampMargin * backend.endpoint.size(), 0.7 * context.obligations.overloadFactor() * meanSize);
        double rate = rampShare(backend) * pace * size;
        double maxMs = Math.max(largestRequestMs, rate * 1000);
        backend.slowStartBudgetMs = Math.min(maxMs, backend.slowStartBudgetMs + rate * DecisionContext.INTERVAL_MS);
    }
}
