package opalcove.decision;

import opalcove.decision.DecisionSettings.Plan;

/**
 * The state of a tenant's quota and ceiling at this gateway. Owned by the thread that delivers the instance's events.
 */
final class TenantQuota {
    /** The number of meter periods for which the forwarded units are stored. */
    private static final int STORED_PERIODS = 8;

    final Plan plan;
    final int planIndex;

    /** The number of gateways that may receive requests of the tenant, including this one. */
    final int gateways;

    private final double[] forwardedUnits = new double[STORED_PERIODS];
    private final long[] periodNumbers = new long[STORED_PERIODS];

    /** Units in this gateway's copy of the tenant's bucket. */
    double level;

    /** Units in this gateway's part of the ceiling's bucket. */
    double ceilingLevel;

    double updatedAtMs;

    /** Units that arrived at this gateway, decayed. */
    double arrivedUnits;

    /** Units at the tenant's other gateways, decayed, and the decayed time in which they arrived, seconds. */
    double otherUnits;

    double otherSeconds;

    double reportedAtMs = DecisionContext.NEVER_MS;
    double arrivedAtMs = DecisionContext.NEVER_MS;

    /** The probability of admission of a request that the bucket does not cover, and its moving mean. */
    double admitProbability = 1;

    double meanAdmitProbability = 1;

    /** The last reported use, percent of the rate; -1 before the first report. */
    int reportedPercent = -1;

    int inFlight;

    TenantQuota(int planIndex, int gateways, double nowMs, double servingSinceMs, DecisionSettings settings) {
        plan = settings.plans().get(planIndex);
        this.planIndex = planIndex;
        this.gateways = Math.max(1, gateways);
        level = plan.burst() / Math.sqrt(this.gateways);
        fillCeiling((nowMs - servingSinceMs) / 1000);
        updatedAtMs = nowMs;
    }

    /**
     * Fills this gateway's part of the ceiling's bucket. The part starts empty, because a restart of the gateway leaves
     * the ceiling's bucket as it was; a full part would let a gateway that restarts exceed the ceiling.
     */
    void fillCeiling(double seconds) {
        double max = plan.ceilingBurst() / (gateways + 1);
        ceilingLevel = Math.min(max, ceilingLevel + seconds * plan.ceilingRate() / gateways);
    }

    /** Adds units that were forwarded during a meter period. */
    void addForwarded(long period, double units) {
        forwardedUnits[slot(period)] += units;
    }

    /** The units that were forwarded during a meter period; 0 if the period is no longer stored. */
    double forwardedIn(long period) {
        return forwardedUnits[slot(period)];
    }

    private int slot(long period) {
        int slot = (int) Math.floorMod(period, (long) STORED_PERIODS);
        if (periodNumbers[slot] != period) {
            forwardedUnits[slot] = 0;
        }
        periodNumbers[slot] = period;
        return slot;
    }
}
