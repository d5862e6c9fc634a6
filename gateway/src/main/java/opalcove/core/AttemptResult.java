package opalcove.core;

import io.netty.buffer.ByteBuf;
import opalcove.decision.AttemptStatus;

/**
 * How an attempt at a backend ended.
 *
 * @param value the backend's value, or null unless the attempt was served; valid only during the call that delivers it
 * @param quotaUsedPercent the tenant's used part of its quota as reported by the backend, percent; below 0 if not
 *     reported
 * @param actualUnits the units that the request has cost; 0 if not reported
 * @param loadReport the backend's load report, or null if there was none
 */
public record AttemptResult(
        AttemptStatus status, ByteBuf value, int quotaUsedPercent, double actualUnits, double[] loadReport) {
    /** Returns a result without any data from the backend. */
    public static AttemptResult withoutReport(AttemptStatus status) {
        return new AttemptResult(status, null, -1, 0, null);
    }
}
