package opalcove.decision;

import java.util.List;

/** Everything a module is handed at start. */
public record DecisionSettings(
        int self,
        int gateways,
        String zone,
        double tickMs,
        double meterPeriodMs,
        boolean unitsAreEstimates,
        List<RequestClass> classes,
        List<Plan> plans,
        Limits limits,
        Obligations obligations,
        Costs costs,
        LoadReportSource loadReportSource,
        List<LoadMetric> loadMetrics) {
    /**
     * Checks that the settings do not contradict themselves.
     *
     * @throws IllegalArgumentException if they do, with the reason
     */
    public void check() {
        require(!classes.isEmpty(), "no request class");
        require(!plans.isEmpty(), "no plan");
        require(gateways > 0, "no gateway");
        for (RequestClass requestClass : classes) {
            require(Math.min(requestClass.objectiveMs(), requestClass.deadlineMs()) > 0, "no time");
        }
        for (Plan plan : plans) {
            double leastQuota = Math.min(plan.rate(), plan.burst());
            double leastLimit = Math.min(plan.ceilingRate(), plan.maxInFlight());
            require(
                    Math.min(leastQuota, leastLimit) >= 0 && plan.ceilingBurst() >= 0,
                    "plan " + plan.name() + " has a figure below 0");
        }
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) throw new IllegalArgumentException(otherwise);
    }

    /** A request class. A keyed class's repeats are dropped within windowMs of the first send that may have run. */
    public record RequestClass(
            String name,
            double weight,
            double lateShare,
            double objectiveMs,
            double deadlineMs,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            double windowMs,
            boolean stream) {}

    /** A plan: a quota (0: none) in units a second with a burst, an open cap (0: none) and a ceiling (rate 0: none). */
    public record Plan(
            String name,
            double rate,
            double burst,
            int maxInFlight,
            double price,
            double overQuotaWeight,
            double overQuotaCost,
            double ceilingRate,
            double ceilingBurst,
            double ceilingSlack) {}

    /**
     * What the deployment allows; idleCloseMs: idle connections to hosts close after this. The last three bind the
     * gateway, not the module: how long a connection may take to come up, how many requests may be open at once, and
     * the units that a request counts at most.
     */
    public record Limits(
            int maxAttempts,
            boolean secondCopies,
            boolean mayCancel,
            boolean mayProbe,
            boolean retryAfter,
            double maxRetryAfterMs,
            double idleCloseMs,
            boolean counter,
            double connectTimeoutMs,
            int maxOpen,
            double maxUnits) {
        /** Limits for a module on its own. */
        public Limits(
                int maxAttempts,
                boolean secondCopies,
                boolean mayCancel,
                boolean mayProbe,
                boolean retryAfter,
                double maxRetryAfterMs,
                double idleCloseMs,
                boolean counter) {
            this(
                    maxAttempts,
                    secondCopies,
                    mayCancel,
                    mayProbe,
                    retryAfter,
                    maxRetryAfterMs,
                    idleCloseMs,
                    counter,
                    250,
                    20_000,
                    Double.MAX_VALUE);
        }
    }

    /**
     * Figures of the cold-start rule, of final answers and of the host list. drainGraceMs: sends to a drained or
     * removed host have to stop within so long after its drain was told, ms.
     */
    public record Obligations(
            double answerSlackMs,
            double initialShare,
            double warmAfterMs,
            double overloadFactor,
            double overloadMs,
            boolean listOnRequest,
            double pollWithinMs,
            double drainGraceMs) {
        /** The drain grace where the settings name none, ms. */
        public static final double DEFAULT_DRAIN_GRACE_MS = 1000;

        /** Duties whose settings name no drain grace. */
        public Obligations(
                double answerSlackMs,
                double initialShare,
                double warmAfterMs,
                double overloadFactor,
                double overloadMs,
                boolean listOnRequest,
                double pollWithinMs) {
            this(
                    answerSlackMs,
                    initialShare,
                    warmAfterMs,
                    overloadFactor,
                    overloadMs,
                    listOnRequest,
                    pollWithinMs,
                    DEFAULT_DRAIN_GRACE_MS);
        }
    }

    /** Prices, as shares of the worth asked for: crossing zones, wasted work, a probe, failing late. */
    public record Costs(double crossZone, double waste, double probe, double lateFail) {}
}
