package opalcove.decision;

/**
 * Limits the retries and hedged requests that add load. Each first attempt earns a tenth of a token, and each of them
 * costs one token. Owned by the thread that delivers the instance's events.
 */
final class RetryBudget {
    private static final double MAX_TOKENS = 10;
    private static final double EARNED_PER_REQUEST = 0.1;

    private double tokens;

    /** Earns a fraction of a token for a request that is forwarded. */
    void earn() {
        tokens = Math.min(MAX_TOKENS, tokens + EARNED_PER_REQUEST);
    }

    /** Whether there is a token for another attempt. */
    boolean hasToken() {
        return tokens >= 1;
    }

    /** Spends a token on another attempt. */
    void spend() {
        tokens -= 1;
    }
}
