package opalcove.metrics;

/** The reasons for which a request is refused. */
public enum ShedReason {
    /** The decision module refused the request: because of a quota, overload, or because no backend was available. */
    DECIDED("decided"),
    /** The number of open requests had reached the limit of the settings. */
    TOO_MANY_OPEN("too_many_open"),
    /** The process would exit before there is a response. */
    ENDING("ending"),
    /** The deadline of the request had passed before the request was read. */
    UNREAD_IN_TIME("unread_in_time"),
    /** There was no memory for the body of the request before its deadline. */
    NO_MEMORY("no_memory"),
    /** The client may have disconnected, and there was no memory to read the input behind which that would show. */
    CLIENT_UNKNOWN("client_unknown");

    private final String metricName;

    ShedReason(String metricName) {
        this.metricName = metricName;
    }

    /** Returns the name of the reason in INFO. */
    String metricName() {
        return metricName;
    }
}
