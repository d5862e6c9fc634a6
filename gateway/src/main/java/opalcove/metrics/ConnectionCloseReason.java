package opalcove.metrics;

/** Why a front end has closed a client's connection. */
public enum ConnectionCloseReason {
    /** It was idle for as long as a connection may be. */
    IDLE("idle"),
    /** The gateway drains, and owed nothing on it. */
    DRAINED("drained"),
    /** Capacity was needed for a new one, and it was idle. */
    CAPACITY_NEEDED("for_room"),
    /** It stopped in the middle of a command. */
    STALLED("stalled"),
    /** What came was no command. */
    PROTOCOL("protocol"),
    /** A streamed value ended before it was complete. */
    TRUNCATED("cut");

    private final String metricName;

    ConnectionCloseReason(String metricName) {
        this.metricName = metricName;
    }

    /** The name in INFO. */
    String metricName() {
        return metricName;
    }
}
