package opalcove.resp;

import java.util.List;
import opalcove.config.SettingsReader;
import opalcove.core.AttemptResult;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;
import opalcove.decision.LoadMetric;
import org.tinylog.Logger;

/** Reads an app node's replies by the protocol's outcome table. */
final class BackendReplyDecoder {
    /** The value, the figures on use and the load report. */
    static final int PARTS = 3;
    /** Percent of a quota; more is no figure on use. */
    private static final double MOST_USED = 100_000;

    private final List<LoadMetric> gauges;
    private final double maxUnits;
    /** The name of a gauge that came last, and its column: nodes tell the same ones over and over. */
    private String gauge = "";

    private int column = -1;

    private int used;
    private double cost;
    private double[] load;

    BackendReplyDecoder(DecisionSettings settings) {
        gauges = settings.loadMetrics();
        maxUnits = settings.limits().maxUnits();
    }

    /**
     * How the attempt ended, or null where the reply is none that a node gives: the attempt may have run. A value is lent
     * for the time of the reply's call.
     */
    AttemptResult read(RespDecoder reply) {
        used = -1;
        cost = 0;
        load = null;
        if (reply.kind() == '*' && reply.count() == PARTS && reply.isString(0)) {
            for (int part = 1; part < PARTS; part++) {
                if (reply.isString(part)) {
                    take(reply, part, 0, reply.length(part));
                }
            }
            return new AttemptResult(AttemptStatus.SERVED, reply.lend(0), used, cost, load);
        }
        if (reply.kind() == '-') {
            int end = reply.length(0);
            int word = wordEnd(reply, 0, end);
            boolean busy = reply.is(0, 0, word, "BUSY");
            if (busy || reply.is(0, 0, word, "ERR")) {
                for (int from = word + 1; from < end; from = word + 1) {
                    word = wordEnd(reply, from, end);
                    take(reply, 0, from, word);
                }
                return new AttemptResult(busy ? AttemptStatus.REJECTED : AttemptStatus.ERROR, null, used, cost, load);
            }
        }
        return null;
    }

    private static int wordEnd(RespDecoder reply, int from, int end) {
        return find(reply, 0, from, end, (byte) ' ');
    }

    /** Where this byte comes next, or the end. */
    private static int find(RespDecoder reply, int part, int from, int end, byte sought) {
        int at = from;
        while (at < end && reply.at(part, at) != sought) {
            at++;
        }
        return at;
    }

    /** The figures on use or the load report, each a list of name=figure. */
    private void take(RespDecoder reply, int part, int start, int end) {
        for (int from = start; from < end; ) {
            int to = find(reply, part, from, end, (byte) ',');
            int equals = find(reply, part, from, to, (byte) '=');
            if (equals > from && equals < to) {
                double value = RequestDecoder.decimal(reply, part, equals + 1, to);
                if (value < 0) {
                    value = unusual(reply.text(part, equals + 1, to));
                }
                figure(reply, part, from, equals, value);
            }
            from = to + 1;
        }
    }

    /** A figure of another form, such as 1e2; NaN where it is none. */
    private static double unusual(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            Logger.debug("an app node told {}", text);
            return Double.NaN;
        }
    }

    /** Guards the module's books against figures that cannot be: what is no figure counts as not told. */
    private void figure(RespDecoder reply, int part, int from, int to, double value) {
        boolean costs = reply.is(part, from, to, "cost");
        if (!(value >= 0 && value <= MOST_USED) || costs && value > maxUnits) {
            return;
        }
        if (costs) {
            cost = value;
        } else if (reply.is(part, from, to, "used")) {
            used = (int) Math.round(value);
        } else {
            if (!reply.is(part, from, to, gauge)) {
                gauge = reply.text(part, from, to);
                column = gauges.indexOf(SettingsReader.gauge(gauge));
            }
            if (column >= 0) {
                load = load == null ? new double[gauges.size()] : load;
                load[column] = value;
            }
        }
    }
}
