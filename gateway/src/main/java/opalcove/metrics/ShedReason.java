package opalcove.metrics;

/** Why a request was refused. */
public enum ShedReason {
    /** The decision module refused it: for quotas, pressure, or because no backend had it. */
    DECIDED("decided"),
    /** As many requests were open as the settings allow. */
    TOO_MANY_OPEN("too_many_open"),
    /** The process ends before there would be a response. */
    ENDING("ending"),
    /** Its deadline was over before it was read. */
    UNREAD_IN_TIME("unread_in_time");

    private final String metricName;

    ShedReason(String metricName) {
        this.metricName = metricName;
    }

    /** The name in INFO. */
    String metricName() {
        return metricName;
    }
}
