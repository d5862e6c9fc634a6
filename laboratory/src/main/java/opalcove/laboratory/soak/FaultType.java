package opalcove.laboratory.soak;

/** The types of faults that the soak injects. */
public enum FaultType {
    /** A gateway is terminated by SIGTERM and started again at its address. */
    GATEWAY_TERM(Place.GATEWAY),
    /** A gateway is killed and started again. */
    GATEWAY_KILL(Place.GATEWAY),
    /** A gateway is stopped repeatedly by SIGSTOP, for up to 0.4 s each time. */
    GATEWAY_PAUSE(Place.GATEWAY),
    /** A gateway's file is replaced with another discovery address and settings, with several SIGHUPs in a row. */
    GATEWAY_RELOAD(Place.GATEWAY),
    /** A backend is killed and started again, so that it begins a slow start. */
    BACKEND_KILL(Place.BACKEND),
    /** A backend is stopped by SIGSTOP. */
    BACKEND_PAUSE(Place.BACKEND),
    /** A backend drains, while its process continues to run. */
    BACKEND_DRAIN(Place.BACKEND),
    /** A backend is removed from the list, and in half of the cases is added again later as newly started. */
    BACKEND_REMOVE(Place.BACKEND),
    /** A backend rejects requests. */
    BACKEND_BUSY(Place.BACKEND),
    /** A backend responds with errors. */
    BACKEND_ERROR(Place.BACKEND),
    /** A backend takes many times as long for a request as normally. */
    BACKEND_SLOW(Place.BACKEND),
    /** A backend never responds to some requests. */
    BACKEND_HANG(Place.BACKEND),
    /** A backend's responses are truncated, never end, are not valid RESP2, or are sent twice. */
    BACKEND_SPOILT(Place.BACKEND),
    /** A backend closes connections after a response. */
    BACKEND_CLOSES(Place.BACKEND),
    /** A backend responds with long values, some of which are truncated. */
    BACKEND_LONG(Place.BACKEND),
    /**
     * The connections between a gateway and some of the backends transfer nothing, and are reset when the fault ends.
     */
    LINK_CUT(Place.GATEWAY),
    /** Connections to backends are reset while requests are in flight. */
    LINK_RESET(Place.GATEWAY),
    /** Responses of backends arrive in small pieces. */
    LINK_PIECES(Place.GATEWAY),
    /** A gateway's discovery agent accepts requests without responding. */
    DISCOVERY_SILENT(Place.GATEWAY),
    /** A gateway's discovery agent refuses connections. */
    DISCOVERY_REFUSED(Place.GATEWAY),
    /** The watch that is open at the start of the fault never gets a response. */
    WATCH_HUNG(Place.GATEWAY),
    /** Discovery connections with their watches are reset, and later watches get complete lists. */
    WATCH_RESET(Place.GATEWAY),
    /** Discovery's lists are truncated in the middle. */
    LIST_TORN(Place.GATEWAY),
    /** Clients send requests at three times the normal rate. */
    CLIENT_BURST(Place.GATEWAY),
    /** Clients close or reset their connections while requests are open. */
    CLIENT_LEAVES(Place.GATEWAY),
    /** Clients write requests in pieces over up to 1 s. */
    CLIENT_SLOW(Place.GATEWAY),
    /** Clients stop in the middle of a request without closing the connection, some with an earlier request open. */
    CLIENT_STALLS(Place.GATEWAY),
    /** Clients send invalid commands between valid ones on the same connections. */
    CLIENT_ERRORS(Place.GATEWAY),
    /** Clients open connections that send no command, which use up the gateway's descriptors. */
    CLIENT_CROWD(Place.GATEWAY),
    /** Clients pipeline many requests on a connection. */
    CLIENT_PIPELINES(Place.GATEWAY),
    /** The wall clock of a gateway is stepped by seconds or an hour. */
    CLOCK_STEP(Place.SYSTEM),
    /** accept fails. */
    ACCEPT_FAILS(Place.SYSTEM),
    /** socket fails. */
    SOCKET_FAILS(Place.SYSTEM),
    /** connect to backends or discovery fails immediately. */
    CONNECT_FAILS(Place.SYSTEM),
    /** Reads from connections to backends or discovery fail. */
    READ_FAILS(Place.SYSTEM),
    /** Reads and writes transfer one byte. */
    SHORT_CALLS(Place.SYSTEM),
    /** Waits for sockets are interrupted. */
    WAIT_INTERRUPTED(Place.SYSTEM);

    /** What a fault affects. */
    enum Place {
        GATEWAY,
        BACKEND,
        /** The system calls of a gateway process, through the shim that is loaded into it. */
        SYSTEM
    }

    final Place place;

    FaultType(Place place) {
        this.place = place;
    }
}
