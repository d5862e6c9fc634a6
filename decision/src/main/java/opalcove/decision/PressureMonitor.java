package opalcove.decision;

/**
 * Decaying counts of responses and of signs that the backends are under pressure. Owned by the thread that delivers the
 * instance's events.
 */
final class PressureMonitor {
    private double responses;
    private double signs;

    /** Sum of the response times as shares of their latency objectives; a sign counts as a full objective. */
    private double objectiveShares;

    /** Resets all counts to 0. */
    void reset() {
        responses = 0;
        signs = 0;
        objectiveShares = 0;
    }

    /**
     * Whether recent responses took a large part of their latency objectives; a sign counts as a full objective. The
     * fraction of signs alone is not used: it mistook backends that give one class no responses, and serve the others
     * quickly, for backends under pressure.
     */
    boolean areResponsesSlow() {
        return objectiveShares > 0.27 * responses;
    }

    /** Whether the decayed count of signs is at least 1. */
    boolean hasSign() {
        return signs >= 1;
    }

    /** Whether the decayed count of signs is above 1. */
    boolean hasSeveralSigns() {
        return signs > 1;
    }

    /** Whether there were almost no signs recently: their decayed count is below 0.5. */
    boolean isLow() {
        return signs < 0.5;
    }

    /**
     * Counts an attempt as a sign of pressure, at most once. An attempt that is still in flight when it counts as slow
     * is a sign at that time, however it ends. Otherwise missing responses would count as low pressure: a cancelled
     * attempt gives no sign, so the slower the backends, the fewer the signs. This also covers broken connections, lost
     * responses and stalled backends. It may report pressure wrongly if a tenth of the requests of a class normally
     * take that long.
     */
    void recordSign(AttemptState attempt, double nowMs) {
        if (attempt.countedAsPressure) {
            return;
        }
        attempt.countedAsPressure = true;
        responses++;
        signs++;
        objectiveShares++;
        attempt.backend.pressureAtMs = nowMs;
    }

    /** Counts a response that is not a sign of pressure. */
    void recordResponse(double objectiveShare) {
        responses++;
        objectiveShares += objectiveShare;
    }

    /** Decays all counts, less after an interval with few responses. Called once per interval. */
    void decay(double evidenceWeight) {
        responses *= 1 - 0.3 * evidenceWeight;
        signs *= 1 - 0.3 * evidenceWeight;
        objectiveShares *= 1 - 0.3 * evidenceWeight;
    }
}
