package opalcove.decision;

/**
 * Bounds the retries and hedged requests that add load: each first attempt earns a tenth of one. Owned by the thread
 * that delivers the instance's events.
 */
final class RetryBudget {
    private static final double MAX_TOKENS = 10;
    private static final double EARNED_PER_REQUEST = 0.1;

    private double tokens;

    /** Earns a part of an attempt, for a request that was forwarded. */
    void earn() {
        tokens = Math.min(MAX_TOKENS, tokens + EARNED_PER_REQUEST);
    }

    /** Whether there is enough for another attempt. */
    boolean hasToken() {
        return tokens >= 1;
    }

    /** Pays for another attempt. */
    void spend() {
        tokens -= 1;
    }
}
