package opalcove.membership;

/**
 * How well this member itself seems to keep up, as a score from 0 (healthy) upwards (Lifeguard's local health
 * multiplier). Missed answers raise it, answers lower it; a member in poor health probes less often and waits longer,
 * so that it does not accuse others of its own slowness. Owned by the thread of its {@link FailureDetector}.
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

    /** Changes the score within its bounds; a positive change means poorer health. */
    void adjust(int change) {
        score = Math.max(0, Math.min(maxScore, score + change));
    }

    /** A time in ms, stretched by the score. */
    long scaleMs(long timeMs) {
        return timeMs * (score + 1);
    }
}
