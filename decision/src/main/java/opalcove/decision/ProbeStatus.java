package opalcove.decision;

/** How a call to the shared counter, or a probe, ended. */
public enum ProbeStatus {
    DONE,
    NOT_DONE,
    UNKNOWN
}
