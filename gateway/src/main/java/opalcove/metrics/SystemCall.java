package opalcove.metrics;

/** The calls of the system whose failures are counted. */
public enum SystemCall {
    ACCEPT("accept"),
    CONNECT("connect");

    private final String figure;

    SystemCall(String figure) {
        this.figure = figure;
    }

    /** The call's name in figures. */
    String figure() {
        return figure;
    }
}
