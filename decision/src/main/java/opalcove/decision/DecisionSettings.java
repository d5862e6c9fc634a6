package opalcove.decision;

import java.util.List;

/**
 * The settings of a decision module.
 *
 * @param self the number of this gateway among all, from 0
 * @param gateways the number of gateways that share the backends
 * @param zone the zone of this gateway
 * @param tickMs the shortest interval between events of the embedding gateway, ms
 * @param meterPeriodMs the period over which use is metered, ms; 0 if there is no meter
 * @param unitsAreEstimates whether the actual units of a request are known only from its outcome
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
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a setting is invalid; the message gives the reason
     */
    public void check() {
        require(!classes.isEmpty(), "no request class is defined, at least one is expected");
        require(!plans.isEmpty(), "no plan is defined, at least one is expected");
        require(gateways > 0, "the number of gateways must be at least 1");
        for (RequestClass requestClass : classes) {
            require(
                    Math.min(requestClass.objectiveMs(), requestClass.deadlineMs()) > 0,
                    "the latency objective and the deadline of each request class must be greater than 0 ms");
        }
        for (Plan plan : plans) {
            double minQuota = Math.min(plan.rate(), plan.burst());
            double minLimit = Math.min(plan.ceilingRate(), plan.maxInFlight());
            require(
                    Math.min(minQuota, minLimit) >= 0 && plan.ceilingBurst() >= 0,
                    "plan " + plan.name() + ": rates, bursts and the cap on requests in flight must not be negative");
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
     * @param lateShare the share of the weight that a response after the latency objective still earns
     * @param objectiveMs the latency objective, ms
     * @param deadlineMs the deadline of the client, including its retries, ms
     * @param windowMs for keyed requests, the time after the first attempt that may have run during which backends drop
     *     repeats, ms
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
     * A plan. Its quotas apply to each tenant over all gateways.
     *
     * @param rate the quota in units per second; 0 if there is none
     * @param burst the units that the quota's bucket holds
     * @param maxInFlight the cap on requests in flight; 0 if there is none
     * @param price the factor of the weight of a request
     * @param overQuotaWeight the share of its weight that a request beyond the quota earns
     * @param overQuotaCost the share of its weight that a request beyond the quota costs
     * @param ceilingRate the hard ceiling in units per second; 0 if there is none
     * @param ceilingBurst the units that the ceiling's bucket holds
     * @param ceilingSlack the units by which the ceiling's bucket may go below 0
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
     * The limits of the deployment. The last three apply to the gateway, not to the module.
     *
     * @param mayHedge whether a request may have two attempts in flight
     * @param retryAfter whether responses to shed requests contain a Retry-After
     * @param idleCloseMs the time after which idle connections to backends close, ms
     * @param counter whether there is a shared counter
     * @param connectTimeoutMs the time limit for opening a connection, ms
     * @param maxOpen the maximum number of requests that are open at the same time
     * @param maxUnits the maximum units of a request
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
        /** Creates limits for a module without a gateway; the limits of the gateway have default values. */
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
     * The requirements for slow starts, final responses and the endpoint list.
     *
     * @param responseSlackMs the time after the client's deadline within which a final response is still in time, ms
     * @param initialShare the share of its capacity that a backend has when it starts
     * @param warmAfterMs the time from its start after which a backend has its full capacity, ms
     * @param overloadFactor the multiple of its present capacity that overloads a starting backend
     * @param overloadMs the time after which a starting backend that receives more than this multiple fails, ms. It is
     *     read but not used: the ramp stays below the multiple at all times, so no duration of overload is allowed
     * @param listOnRequest whether the endpoint list is polled or subscribed to, instead of pushed
     * @param pollWithinMs the maximum age of the endpoint list before it is polled, ms
     * @param drainGraceMs the time after the notification of a drain or removal within which attempts at the backend
     *     have to stop, ms
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
        /** The drain grace if the settings do not specify one, ms. */
        public static final double DEFAULT_DRAIN_GRACE_MS = 1000;

        /** Creates obligations with the default drain grace. */
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

    /**
     * Costs as shares of the weight of the request.
     *
     * @param crossZone the cost of an attempt in another zone
     * @param waste the cost of wasted work
     * @param probe the cost of a health check
     * @param lateFail the cost of a late failure
     */
    public record Costs(double crossZone, double waste, double probe, double lateFail) {}
}
