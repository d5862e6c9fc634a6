package opalcove.metrics;

/** Why a request was refused. */
public enum ShedReason {
    /** The decision module refused it: for quotas, pressure, or since no backend had it. */
    DECIDED("decided"),
    /** As many requests were open as the settings allow. */
    TOO_MANY_OPEN("too_many_open"),
    /** The process ends before there would be an answer. */
    ENDING("ending"),
    /** Its time was over before it was read. */
    UNREAD_IN_TIME("unread_in_time");

    private final String figure;

    ShedReason(String figure) {
        this.figure = figure;
    }

    /** The reason's name in figures. */
    String figure() {
        return figure;
    }
}
