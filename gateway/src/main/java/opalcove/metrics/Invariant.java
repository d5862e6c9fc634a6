package opalcove.metrics;

/** The invariants that are checked while the gateway runs, one name each in its figures and its log. */
public enum Invariant {
    /** A request gets its final response within its time. */
    ANSWER_IN_TIME("answer_in_time"),
    /** A request that was read is not closed without a response. */
    CLOSED_UNANSWERED("closed_unanswered"),
    /** Nothing is sent for a client that has left, or whose request is over. */
    CLIENT_WAITS("client_waits"),
    /** A backend gets no longer deadline than its client has left. */
    DEADLINE_PASSED_ON("deadline_passed_on"),
    /** Nothing new is sent to a backend that the list does not offer. */
    LISTED("listed"),
    /** A request is repeated only as its class allows. */
    REPEAT("repeat"),
    /** No more attempts of a request are out, or made, than the settings allow. */
    ATTEMPTS("attempts"),
    /** A refusal only where trying again is harmless. */
    REFUSAL("refusal");

    private final String metricName;

    Invariant(String metricName) {
        this.metricName = metricName;
    }

    /** The name in figures and the log. */
    String metricName() {
        return metricName;
    }
}
