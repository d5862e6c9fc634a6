package opalcove.decision;

/**
 * The actions that a decision module requests from the gateway that embeds it. They take effect immediately and in the
 * order of the calls.
 */
public interface DecisionActions {
    /**
     * Starts an attempt. The attempts of a request are numbered from 0 in the order of these calls.
     *
     * @param timeoutMs the time limit of the attempt, ms; 0 for the client's deadline
     */
    void startAttempt(String requestId, String backend, double timeoutMs);

    /**
     * Sends the final response that the request was shed, which promises that a retry is harmless.
     *
     * @param retryAfterMs the time that the client should wait before it retries, ms; 0 for no advice
     */
    void shed(String requestId, double retryAfterMs);

    /** Sends the final response that the request failed, which promises nothing about a retry. */
    void fail(String requestId);

    /** Cancels an attempt: its response is no longer awaited. */
    void cancelAttempt(String requestId, int attempt);

    /** Requests a call of {@link DecisionModule#timerExpired} with this token after this time, ms. */
    void setTimer(long token, double afterMs);

    /** Cancels the timer with this token. If the gateway cannot cancel timers, it may still expire. */
    default void cancelTimer(long token) {}

    /** Starts a health check. {@link DecisionModule#healthCheckEnded} delivers its result. */
    void checkHealth(String backend);

    /** Subscribes to changes of the endpoint list. */
    void subscribeToEndpoints();

    /** Writes a line to the log. */
    void log(String line);
}
