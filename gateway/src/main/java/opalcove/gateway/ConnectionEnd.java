package opalcove.gateway;

import java.util.Locale;

/** Why a front has ended a client's connection. */
public enum ConnectionEnd {
    /** It carried nothing for as long as a connection may rest. */
    IDLE,
    /** Clients are sent away, and it owed nothing. */
    DRAINED,
    /** Room was needed for a new one, and it carried nothing. */
    FOR_ROOM,
    /** Half a command stood still on it. */
    STALLED,
    /** What came was no command. */
    PROTOCOL,
    /** A value was cut amid its passing. */
    CUT;

    /** The reason's name in figures. */
    String figure() {
        return name().toLowerCase(Locale.ROOT);
    }
}
