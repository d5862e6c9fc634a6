package opalcove.decision;

/** Where load reports come from. */
public enum LoadReportSource {
    NONE,
    IN_RESPONSES,
    ON_HEALTH_CHECKS
}
