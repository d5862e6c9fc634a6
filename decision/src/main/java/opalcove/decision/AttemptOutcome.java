package opalcove.decision;

/**
 * The outcome of an attempt.
 *
 * @param requestId the request's id
 * @param attempt the attempt's number, from 0
 * @param elapsedMs the time since the attempt was started, ms
 * @param requestEnded whether the request has received its final response
 * @param usedPercent the tenant's use of its rate over all gateways in the last reported period, percent; negative if
 *     it is not reported
 * @param trueUnits the actual units of the request; 0 if they are not reported
 * @param load the backend's load report, or null if there is none
 */
public record AttemptOutcome(
        String requestId,
        String backend,
        int attempt,
        AttemptStatus status,
        double elapsedMs,
        boolean requestEnded,
        int usedPercent,
        double trueUnits,
        double[] load) {}
