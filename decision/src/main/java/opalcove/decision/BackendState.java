package opalcove.decision;

/**
 * The state of a backend as this gateway observes it: its entry in the endpoint list, its health and its slow start.
 * Owned by the thread that delivers the instance's events.
 */
final class BackendState {
    Endpoint endpoint;

    /** The groups whose failure rates count against this backend: its zone and its kind. */
    String zoneGroup;

    String kindGroup;

    /** Whether the endpoint list shows this backend as up. */
    boolean up;

    double removedAtMs = DecisionContext.UNSCHEDULED_MS;

    /** Moving mean of the response time as a multiple of the expected one. */
    double slowness = 1;

    /** Moving mean of the fraction of responses that were errors. */
    double errorRate;

    /** Work that may still be sent to this backend during its slow start, ms of expected response time. */
    double slowStartBudgetMs;

    /** Sum of the expected response times of all attempts in flight, ms. */
    double outstandingMs;

    double respondedAtMs;
    double busySinceMs;
    double ejectedUntilMs;
    double startedAtMs = DecisionContext.NEVER_MS;
    double pressureAtMs = DecisionContext.NEVER_MS;
    double connectedAtMs = DecisionContext.NEVER_MS;

    /** The time of the first of the current consecutive failures, ms; -1 if there are none. */
    double failingSinceMs = -1;

    int inFlight;

    /** Failures and failed connects since the backend was last reachable, and rejections since its last response. */
    int failures;

    int failedConnects;
    int rejections;

    /** Whether the backend fails repeatedly; it then receives no more than one attempt at a time. */
    boolean isFailing() {
        return failures > 1;
    }
}
