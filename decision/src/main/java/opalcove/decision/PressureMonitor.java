package opalcove.decision;

/**
 * Decayed counts of responses and of signs that the backends are under pressure. Owned by the thread that delivers the
 * instance's events.
 */
final class PressureMonitor {
    private double responses;
    private double signs;

    /** Sum of the response times as shares of their objectives; a sign counts as a whole objective. */
    private double objectiveShares;

    /** Discards all counts. */
    void reset() {
        responses = 0;
        signs = 0;
        objectiveShares = 0;
    }

    /**
     * Whether responses took much of their objectives lately, a sign counting as a whole objective. A part of signs
     * took backends that leave one class unanswered, and serve the rest quickly, for pressed ones.
     */
    boolean areResponsesSlow() {
        return objectiveShares > 0.27 * responses;
    }

    /** Whether there was a whole sign lately. */
    boolean hasSign() {
        return signs >= 1;
    }

    /** Whether there was more than one sign lately. */
    boolean hasSeveralSigns() {
        return signs > 1;
    }

    /** Whether there was hardly any sign lately. */
    boolean isLow() {
        return signs < 0.5;
    }

    /**
     * Counts an attempt as a sign of pressure, once. Guards against silence read as calm: an attempt still in flight at
     * its slow time is a sign then, however it ends: a cancelled one never said so, so the slower the backends, the
     * fewer the signs. Also for broken connections, lost responses, stalled backends. Could hurt where a tenth of a
     * class's work is that long.
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

    /** Counts a response that is no sign of pressure. */
    void recordResponse(double objectiveShare) {
        responses++;
        objectiveShares += objectiveShare;
    }

    /** Once an interval: decays all counts; less where the interval says little. */
    void decay(double evidenceWeight) {
        responses *= 1 - 0.3 * evidenceWeight;
        signs *= 1 - 0.3 * evidenceWeight;
        objectiveShares *= 1 - 0.3 * evidenceWeight;
    }
}
