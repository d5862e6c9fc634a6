package opalcove.gateway;

import java.util.Locale;

/** The rules that are checked while the gateway runs, one name each in its figures and its log. */
public enum Rule {
    /** A request gets its final answer within its time. */
    ANSWER_IN_TIME,
    /** A request that was read is not closed without an answer. */
    CLOSED_UNANSWERED,
    /** Nothing is sent for a client that has left, or whose request is over. */
    CLIENT_WAITS,
    /** A backend is told no longer deadline than its client has left. */
    DEADLINE_PASSED_ON,
    /** Nothing new is sent to a backend that the list does not offer. */
    LISTED,
    /** A request is repeated only as its class allows. */
    REPEAT,
    /** No more attempts of a request are out, or made, than the settings allow. */
    ATTEMPTS,
    /** A refusal only where trying again is harmless. */
    REFUSAL;

    /** The rule's name in figures. */
    String figure() {
        return name().toLowerCase(Locale.ROOT);
    }
}
