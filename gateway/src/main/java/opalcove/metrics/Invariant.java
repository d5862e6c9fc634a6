package opalcove.metrics;

/** The invariants that are checked while the gateway runs. Each has a name in the metrics and the log. */
public enum Invariant {
    /** A request gets its final response before its deadline. */
    ANSWER_IN_TIME("answer_in_time"),
    /** A connection is not closed without a response to a request that was read. */
    CLOSED_UNANSWERED("closed_unanswered"),
    /** Nothing is sent to a backend for a client that has disconnected or whose request has ended. */
    CLIENT_WAITS("client_waits"),
    /** The deadline sent to a backend is no longer than the time that remains for its client. */
    DEADLINE_PASSED_ON("deadline_passed_on"),
    /** No new attempt is sent to a backend that is not available according to the endpoint list. */
    LISTED("listed"),
    /** A request is repeated only if its class permits it. */
    REPEAT("repeat"),
    /** A request has no more attempts, in flight or in total, than the settings permit. */
    ATTEMPTS("attempts"),
    /** A request is refused only if a retry by the client is harmless. */
    REFUSAL("refusal");

    private final String metricName;

    Invariant(String metricName) {
        this.metricName = metricName;
    }

    /** Returns the name of the invariant in metrics and the log. */
    String metricName() {
        return metricName;
    }
}
