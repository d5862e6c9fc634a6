package opalcove.decision;

/** The source of load reports. */
public enum LoadReportSource {
    NONE,
    IN_RESPONSES,
    ON_HEALTH_CHECKS
}
