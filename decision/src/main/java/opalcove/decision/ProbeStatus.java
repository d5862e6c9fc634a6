package opalcove.decision;

/** How a health check ended. */
public enum ProbeStatus {
    DONE,
    NOT_DONE,
    UNKNOWN
}
