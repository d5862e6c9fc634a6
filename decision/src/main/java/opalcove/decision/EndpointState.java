package opalcove.decision;

/** What the host list says of a host. */
public enum EndpointState {
    UP,
    DRAINING,
    REMOVED
}
