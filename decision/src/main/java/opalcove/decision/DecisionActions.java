package opalcove.decision;

/** What a module may have its gateway do. All take effect at once, in order. */
public interface DecisionActions {
    /** Starts an attempt; attempts of a request are numbered from 0. A timeoutMs of 0 waits to the deadline. */
    void startAttempt(String id, String host, double timeoutMs);

    /** Final answer: turned away, trying again is harmless. */
    void shed(String id, double retryAfterMs);

    /** Final answer: failed, nothing promised. */
    void fail(String id);

    /** Stops waiting for an attempt. */
    void cancelAttempt(String id, int attempt);

    /** Asks for {@link DecisionModule#timerExpired}. */
    void setTimer(long token, double afterMs);

    /** The timer with this token is no longer needed; where timers cannot be called off, it may still come. */
    default void cancelTimer(long token) {}

    /** Asks a host for a sign of life and its load. */
    void checkHealth(String host);

    /** Asks for changes of the host list from now on. */
    void subscribeToEndpoints();

    /** Writes a line to the log. */
    void log(String line);
}
