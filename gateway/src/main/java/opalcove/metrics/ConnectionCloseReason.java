package opalcove.metrics;

/** The reasons for which the gateway closes a client connection. */
public enum ConnectionCloseReason {
    /** The connection was idle for longer than permitted. */
    IDLE("idle"),
    /** The gateway drains, and no response was pending on the connection. */
    DRAINED("drained"),
    /** The connection was idle, and its descriptor was needed for a new connection. */
    CAPACITY_NEEDED("for_room"),
    /** The client stopped sending in the middle of a command. */
    STALLED("stalled"),
    /** The client sent something that is not a command. */
    PROTOCOL("protocol"),
    /** A streamed value ended before it was complete. */
    TRUNCATED("cut");

    private final String metricName;

    ConnectionCloseReason(String metricName) {
        this.metricName = metricName;
    }

    /** Returns the name of the reason in INFO. */
    String metricName() {
        return metricName;
    }
}
