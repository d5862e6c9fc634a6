package opalcove.laboratory.soak;

/** The rules that the soak's oracle judges. */
public enum SoakRule {
    /** A request that was written to an open connection gets its final answer, at most 0.5 s after its time. */
    ANSWERED,
    /** A request that was read is not closed without an answer. */
    NOT_CLOSED_UNANSWERED,
    /** A value is what a backend gave for this request. */
    OWN_VALUE,
    /** No attempt begins more than 0.1 s after its client has left. */
    NOT_FOR_CLIENTS_THAT_LEFT,
    /** No attempt begins once its request had its final answer. */
    NOT_AFTER_THE_ANSWER,
    /** The deadline passed on is at most what the client has left, with 0.15 s of slack. */
    DEADLINE_PASSED_ON,
    /** Nothing new to a backend after the grace since its drain or removal was told. */
    DRAIN,
    /** A cold backend gets no more than it bears. */
    SLOW_START,
    /** A request is repeated only as its class allows. */
    REPEAT,
    /** One attempt is out at a time, two where the settings allow second copies. */
    SECOND_COPY,
    /** No more attempts than the settings allow. */
    ATTEMPTS,
    /** A refusal only where trying again is harmless. */
    REFUSAL,
    /** The hard ceiling of a customer holds over all gateways. */
    CEILING,
    /** Clients that stop in the middle of a request get their error or close within 3 s. */
    STALLED_CLIENT,
    /** A restarted gateway is ready within 10 s. */
    READY,
    /** A process that is told to end does so, and well. */
    ENDS_WELL,
    /** No gateway ends by itself. */
    NO_CRASH,
    /** No gateway holds more descriptors than its limit. */
    DESCRIPTORS,
    /** No gateway counts a violation of its own rules, and none logs an error. */
    OWN_CHECKS
}
