package opalcove.decision;

/**
 * A backend as this gateway sees it: its entry in the endpoint list, its health and its slow start. Owned by the thread
 * that delivers the instance's events.
 */
final class BackendState {
    Endpoint endpoint;

    /** The groups whose faults count against it: its zone and its kind. */
    String zoneGroup;

    String kindGroup;

    /** Whether the endpoint list has it as up. */
    boolean up;

    double removedAtMs = DecisionContext.UNSCHEDULED_MS;

    /** Response time as a multiple of the expected one, a moving mean. */
    double slowness = 1;

    /** Part of the responses that were errors, a moving mean. */
    double errorRate;

    /** Work that it may still be sent during its slow start, ms. */
    double slowStartBudgetMs;

    /** Expected response times of all attempts in flight, ms. */
    double outstandingMs;

    double respondedAtMs;
    double busySinceMs;
    double ejectedUntilMs;
    double startedAtMs = DecisionContext.NEVER_MS;
    double pressureAtMs = DecisionContext.NEVER_MS;
    double connectedAtMs = DecisionContext.NEVER_MS;

    /** When the present row of failures began, ms; -1 where it does not fail. */
    double failingSinceMs = -1;

    int inFlight;

    /** Failures, failed connects and rejections since it last responded. */
    int failures;

    int failedConnects;
    int rejections;

    /** Whether it fails repeatedly and is given no more than one attempt at a time. */
    boolean isFailing() {
        return failures > 1;
    }
}
