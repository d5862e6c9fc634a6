package opalcove.decision;

import java.util.Iterator;
import java.util.LinkedHashMap;
import opalcove.decision.DecisionSettings.Plan;

/**
 * Enforces the quotas of tenants, with a probability of admission for each tenant that follows the use that the meter
 * reports, and this gateway's parts of ceilings and caps on open requests. Owned by the thread that delivers the
 * instance's events.
 */
final class QuotaController {
    /** Time constant over which a tenant's arrivals at this gateway decay, ms. */
    private static final double ARRIVAL_MEMORY_MS = 1500;

    /** Time over which the remaining units of a bucket's copy are spent, ms: reported use is about this old. */
    private static final double BURST_SPEND_MS = 2000;

    /** Time constant over which reported use decays towards the mean of its plan, ms. */
    private static final double REPORT_DECAY_MS = 10_000;

    private final DecisionContext context;
    private final CapacityController capacity;
    private final PressureMonitor pressure;

    /** Tenants in the order of their last access, so that the one that is idle for the longest time is first. */
    private final LinkedHashMap<String, TenantQuota> tenants = new LinkedHashMap<>(64, 0.75f, true);

    /** Moving mean of the inverse of reported use, by plan; 0 until use of that plan is reported. */
    private final double[] inverseUseByPlan;

    private final double periodMs;
    private double servingSinceMs = Double.MAX_VALUE;

    QuotaController(DecisionContext context, CapacityController capacity, PressureMonitor pressure) {
        this.context = context;
        this.capacity = capacity;
        this.pressure = pressure;
        inverseUseByPlan = new double[context.settings.plans().size()];
        periodMs = Math.max(1, context.settings.meterPeriodMs());
    }

    /** Returns the quota of a request's tenant, and creates it at the tenant's first request. */
    TenantQuota tenant(AdmissionRequest request, int planIndex) {
        servingSinceMs = Math.min(servingSinceMs, context.nowMs);
        TenantQuota tenant = tenants.get(request.tenant());
        if (tenant == null) {
            tenant = new TenantQuota(planIndex, request.gateways(), context.nowMs, servingSinceMs, context.settings);
            tenants.put(request.tenant(), tenant);
        }
        if (tenant.otherSeconds <= 0) {
            moveTowardsPlanMean(tenant, 1);
        }
        return tenant;
    }

    /** Forgets idle tenants whose buckets have had time to fill since their last request. */
    void forgetIdle() {
        for (Iterator<TenantQuota> iterator = tenants.values().iterator(); iterator.hasNext(); iterator.remove()) {
            TenantQuota longestIdle = iterator.next();
            Plan plan = longestIdle.plan;
            double fillMs = plan.ceilingRate() > 0 ? 1000 * plan.ceilingBurst() / plan.ceilingRate() : 0;
            double idleMs = context.nowMs - longestIdle.updatedAtMs;
            if (longestIdle.inFlight > 0 || idleMs < Math.max(DecisionContext.FORGET_AFTER_MS, fillMs)) {
                return;
            }
        }
    }

    private long period(double timeMs) {
        return (long) Math.floor(timeMs / periodMs);
    }

    /** Updates a tenant's decaying values and buckets to the present time. */
    private void advanceToNow(TenantQuota tenant) {
        double seconds = (context.nowMs - tenant.updatedAtMs) / 1000;
        tenant.updatedAtMs = context.nowMs;
        double othersRate = otherGatewaysRate(tenant) * tenant.meanAdmitProbability;
        tenant.arrivedUnits *= Math.exp(-seconds * 1000 / ARRIVAL_MEMORY_MS);
        moveTowardsPlanMean(tenant, 1 - Math.exp(-seconds * 1000 / REPORT_DECAY_MS));
        double level = tenant.level + seconds * (tenant.plan.rate() - othersRate);
        tenant.level = Math.max(0, Math.min(tenant.plan.burst(), level));
        tenant.fillCeiling(seconds);
    }

    /** Moves the estimate of the units at a tenant's other gateways towards the mean use of its plan by this part. */
    private void moveTowardsPlanMean(TenantQuota tenant, double part) {
        double inverseUse = inverseUseByPlan[tenant.planIndex] > 0 ? inverseUseByPlan[tenant.planIndex] : 1;
        double meanRate = tenant.plan.rate() / inverseUse * (tenant.gateways - 1) / tenant.gateways;
        tenant.otherUnits += part * (capacity.meanUnits() - tenant.otherUnits);
        tenant.otherSeconds += part * (capacity.meanUnits() / Math.max(meanRate, 0.01) - tenant.otherSeconds);
    }

    /**
     * The estimated rate of arrivals at the tenant's other gateways, units per second. Because there is little data at
     * first, the estimate starts with one usual request at the mean rate of the plan. Arrivals at this gateway outweigh
     * it until use is reported, and reported use from then on.
     */
    private double otherGatewaysRate(TenantQuota tenant) {
        if (tenant.gateways < 2 || tenant.reportedAtMs > 0) {
            return tenant.gateways < 2 ? 0 : tenant.otherUnits / tenant.otherSeconds;
        }
        return (tenant.otherUnits + tenant.arrivedUnits)
                / (tenant.otherSeconds + ARRIVAL_MEMORY_MS / 1000 / (tenant.gateways - 1));
    }

    /**
     * Records an arrival and returns whether it counts as within its tenant's quota. It does while the copy of the
     * bucket has units; beyond that, it does with the probability of available rate over demand. This step complements
     * the split of capacity and is not part of the paper that {@link CapacityAllocator} names.
     *
     * @param isRetry whether the request is a client's retry, which squares the probability
     */
    boolean recordArrival(TenantQuota tenant, double units, boolean isRetry) {
        if (tenant.plan.rate() <= 0) {
            return true;
        }
        advanceToNow(tenant);
        tenant.arrivedUnits += units;
        double available = tenant.plan.rate() + tenant.level * 1000 / BURST_SPEND_MS;
        // Before the first report, the rate of the other gateways includes their part of the arrivals at this one.
        double ownRate =
                tenant.arrivedUnits * 1000 / ARRIVAL_MEMORY_MS / (tenant.reportedAtMs > 0 ? 1 : tenant.gateways);
        tenant.admitProbability = Math.min(1, available / Math.max(ownRate + otherGatewaysRate(tenant), 1e-9));
        // The other gateways are assumed to admit with the same probability.
        tenant.meanAdmitProbability += (1 - Math.exp((tenant.arrivedAtMs - context.nowMs) / BURST_SPEND_MS))
                * (tenant.admitProbability - tenant.meanAdmitProbability);
        tenant.arrivedAtMs = context.nowMs;
        if (tenant.admitProbability >= 1 && tenant.level >= units) {
            return true;
        }
        double probability = isRetry ? tenant.admitProbability * tenant.admitProbability : tenant.admitProbability;
        return context.random.nextDouble() < probability;
    }

    /**
     * Whether requests of a soft plan may exceed the quota: while that earns more than it costs and there is spare
     * capacity.
     */
    boolean mayExceedQuota(TenantQuota tenant) {
        return tenant.plan.overQuotaWeight() > tenant.plan.overQuotaCost()
                && !capacity.isBounded()
                && !pressure.areResponsesSlow();
    }

    /** Charges the first attempt of a request to its tenant's quota and ceiling. */
    void charge(RequestState state) {
        TenantQuota tenant = state.tenant;
        double units = state.request.units();
        advanceToNow(tenant);
        tenant.addForwarded(period(context.nowMs), units);
        tenant.level = Math.max(0, tenant.level - units);
        tenant.ceilingLevel -= units;
    }

    /** Whether a first attempt is within the cap on open requests and this gateway's part of the ceiling. */
    boolean fits(RequestState state) {
        if (!state.attempts.isEmpty()) {
            return true;
        }
        TenantQuota tenant = state.tenant;
        advanceToNow(tenant);
        boolean underCeiling = state.plan.ceilingRate() <= 0 || tenant.ceilingLevel >= state.request.units();
        return underCeiling && (state.plan.maxInFlight() <= 0 || tenant.inFlight < state.plan.maxInFlight());
    }

    /**
     * Records the usage that a response reports.
     *
     * @param usedPercent the tenant's use of its rate over all gateways, percent; negative if it is not reported
     * @param trueUnits the actual units of the request; 0 if they are not reported
     */
    void recordUsage(TenantQuota tenant, double units, int usedPercent, double trueUnits) {
        recordReportedUse(tenant, usedPercent);
        if (trueUnits > 0 && context.settings.unitsAreEstimates()) {
            tenant.level += units - trueUnits;
        }
    }

    /** Records reported use once per meter period: the other gateways' part is what this gateway did not forward. */
    private void recordReportedUse(TenantQuota tenant, int usedPercent) {
        if (usedPercent < 0 || periodMs <= 1 || tenant.plan.rate() <= 0) {
            return;
        }
        if (usedPercent == tenant.reportedPercent && context.nowMs - tenant.reportedAtMs < periodMs * 0.9) {
            return;
        }
        advanceToNow(tenant);
        tenant.reportedPercent = usedPercent;
        tenant.reportedAtMs = context.nowMs;
        double forwarded = 0;
        for (int back = 1; back <= 3; back++) {
            forwarded += tenant.forwardedIn(period(context.nowMs - (back - 0.3) * periodMs)) / 3;
        }
        double used = tenant.plan.rate() * usedPercent / 100 * periodMs / 1000;
        tenant.otherUnits +=
                Math.max(0, used - forwarded) / Math.max(0.1, tenant.meanAdmitProbability) - 0.35 * tenant.otherUnits;
        tenant.otherSeconds += periodMs / 1000 - 0.35 * tenant.otherSeconds;
        // Heavy tenants cause most reports, so the mean of a plan is the harmonic mean of reported use, not divided by
        // this gateway's probability of admission. With the mean of demand, requests of tenants with little use that
        // had not been reported yet were shed like those of heavy tenants.
        double inverseUse = Math.min(4, 100.0 / Math.max(1, usedPercent));
        double previous = inverseUseByPlan[tenant.planIndex];
        inverseUseByPlan[tenant.planIndex] = previous > 0 ? previous + 0.03 * (inverseUse - previous) : inverseUse;
    }
}
