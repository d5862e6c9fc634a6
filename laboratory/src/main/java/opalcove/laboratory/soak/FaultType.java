package opalcove.laboratory.soak;

/** The kinds of trouble that the soak makes. */
public enum FaultType {
    /** A gateway is told to end by SIGTERM and started again at its address. */
    GATEWAY_TERM(Place.GATEWAY),
    /** A gateway is killed and started again. */
    GATEWAY_KILL(Place.GATEWAY),
    /** A gateway is stopped by SIGSTOP for moments of up to 0.4 s. */
    GATEWAY_PAUSE(Place.GATEWAY),
    /** A gateway's file is replaced: discovery moves and the settings change; several SIGHUPs in a row. */
    GATEWAY_RELOAD(Place.GATEWAY),
    /** A backend is killed and started again, cold. */
    BACKEND_KILL(Place.BACKEND),
    /** A backend is stopped by SIGSTOP. */
    BACKEND_PAUSE(Place.BACKEND),
    /** A backend drains, and stays up. */
    BACKEND_DRAIN(Place.BACKEND),
    /** A backend is removed from the list, and comes back later as newly started. */
    BACKEND_REMOVE(Place.BACKEND),
    /** A backend turns requests away. */
    BACKEND_BUSY(Place.BACKEND),
    /** A backend answers with errors. */
    BACKEND_ERROR(Place.BACKEND),
    /** A backend takes many times as long. */
    BACKEND_SLOW(Place.BACKEND),
    /** A backend never answers some requests. */
    BACKEND_HANG(Place.BACKEND),
    /** A backend's answers are cut, never end, are no RESP2, or come twice. */
    BACKEND_SPOILT(Place.BACKEND),
    /** A backend closes connections soon after an answer. */
    BACKEND_CLOSES(Place.BACKEND),
    /** A backend answers with long values, some of which are cut. */
    BACKEND_LONG(Place.BACKEND),
    /** The connections between a gateway and a part of the backends fall silent, and are reset when they are back. */
    LINK_CUT(Place.GATEWAY),
    /** Connections to backends are reset under requests. */
    LINK_RESET(Place.GATEWAY),
    /** Answers come in small pieces. */
    LINK_PIECES(Place.GATEWAY),
    /** A gateway's discovery agent takes calls and answers none. */
    DISCOVERY_SILENT(Place.GATEWAY),
    /** A gateway's discovery agent refuses connections. */
    DISCOVERY_REFUSED(Place.GATEWAY),
    /** The watch that is open now is never answered. */
    WATCH_HUNG(Place.GATEWAY),
    /** Watches are reset. */
    WATCH_RESET(Place.GATEWAY),
    /** Lists are cut in the middle. */
    LIST_TORN(Place.GATEWAY),
    /** Three times as many requests. */
    CLIENT_BURST(Place.GATEWAY),
    /** Clients close their connections, or reset them, with requests open. */
    CLIENT_LEAVES(Place.GATEWAY),
    /** Clients write requests in pieces over up to a second. */
    CLIENT_SLOW(Place.GATEWAY),
    /** Clients stop in the middle of a request and stay, some with an earlier request open. */
    CLIENT_STALLS(Place.GATEWAY),
    /** Commands that are errors among good ones on the same connections. */
    CLIENT_ERRORS(Place.GATEWAY),
    /** Connections that send no command fill the descriptors. */
    CLIENT_CROWD(Place.GATEWAY),
    /** Many requests one behind another on a connection. */
    CLIENT_PIPELINES(Place.GATEWAY),
    /** The wall clock of a gateway is stepped by seconds or an hour. */
    CLOCK_STEP(Place.SYSTEM),
    /** accept fails. */
    ACCEPT_FAILS(Place.SYSTEM),
    /** socket fails. */
    SOCKET_FAILS(Place.SYSTEM),
    /** connect to backends or discovery fails at once. */
    CONNECT_FAILS(Place.SYSTEM),
    /** Reads of connections to backends or discovery fail. */
    READ_FAILS(Place.SYSTEM),
    /** Reads and writes transfer one byte. */
    SHORT_CALLS(Place.SYSTEM),
    /** Waits for sockets are interrupted. */
    WAIT_INTERRUPTED(Place.SYSTEM);

    /** What a trouble befalls. */
    enum Place {
        GATEWAY,
        BACKEND,
        /** A gateway process, by the shim that is loaded into it. */
        SYSTEM
    }

    final Place place;

    FaultType(Place place) {
        this.place = place;
    }
}
