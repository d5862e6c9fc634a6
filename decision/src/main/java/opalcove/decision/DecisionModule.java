package opalcove.decision;

import java.util.List;

/**
 * What an admission gateway and its decision module say to each other. The module implements the events, the embedding
 * gateway implements {@link Actions}. Times are milliseconds of one clock that only goes forward. Types only.
 */
public interface DecisionModule {

    /** The host list: whole, or only its changed lines. */
    void endpointsChanged(double now, boolean whole, List<Endpoint> lines);

    /** Asking for the host list failed, or following it broke off. */
    void endpointListFailed(double now);

    /** A request was taken. */
    void requestArrived(double now, AdmissionRequest request);

    /** An attempt ended. */
    void attemptEnded(double now, AttemptOutcome outcome);

    /**
     * Figures that came after their attempt's outcome was told, as at the end of a long value: usedPercent below 0 and
     * trueUnits 0 where none came.
     */
    void usageReported(double now, AdmissionRequest request, int usedPercent, double trueUnits);

    /** A streamed answer began: the attempt is the client's now. */
    void responseStarted(double now, String id, int attempt);

    /** The client has left, or the request is over. */
    void requestCancelled(double now, String id);

    /** A timer asked for is due. */
    void timerExpired(double now, long token);

    /** A probe ended. */
    void healthCheckEnded(double now, String host, ProbeStatus result, double elapsedMs, double[] load);
}
