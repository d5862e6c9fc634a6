package opalcove.laboratory.coldstart;

/**
 * The load that a backend withstands during its slow start, as the settings of a deployment define it. The capacity
 * rises linearly from the slow-start share to the full capacity. The backend fails when more requests of mean work
 * reach it within a window than N + 2 sqrt(N) + 2, where N is the overload factor times the current capacity times
 * the window; the terms beyond N allow for random variation.
 *
 * @param overloadFactor multiple of the current capacity that the backend withstands
 * @param windowMs length of the sliding window, ms
 * @param slowStartShare share of the full capacity at the start, above 0 and at most 1
 * @param warmAfterMs time from the start until the full capacity is reached, ms
 */
public record SlowStartRule(double overloadFactor, double windowMs, double slowStartShare, double warmAfterMs) {
    /** @throws IllegalArgumentException if a value is not above 0, or the slow-start share is above 1 */
    public SlowStartRule {
        if (!(overloadFactor > 0 && windowMs > 0 && slowStartShare > 0 && slowStartShare <= 1 && warmAfterMs > 0)) {
            throw new IllegalArgumentException(
                    "overloadFactor, windowMs, slowStartShare and warmAfterMs must be above 0,"
                            + " and slowStartShare at most 1");
        }
    }

    /** Returns the share of its full capacity, 0 to 1, that a backend has this long after its start. */
    double capacityShare(double ageMs) {
        return ageMs >= warmAfterMs ? 1 : slowStartShare + slope() * ageMs;
    }

    /**
     * Returns N for a backend of this age that serves {@code warmRatePerMs} requests of mean work per ms at full
     * capacity.
     */
    double budget(double ageMs, double warmRatePerMs) {
        return overloadFactor * capacityShare(ageMs) * warmRatePerMs * windowMs;
    }

    /** Returns the number of requests of mean work within the window above which a backend fails. */
    double limit(double budget) {
        return budget + 2 * Math.sqrt(budget) + 2;
    }

    /** Returns the number of requests of mean work that the overload factor allows during the complete ramp. */
    double rampBudget(double warmRatePerMs) {
        return overloadFactor * warmRatePerMs * warmAfterMs * (slowStartShare + 1) / 2;
    }

    /**
     * Returns the time in ms that a core of a backend of this age takes for work that takes {@code workMs} at full
     * capacity.
     */
    double serviceMs(double ageMs, double workMs) {
        double remainingMs = Math.max(0, warmAfterMs - ageMs);
        double share = capacityShare(ageMs);
        double duringSlowStartMs = remainingMs * (share + 1) / 2;
        if (workMs >= duringSlowStartMs) {
            return remainingMs + workMs - duringSlowStartMs;
        }
        return slope() == 0 ? workMs : (Math.sqrt(share * share + 2 * slope() * workMs) - share) / slope();
    }

    private double slope() {
        return (1 - slowStartShare) / warmAfterMs;
    }
}
