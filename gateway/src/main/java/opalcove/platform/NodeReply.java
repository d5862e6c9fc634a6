package opalcove.platform;

import java.util.List;
import opalcove.decision.Admission;
import opalcove.gateway.NodeEnd;
import opalcove.gateway.SettingsReader;
import org.tinylog.Logger;

/** Reads an app node's reply by the protocol's outcome table. */
final class NodeReply {
    /** The value, the figures on use and the load report. */
    static final int PARTS = 3;
    /** Percent of a quota; more is no figure on use. */
    private static final double MOST_USED = 100_000;

    private final List<Admission.Gauge> gauges;
    private final double mostUnits;

    NodeReply(Admission.Settings settings) {
        gauges = settings.gauges();
        mostUnits = settings.limits().mostUnits();
    }

    /** How the attempt ended, or null where the reply is none that a node gives: the attempt may have run. */
    NodeEnd read(Resp reply) {
        Told told = new Told();
        if (reply instanceof Resp.Items items && items.values().size() == PARTS
                && items.values().get(0) instanceof Resp.Bulk value && value.bytes() != null) {
            for (Resp part : items.values().subList(1, items.values().size())) {
                if (part instanceof Resp.Bulk bulk && bulk.bytes() != null) {
                    told.take(bulk.bytes().toString());
                }
            }
            return new NodeEnd(Admission.Result.SERVED, value.bytes(), told.used, told.cost, told.load);
        }
        if (reply instanceof Resp.Line line && line.kind() == '-') {
            String[] words = line.text().split(" ");
            boolean busy = words[0].equals("BUSY");
            if (busy || words[0].equals("ERR")) {
                for (String word : words) {
                    told.take(word);
                }
                return new NodeEnd(busy ? Admission.Result.TURNED_AWAY : Admission.Result.ERROR, null, told.used,
                        told.cost, told.load);
            }
        }
        return null;
    }

    /** The figures on use and the load report, each a list of name=figure. */
    private final class Told {
        private int used = -1;
        private double cost;
        private double[] load;

        void take(String text) {
            for (String pair : text.split(",")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    try {
                        figure(pair.substring(0, equals), Double.parseDouble(pair.substring(equals + 1)));
                    } catch (NumberFormatException e) {
                        Logger.debug("an app node told {}", pair);
                    }
                }
            }
        }

        /** Guards the module's books against figures that cannot be: what is no figure counts as not told. */
        private void figure(String name, double value) {
            if (!(value >= 0 && value <= MOST_USED) || name.equals("cost") && value > mostUnits) {
                return;
            }
            switch (name) {
                case "used" -> used = (int) Math.round(value);
                case "cost" -> cost = value;
                default -> {
                    int column = gauges.indexOf(SettingsReader.gauge(name));
                    if (column >= 0) {
                        load = load == null ? new double[gauges.size()] : load;
                        load[column] = value;
                    }
                }
            }
        }
    }
}
