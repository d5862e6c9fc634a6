package opalcove.decision;

/** What a module may have its gateway do. All take effect at once, in order. */
public interface DecisionActions {
    /** Starts an attempt; attempts of a request are numbered from 0. A timeoutMs of 0 waits to the deadline. */
    void send(String id, String host, double timeoutMs);

    /** Final answer: turned away, trying again is harmless. */
    void refuse(String id, double retryAfterMs);

    /** Final answer: failed, nothing promised. */
    void fail(String id);

    /** Stops waiting for an attempt. */
    void cancel(String id, int attempt);

    /** Asks for {@link DecisionModule#timer}. */
    void wake(long token, double afterMs);

    /** The timer with this token is no longer needed; where timers cannot be called off, it may still come. */
    default void forget(long token) {}

    /** Asks a host for a sign of life and its load. */
    void probe(String host);

    /** Asks for changes of the host list from now on. */
    void follow();

    /** Writes a line to the log. */
    void log(String line);
}
