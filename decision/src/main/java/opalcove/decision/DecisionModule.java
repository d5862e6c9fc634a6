package opalcove.decision;

import java.util.List;

/**
 * The events that an embedding gateway delivers to its decision module. The module responds with {@link
 * DecisionActions}. Each event carries its time in milliseconds of one monotonic clock. One thread delivers all events.
 */
public interface DecisionModule {

    /** The endpoint list was received: the complete list, or only its changed entries. */
    void endpointsChanged(double nowMs, boolean complete, List<Endpoint> endpoints);

    /** A poll of the endpoint list or its subscription failed. The previous list remains valid. */
    void endpointListFailed(double nowMs);

    /** A request arrived. The module must give it exactly one final response. */
    void requestArrived(double nowMs, AdmissionRequest request);

    /** An attempt ended. Each attempt that was started ends exactly once. */
    void attemptEnded(double nowMs, AttemptOutcome outcome);

    /**
     * Usage was reported after the outcome of the attempt, for example at the end of a streamed value.
     *
     * @param usedPercent the tenant's use of its rate over all gateways, percent; negative if it is not reported
     * @param trueUnits the actual units of the request; 0 if they are not reported
     */
    void usageReported(double nowMs, AdmissionRequest request, int usedPercent, double trueUnits);

    /** A streamed response started. The module no longer retries, hedges or times out the request. */
    void responseStarted(double nowMs, String requestId, int attempt);

    /** The client disconnected, or the request ended without the module. The module gives no final response anymore. */
    void requestCancelled(double nowMs, String requestId);

    /** A timer that {@link DecisionActions#setTimer} set expired. */
    void timerExpired(double nowMs, long token);

    /**
     * A health check ended.
     *
     * @param load the backend's load report, or null if there is none
     */
    void healthCheckEnded(double nowMs, String backend, ProbeStatus status, double elapsedMs, double[] load);
}
