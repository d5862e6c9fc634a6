package opalcove.decision;

/** Where load reports come from. */
public enum LoadReportSource {
    NONE,
    IN_ANSWERS,
    ON_PROBES
}
