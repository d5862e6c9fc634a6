package opalcove.decision;

/**
 * How an attempt ended.
 *
 * @param id the request's id
 * @param attempt the attempt's number, from 0
 * @param elapsedMs the time since it was started
 * @param requestEnded whether the request has its final response
 * @param usedPercent the tenant's use of its rate over all gateways in the last reported period; below 0 where none is
 *     reported
 * @param trueUnits the request's true units; 0 where none are reported
 * @param load the load report of the backend; null where none came
 */
public record AttemptOutcome(
        String id,
        String backend,
        int attempt,
        AttemptStatus status,
        double elapsedMs,
        boolean requestEnded,
        int usedPercent,
        double trueUnits,
        double[] load) {}
