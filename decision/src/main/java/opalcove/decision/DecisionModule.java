package opalcove.decision;

import java.util.List;

/**
 * The events that an embedding gateway delivers to its decision module, which answers through {@link DecisionActions}.
 * Each event carries its time, in milliseconds of one clock that only goes forward. One thread delivers all events.
 */
public interface DecisionModule {

    /** The endpoint list was read: the complete one, or its changed entries alone. */
    void endpointsChanged(double nowMs, boolean complete, List<Endpoint> endpoints);

    /** A poll of the endpoint list failed, or its subscription broke off; the list before remains valid. */
    void endpointListFailed(double nowMs);

    /** A request arrived; the module owes it one final response. */
    void requestArrived(double nowMs, AdmissionRequest request);

    /** An attempt ended; each attempt that was started ends once. */
    void attemptEnded(double nowMs, AttemptOutcome outcome);

    /**
     * Usage was reported after its attempt's outcome, as at the end of a streamed value.
     *
     * @param usedPercent the tenant's use of its rate over all gateways; below 0 where none is reported
     * @param trueUnits the request's true units; 0 where none are reported
     */
    void usageReported(double nowMs, AdmissionRequest request, int usedPercent, double trueUnits);

    /** A streamed response began: the attempt belongs to the client now. */
    void responseStarted(double nowMs, String requestId, int attempt);

    /** The client has left, or its request was ended without the module; the module owes no final response any more. */
    void requestCancelled(double nowMs, String requestId);

    /** A timer expired, as set by {@link DecisionActions#setTimer}. */
    void timerExpired(double nowMs, long token);

    /**
     * A health check ended.
     *
     * @param load the load report of the backend; null where none came
     */
    void healthCheckEnded(double nowMs, String backend, ProbeStatus status, double elapsedMs, double[] load);
}
