package opalcove.core;

import io.netty.buffer.ByteBuf;
import opalcove.decision.AttemptStatus;

/**
 * How an attempt at an app node ended. The value is null unless it was served; usedPercent is below 0 and trueUnits 0
 * where the node told none; load is null without a report.
 */
public record AttemptResult(
        AttemptStatus result, ByteBuf value, int quotaUsedPercent, double actualUnits, double[] loadReport) {
    /** An end of which the node told nothing. */
    public static AttemptResult withoutReport(AttemptStatus result) {
        return new AttemptResult(result, null, -1, 0, null);
    }
}
