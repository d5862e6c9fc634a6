package opalcove.resp;

import java.util.List;
import opalcove.config.SettingsReader;
import opalcove.core.AttemptResult;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;
import opalcove.decision.LoadMetric;
import org.tinylog.Logger;

/**
 * Decodes replies of backends into the results of attempts, as the protocol defines them. One instance serves all
 * connections of a connector and is owned by their event loop.
 */
final class BackendReplyDecoder {
    /** The number of parts of a reply: the value, the usage figures and the load report. */
    static final int PARTS = 3;
    /** The largest valid usage of a quota, percent; a larger figure is ignored. */
    private static final double MAX_USED_PERCENT = 100_000;

    private final List<LoadMetric> gauges;
    private final double maxUnits;
    /**
     * The name of the last decoded gauge. It is cached with its column, because backends report the same gauges again.
     */
    private String gaugeName = "";

    private int gaugeColumn = -1;

    private int usedPercent;
    private double cost;
    private double[] load;

    BackendReplyDecoder(DecisionSettings settings) {
        gauges = settings.loadMetrics();
        maxUnits = settings.limits().maxUnits();
    }

    /**
     * Returns the result of an attempt, or null if the reply has an unknown form; the attempt may have run then. The
     * result's value is not retained: it is valid only while the listener is notified of the reply.
     */
    AttemptResult decode(RespDecoder reply) {
        usedPercent = -1;
        cost = 0;
        load = null;
        if (reply.type() == '*' && reply.itemCount() == PARTS && reply.isString(0)) {
            for (int part = 1; part < PARTS; part++) {
                if (reply.isString(part)) {
                    decodeFigures(reply, part, 0, reply.length(part));
                }
            }
            return new AttemptResult(AttemptStatus.SERVED, reply.slice(0), usedPercent, cost, load);
        }
        return reply.type() == '-' ? decodeError(reply) : null;
    }

    private AttemptResult decodeError(RespDecoder reply) {
        int end = reply.length(0);
        int tokenEnd = indexOf(reply, 0, 0, end, ' ');
        boolean isBusy = reply.regionEquals(0, 0, tokenEnd, "BUSY");
        if (!isBusy && !reply.regionEquals(0, 0, tokenEnd, "ERR")) {
            return null;
        }
        for (int from = tokenEnd + 1; from < end; from = tokenEnd + 1) {
            tokenEnd = indexOf(reply, 0, from, end, ' ');
            decodeFigures(reply, 0, from, tokenEnd);
        }
        return new AttemptResult(isBusy ? AttemptStatus.REJECTED : AttemptStatus.ERROR, null, usedPercent, cost, load);
    }

    /** Returns the next index of the character, or the end if there is none. */
    private static int indexOf(RespDecoder reply, int part, int from, int end, char wanted) {
        int at = from;
        while (at < end && reply.byteAt(part, at) != wanted) {
            at++;
        }
        return at;
    }

    /** Decodes the usage figures or the load report, each a comma-separated list of name=figure. */
    private void decodeFigures(RespDecoder reply, int part, int start, int end) {
        for (int from = start; from < end; ) {
            int to = indexOf(reply, part, from, end, ',');
            int equals = indexOf(reply, part, from, to, '=');
            if (equals > from && equals < to) {
                double value = ParameterDecoder.decimal(reply, part, equals + 1, to);
                if (value < 0) {
                    value = parseOtherFormat(reply.text(part, equals + 1, to));
                }
                setFigure(reply, part, from, equals, value);
            }
            from = to + 1;
        }
    }

    /** Parses a figure in another format, such as 1e2; returns NaN if it is not a number. */
    private static double parseOtherFormat(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            Logger.debug("backend reported a figure that is not a number: {}", text);
            return Double.NaN;
        }
    }

    /**
     * Stores one figure. Guards the decision module's quota accounts against impossible figures: a figure out of range
     * counts as not reported.
     */
    private void setFigure(RespDecoder reply, int part, int from, int to, double value) {
        boolean isCost = reply.regionEquals(part, from, to, "cost");
        if (!(value >= 0 && value <= MAX_USED_PERCENT) || isCost && value > maxUnits) {
            return;
        }
        if (isCost) {
            cost = value;
        } else if (reply.regionEquals(part, from, to, "used")) {
            usedPercent = (int) Math.round(value);
        } else {
            if (!reply.regionEquals(part, from, to, gaugeName)) {
                gaugeName = reply.text(part, from, to);
                gaugeColumn = gauges.indexOf(SettingsReader.loadMetric(gaugeName));
            }
            if (gaugeColumn >= 0) {
                load = load == null ? new double[gauges.size()] : load;
                load[gaugeColumn] = value;
            }
        }
    }
}
