package opalcove.laboratory.soak;

/** The load that a newly started backend accepts according to the soak's settings. */
final class SlowStart {
    static final double SLOW_START_SHARE = 0.2;
    static final int WARM_AFTER_MS = 8000;
    static final double OVERLOAD_FACTOR = 2.5;
    static final int FALL_MS = 3000;

    private SlowStart() {}

    /**
     * Returns the most requests in {@link #FALL_MS} that a backend may receive at the given time after its start, if
     * its capacity after warm-up is {@code capacityPerS}.
     */
    static double budget(double capacityPerS, double ageMs) {
        double share = Math.min(1, SLOW_START_SHARE + (1 - SLOW_START_SHARE) * ageMs / WARM_AFTER_MS);
        double allowed = OVERLOAD_FACTOR * share * capacityPerS * FALL_MS / 1000;
        double root = Math.sqrt(allowed);
        return allowed < 30 ? allowed + 3 * root + 3 : allowed + 2 * root + 2;
    }
}
