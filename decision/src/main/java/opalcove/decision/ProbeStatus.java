package opalcove.decision;

/** The result of a health check. */
public enum ProbeStatus {
    DONE,
    NOT_DONE,
    UNKNOWN
}
