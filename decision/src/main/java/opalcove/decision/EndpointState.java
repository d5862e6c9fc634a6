package opalcove.decision;

/** The state of a backend in the endpoint list. */
public enum EndpointState {
    UP,
    DRAINING,
    REMOVED
}
