package opalcove.laboratory.soak;

/** The types of faults that the soak injects. */
public enum FaultType {
    /** A gateway is terminated by SIGTERM and started again at its address. */
    GATEWAY_TERM(Target.GATEWAY),
    /** A gateway is killed and started again. */
    GATEWAY_KILL(Target.GATEWAY),
    /** A gateway is stopped repeatedly by SIGSTOP, for up to 0.4 s each time. */
    GATEWAY_PAUSE(Target.GATEWAY),
    /** A gateway's file is replaced with another discovery address and settings, with several SIGHUPs in a row. */
    GATEWAY_RELOAD(Target.GATEWAY),
    /** A backend is killed and started again, so that it begins a slow start. */
    BACKEND_KILL(Target.BACKEND),
    /** A backend is stopped by SIGSTOP. */
    BACKEND_PAUSE(Target.BACKEND),
    /** A backend drains, while its process continues to run. */
    BACKEND_DRAIN(Target.BACKEND),
    /** A backend is removed from the list, and in half of the cases is added again later as newly started. */
    BACKEND_REMOVE(Target.BACKEND),
    /** A backend rejects requests. */
    BACKEND_BUSY(Target.BACKEND),
    /** A backend responds with errors. */
    BACKEND_ERROR(Target.BACKEND),
    /** A backend takes many times as long for a request as normally. */
    BACKEND_SLOW(Target.BACKEND),
    /** A backend never responds to some requests. */
    BACKEND_HANG(Target.BACKEND),
    /** A backend's responses are truncated, never end, are not valid RESP2, or are sent twice. */
    BACKEND_SPOILT(Target.BACKEND),
    /** A backend closes connections after a response. */
    BACKEND_CLOSES(Target.BACKEND),
    /** A backend responds with long values, some of which are truncated. */
    BACKEND_LONG(Target.BACKEND),
    /**
     * The connections between a gateway and some of the backends transfer nothing, and are reset when the fault ends.
     */
    LINK_CUT(Target.GATEWAY),
    /** Connections to backends are reset while requests are in flight. */
    LINK_RESET(Target.GATEWAY),
    /** Responses of backends arrive in small pieces. */
    LINK_PIECES(Target.GATEWAY),
    /** A gateway's discovery agent accepts requests without responding. */
    DISCOVERY_SILENT(Target.GATEWAY),
    /** A gateway's discovery agent refuses connections. */
    DISCOVERY_REFUSED(Target.GATEWAY),
    /** The watch that is open at the start of the fault never gets a response. */
    WATCH_HUNG(Target.GATEWAY),
    /** Discovery connections with their watches are reset, and later watches get complete lists. */
    WATCH_RESET(Target.GATEWAY),
    /** Discovery's lists are truncated in the middle. */
    LIST_TORN(Target.GATEWAY),
    /** Clients send requests at three times the normal rate. */
    CLIENT_BURST(Target.GATEWAY),
    /** Clients close or reset their connections while requests are open. */
    CLIENT_LEAVES(Target.GATEWAY),
    /** Clients write requests in pieces over up to 1 s. */
    CLIENT_SLOW(Target.GATEWAY),
    /** Clients stop in the middle of a request without closing the connection, some with an earlier request open. */
    CLIENT_STALLS(Target.GATEWAY),
    /** Clients send invalid commands between valid ones on the same connections. */
    CLIENT_ERRORS(Target.GATEWAY),
    /** Clients open connections that send no command, which use up the gateway's descriptors. */
    CLIENT_CROWD(Target.GATEWAY),
    /** Clients pipeline many requests on a connection. */
    CLIENT_PIPELINES(Target.GATEWAY),
    /** The wall clock of a gateway is stepped by seconds or an hour. */
    CLOCK_STEP(Target.SYSTEM),
    /** accept fails. */
    ACCEPT_FAILS(Target.SYSTEM),
    /** socket fails. */
    SOCKET_FAILS(Target.SYSTEM),
    /** connect to backends or discovery fails immediately. */
    CONNECT_FAILS(Target.SYSTEM),
    /** Reads from connections to backends or discovery fail. */
    READ_FAILS(Target.SYSTEM),
    /** Reads and writes transfer one byte. */
    SHORT_CALLS(Target.SYSTEM),
    /** Waits for sockets are interrupted. */
    WAIT_INTERRUPTED(Target.SYSTEM);

    /** What a fault affects. */
    enum Target {
        GATEWAY,
        BACKEND,
        /** The system calls of a gateway process, through the shim that is loaded into it. */
        SYSTEM
    }

    final Target target;

    FaultType(Target target) {
        this.target = target;
    }
}
