package opalcove.core;

import io.netty.buffer.ByteBuf;
import opalcove.decision.AttemptStatus;

/**
 * How an attempt at a backend ended.
 *
 * @param value null unless it was served; lent for the time of the call that brings it
 * @param quotaUsedPercent the tenant's use of its quota as the backend reports it; below 0 where it does not
 * @param actualUnits the units that the request has cost; 0 where not reported
 * @param loadReport null where none came
 */
public record AttemptResult(
        AttemptStatus status, ByteBuf value, int quotaUsedPercent, double actualUnits, double[] loadReport) {
    /** An end of which the backend reported nothing. */
    public static AttemptResult withoutReport(AttemptStatus result) {
        return new AttemptResult(result, null, -1, 0, null);
    }
}
