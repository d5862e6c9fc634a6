package opalcove.metrics;

/** The system calls whose failures are counted. */
public enum SystemCall {
    ACCEPT("accept"),
    CONNECT("connect");

    private final String metricName;

    SystemCall(String metricName) {
        this.metricName = metricName;
    }

    /** Returns the name of the call in metrics. */
    String metricName() {
        return metricName;
    }
}
