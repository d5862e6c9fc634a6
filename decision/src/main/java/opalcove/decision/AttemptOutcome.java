package opalcove.decision;

/**
 * How an attempt ended; over: the request has its final answer; usedPercent: the customer's use of its rate over
 * all gateways in the last period told, below 0 where none is told; trueUnits: 0 where none are told; load: null
 * where no report came.
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
