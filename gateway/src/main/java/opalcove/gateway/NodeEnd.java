package opalcove.gateway;

import io.netty.buffer.ByteBuf;
import opalcove.decision.Admission;

/**
 * How an attempt at an app node ended. The value is null unless it was served; usedPercent is below 0 and trueUnits 0
 * where the node told none; load is null without a report.
 */
public record NodeEnd(Admission.Result result, ByteBuf value, int usedPercent, double trueUnits, double[] load) {
    /** An end of which the node told nothing. */
    public static NodeEnd silent(Admission.Result result) {
        return new NodeEnd(result, null, -1, 0, null);
    }
}
