package opalcove.decision;

import opalcove.decision.DecisionSettings.Plan;

/**
 * What this gateway knows of one tenant's quota and ceiling. Owned by the thread that delivers the instance's events.
 */
final class TenantQuota {
    /** Meter periods for which the forwarded units are kept. */
    private static final int STORED_PERIODS = 8;

    final Plan plan;
    final int planIndex;

    /** Gateways through which the tenant's requests may come, this one included. */
    final int gateways;

    private final double[] forwardedUnits = new double[STORED_PERIODS];
    private final long[] periodNumbers = new long[STORED_PERIODS];

    /** Units in this gateway's copy of the tenant's bucket. */
    double level;

    /** Units in this gateway's part of the ceiling's bucket. */
    double ceilingLevel;

    double updatedAtMs;

    /** Units that arrived here, decayed. */
    double arrivedUnits;

    /** Units seen at the tenant's other gateways, decayed, and the time that they were seen in, seconds. */
    double otherUnits;

    double otherSeconds;

    double reportedAtMs = DecisionContext.NEVER_MS;
    double arrivedAtMs = DecisionContext.NEVER_MS;

    /** The chance at which a request beyond the bucket passes, and its moving mean. */
    double admitProbability = 1;

    double meanAdmitProbability = 1;

    /** The use that was reported last, in percent of the rate; -1 before the first. */
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
     * Fills this gateway's part of the ceiling's bucket. Guards against a gateway that starts again: the ceiling's
     * bucket is as it stood, so its part starts empty.
     */
    void fillCeiling(double seconds) {
        double max = plan.ceilingBurst() / (gateways + 1);
        ceilingLevel = Math.min(max, ceilingLevel + seconds * plan.ceilingRate() / gateways);
    }

    /** Counts units that were forwarded during a meter period. */
    void addForwarded(long period, double units) {
        forwardedUnits[slot(period)] += units;
    }

    /** The units that were forwarded during a meter period; 0 where it is no longer kept. */
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
