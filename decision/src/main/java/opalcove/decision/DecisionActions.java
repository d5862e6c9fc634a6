package opalcove.decision;

/** What a decision module has its embedding gateway do. All actions take effect at once, in their order. */
public interface DecisionActions {
    /**
     * Starts an attempt; attempts of a request are numbered from 0.
     *
     * @param timeoutMs 0 waits until the client's deadline
     */
    void startAttempt(String requestId, String backend, double timeoutMs);

    /**
     * Final response: shed, a retry is harmless.
     *
     * @param retryAfterMs how long the client should wait before it retries; 0 where there is no advice
     */
    void shed(String requestId, double retryAfterMs);

    /** Final response: failed, nothing is promised. */
    void fail(String requestId);

    /** Stops waiting for an attempt. */
    void cancelAttempt(String requestId, int attempt);

    /** Asks for {@link DecisionModule#timerExpired} with this token. */
    void setTimer(long token, double afterMs);

    /** The timer with this token is no longer needed; where timers cannot be cancelled, it may still expire. */
    default void cancelTimer(long token) {}

    /** Starts a health check, which ends in {@link DecisionModule#healthCheckEnded}. */
    void checkHealth(String backend);

    /** Subscribes to changes of the endpoint list. */
    void subscribeToEndpoints();

    /** Writes a line to the log. */
    void log(String line);
}
