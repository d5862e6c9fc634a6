package opalcove.laboratory.soak;

/** The rules that the soak checks. */
public enum SoakRule {
    /**
     * A request that was written to an open connection gets its final response at most 0.5 s after its deadline, or
     * after the previous response on the connection if that is later.
     */
    ANSWERED,
    /** The connection of a request that was read is not closed without a response. */
    NOT_CLOSED_UNANSWERED,
    /** A response holds the value that a backend returned for this request. */
    OWN_VALUE,
    /** No attempt begins more than 0.1 s after its client has disconnected. */
    NOT_FOR_CLIENTS_THAT_LEFT,
    /** No attempt begins after the final response to its request. */
    NOT_AFTER_THE_ANSWER,
    /** The forwarded deadline is at most the client's remaining time, with a slack of 0.15 s. */
    DEADLINE_PASSED_ON,
    /**
     * A backend gets no new request once the grace period after the notification of its drain or removal has passed.
     */
    DRAIN,
    /** A newly started backend gets no more requests than its slow start allows. */
    SLOW_START,
    /** A request is repeated only as its class allows. */
    REPEAT,
    /** At most one attempt is in flight at a time, or two if the settings allow hedged requests. */
    SECOND_COPY,
    /** A request has no more attempts than the settings allow. */
    ATTEMPTS,
    /** A request is rejected only if a retry by the client is harmless. */
    REFUSAL,
    /** The hard ceiling of a tenant is kept over all gateways together. */
    CEILING,
    /** Clients that stop in the middle of a request get an error or a close within 3 s. */
    STALLED_CLIENT,
    /** A restarted gateway is ready within 10 s. */
    READY,
    /** A gateway that receives SIGTERM exits in time and with an allowed exit code. */
    ENDS_WELL,
    /** No gateway process exits unless the soak terminates it. */
    NO_CRASH,
    /** No gateway has more descriptors open than its limit. */
    DESCRIPTORS,
    /** No gateway counts a violation of its own rules, and none logs an error. */
    OWN_CHECKS
}
