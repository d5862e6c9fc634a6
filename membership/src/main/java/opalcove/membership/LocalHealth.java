package opalcove.membership;

/**
 * Local health score of this member, from 0 for healthy upwards (Lifeguard's local health multiplier). Missed ACKs raise
 * the score and received ACKs lower it. A member in poor health probes less often and waits longer for ACKs, so that it
 * does not suspect others because it is slow itself. Owned by the thread of its {@link FailureDetector}.
 */
final class LocalHealth {
    private final int maxScore;
    private int score;

    LocalHealth(int maxScore) {
        this.maxScore = maxScore;
    }

    int score() {
        return score;
    }

    boolean isHealthy() {
        return score == 0;
    }

    /** Adds the change to the score and limits the result to 0 to maxScore; a positive change means poorer health. */
    void adjust(int change) {
        score = Math.max(0, Math.min(maxScore, score + change));
    }

    /** Returns a time in ms multiplied by the score plus one. */
    long scaleMs(long timeMs) {
        return timeMs * (score + 1);
    }
}
