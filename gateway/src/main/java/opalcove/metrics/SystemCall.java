package opalcove.metrics;

/** The system calls whose failures are counted. */
public enum SystemCall {
    ACCEPT("accept"),
    CONNECT("connect");

    private final String metricName;

    SystemCall(String metricName) {
        this.metricName = metricName;
    }

    /** The name in figures. */
    String metricName() {
        return metricName;
    }
}
