package opalcove.decision;

import java.util.List;

/**
 * The settings of a decision module.
 *
 * @param self the number of this gateway among all, from 0
 * @param gateways the number of gateways that share the backends
 * @param zone the zone of this gateway
 * @param tickMs the shortest interval between events of the embedding gateway
 * @param meterPeriodMs the period over which use is metered; 0 where there is no meter
 * @param unitsAreEstimates whether a request's true units are known from its outcome only
 */
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
            double minQuota = Math.min(plan.rate(), plan.burst());
            double minLimit = Math.min(plan.ceilingRate(), plan.maxInFlight());
            require(
                    Math.min(minQuota, minLimit) >= 0 && plan.ceilingBurst() >= 0,
                    "plan " + plan.name() + " has a figure below 0");
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /**
     * A request class.
     *
     * @param weight the priority weight of one request
     * @param lateShare the part of the weight that a response after its objective still earns
     * @param objectiveMs the latency objective
     * @param deadlineMs the client's deadline, over all its tries
     * @param windowMs for keyed requests: how long after the first attempt that may have run repeats are dropped
     * @param stream whether responses are streamed
     */
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

    /**
     * A plan, whose quotas hold for each tenant over all gateways.
     *
     * @param rate the quota in units a second; 0 where there is none
     * @param burst the units that the quota's bucket holds
     * @param maxInFlight the cap on requests in flight; 0 where there is none
     * @param price the factor of a request's weight
     * @param overQuotaWeight the share of its weight that a request beyond the quota earns
     * @param overQuotaCost the share of its weight that a request beyond the quota costs
     * @param ceilingRate the hard ceiling in units a second; 0 where there is none
     * @param ceilingBurst the units that the ceiling's bucket holds
     * @param ceilingSlack the units by which that bucket may go below 0
     */
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
     * What the deployment allows. The last three bind the gateway, not the module.
     *
     * @param mayHedge whether a request may have two attempts in flight
     * @param retryAfter whether clients are given a Retry-After
     * @param idleCloseMs idle connections to backends close after this
     * @param counter whether there is a shared counter
     * @param connectTimeoutMs how long a connection may take to come up
     * @param maxOpen the most requests that may be open at once
     * @param maxUnits the most units that a request counts
     */
    public record Limits(
            int maxAttempts,
            boolean mayHedge,
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
                boolean mayHedge,
                boolean mayCancel,
                boolean mayProbe,
                boolean retryAfter,
                double maxRetryAfterMs,
                double idleCloseMs,
                boolean counter) {
            this(
                    maxAttempts,
                    mayHedge,
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
     * Obligations of slow starts, of final responses and of the endpoint list.
     *
     * @param responseSlackMs how long after the client's deadline a final response is still in time
     * @param initialShare the part of its capacity that a backend has when it starts
     * @param warmAfterMs the time after which it has all of it
     * @param overloadFactor the multiple of its present capacity that overloads a starting backend
     * @param overloadMs how long it takes that
     * @param listOnRequest whether the endpoint list is polled or subscribed to, instead of pushed
     * @param pollWithinMs how old the list may get without a poll
     * @param drainGraceMs attempts at a draining or removed backend have to stop this long after the notification
     */
    public record Obligations(
            double responseSlackMs,
            double initialShare,
            double warmAfterMs,
            double overloadFactor,
            double overloadMs,
            boolean listOnRequest,
            double pollWithinMs,
            double drainGraceMs) {
        /** The drain grace where the settings name none, ms. */
        public static final double DEFAULT_DRAIN_GRACE_MS = 1000;

        /** Obligations whose settings name no drain grace. */
        public Obligations(
                double responseSlackMs,
                double initialShare,
                double warmAfterMs,
                double overloadFactor,
                double overloadMs,
                boolean listOnRequest,
                double pollWithinMs) {
            this(
                    responseSlackMs,
                    initialShare,
                    warmAfterMs,
                    overloadFactor,
                    overloadMs,
                    listOnRequest,
                    pollWithinMs,
                    DEFAULT_DRAIN_GRACE_MS);
        }
    }

    /** Costs, as shares of the requested weight: crossing zones, wasted work, a health check, failing late. */
    public record Costs(double crossZone, double waste, double probe, double lateFail) {}
}
