package opalcove.laboratory.coldstart;

/**
 * How much a cold backend bears, as the settings of a deployment state it. Its capacity rises evenly from the cold share
 * to the full one. It falls when more requests of mean work reach it within a window than N + 2 sqrt(N) + 2, where N is
 * the overload factor times its present capacity times the window; the terms beyond N allow for chance.
 *
 * @param overloadFactor multiple of the present capacity that is still borne
 * @param windowMs length of the sliding window, ms
 * @param slowStartShare part of the full capacity at the start, 0 to 1
 * @param warmAfterMs time from the start to the full capacity, ms
 */
public record SlowStartRule(double overloadFactor, double windowMs, double slowStartShare, double warmAfterMs) {
    /** Checks the figures. */
    public SlowStartRule {
        if (!(overloadFactor > 0 && windowMs > 0 && slowStartShare > 0 && slowStartShare <= 1 && warmAfterMs > 0)) {
            throw new IllegalArgumentException("a cold start needs figures over 0, and a cold share of at most 1");
        }
    }

    /** The part of its full capacity that a backend of this age has, 0 to 1. */
    double capacityShare(double ageMs) {
        return ageMs >= warmAfterMs ? 1 : slowStartShare + slope() * ageMs;
    }

    /** N for a backend of this age that serves so many requests of mean work a millisecond when warm. */
    double budget(double ageMs, double warmRatePerMs) {
        return overloadFactor * capacityShare(ageMs) * warmRatePerMs * windowMs;
    }

    /** The number of requests of mean work within the window beyond which a backend falls. */
    double limit(double budget) {
        return budget + 2 * Math.sqrt(budget) + 2;
    }

    /** The requests of mean work that the overload factor allows over the whole ramp. */
    double rampBudget(double warmRatePerMs) {
        return overloadFactor * warmRatePerMs * warmAfterMs * (slowStartShare + 1) / 2;
    }

    /** The time, ms, that a core of a backend of this age takes for work that takes a warm one workMs. */
    double serviceMs(double ageMs, double workMs) {
        double left = Math.max(0, warmAfterMs - ageMs);
        double share = capacityShare(ageMs);
        double duringSlowStartMs = left * (share + 1) / 2;
        if (workMs >= duringSlowStartMs) {
            return left + workMs - duringSlowStartMs;
        }
        return slope() == 0 ? workMs : (Math.sqrt(share * share + 2 * slope() * workMs) - share) / slope();
    }

    private double slope() {
        return (1 - slowStartShare) / warmAfterMs;
    }
}
