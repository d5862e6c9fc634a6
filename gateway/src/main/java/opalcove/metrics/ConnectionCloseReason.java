package opalcove.metrics;

/** Why a front has ended a client's connection. */
public enum ConnectionCloseReason {
    /** It carried nothing for as long as a connection may rest. */
    IDLE("idle"),
    /** Clients are sent away, and it owed nothing. */
    DRAINED("drained"),
    /** Room was needed for a new one, and it carried nothing. */
    FOR_ROOM("for_room"),
    /** Half a command stood still on it. */
    STALLED("stalled"),
    /** What came was no command. */
    PROTOCOL("protocol"),
    /** A value was cut amid its passing. */
    CUT("cut");

    private final String figure;

    ConnectionCloseReason(String figure) {
        this.figure = figure;
    }

    /** The reason's name in figures. */
    String figure() {
        return figure;
    }
}
