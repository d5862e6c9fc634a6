package opalcove.laboratory.soak;

/** The load that a newly started backend accepts according to the soak's settings. */
final class SlowStart {
    static final double INITIAL_SHARE = 0.2;
    static final int WARM_UP_MS = 8000;
    static final double OVERLOAD_FACTOR = 2.5;
    static final int OVERLOAD_WINDOW_MS = 3000;

    private SlowStart() {}

    /**
     * Returns the most requests in {@link #OVERLOAD_WINDOW_MS} that a backend may receive {@code ageMs} after its
     * start, if its capacity after warm-up is {@code capacityPerS}.
     */
    static double budget(double capacityPerS, double ageMs) {
        double share = Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * ageMs / WARM_UP_MS);
        double allowed = OVERLOAD_FACTOR * share * capacityPerS * OVERLOAD_WINDOW_MS / 1000;
        double root = Math.sqrt(allowed);
        return allowed < 30 ? allowed + 3 * root + 3 : allowed + 2 * root + 2;
    }
}
