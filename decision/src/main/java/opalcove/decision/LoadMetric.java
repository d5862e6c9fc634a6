package opalcove.decision;

/** The quantity that a value in a load report measures. */
public enum LoadMetric {
    IN_FLIGHT,
    QUEUED,
    CPU_SHARE,
    SERVICE_MS,
    SERVED_PER_S,
    ERRORS_PER_S,
    UNKNOWN
}
