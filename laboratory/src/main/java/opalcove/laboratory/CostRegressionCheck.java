package opalcove.laboratory;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.WriterConfig;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Holds what an ask costs against a baseline. Counts alone are held, never times: the pipelined cases go in
 * {@link Lockstep}, and those alone at a fixed rate, so that a machine's speed decides nothing, and the gateway is warm
 * before the counting. As fast as they could, asks alone took as many lines as the machine was quick, and each stall
 * dialled more of them: the same program cost 1,791 to 2,196 bytes an ask.
 */
public final class CostRegressionCheck {
    /** What a count may grow by before it fails. */
    public static final double MAX_GROWTH = 0.05;
    /** Growth below this is none, whatever its share: parts of a byte or of a call. */
    private static final double MIN = 0.02;

    private static final int WARM = 3200;
    /** What the machine does meanwhile can only add to a count, so the least of these is the ask's own. */
    private static final int REPEATS = 2;

    /** A load that is counted. */
    private record Case(
            String name,
            boolean mqtt,
            int depth,
            double rate,
            int valueBytes,
            double records,
            int bodyBytes,
            int requests) {}

    private static final List<Case> CASES = List.of(
            new Case("resp, alone, 500 a second, 16 B", false, 1, 500, 16, 0, 0, 2000),
            new Case("resp, 16 pipelined, 16 B", false, 16, 0, 16, 0, 0, 3200),
            new Case("resp, 64 pipelined, 16 B", false, 64, 0, 16, 0, 0, 9600),
            new Case("resp, 16 pipelined, 64 KiB", false, 16, 0, 65_536, 0, 0, 3200),
            new Case("resp, 16 pipelined, records of 1 KiB", false, 16, 0, 16, 1, 1024, 3200),
            new Case("mqtt, 16 pipelined, 16 B", true, 16, 0, 16, 0, 0, 3200));

    private CostRegressionCheck() {}

    /** Counts all cases: by case, then by count. */
    public static Map<String, Map<String, Double>> count(Consumer<String> progress) throws Exception {
        Map<String, Map<String, Double>> counts = new LinkedHashMap<>();
        for (Case each : CASES) {
            progress.accept("counting: " + each.name());
            LoadPlan plan = new LoadPlan(
                    each.mqtt(),
                    "127.0.0.1",
                    0,
                    1,
                    each.depth(),
                    each.rate(),
                    each.requests(),
                    40,
                    each.records(),
                    each.bodyBytes(),
                    7500);
            try (Meter meter =
                    new Meter(plan, new Meter.Nodes(12, each.valueBytes(), 0), each.depth() > 1, WARM, progress)) {
                Map<String, Double> row = new LinkedHashMap<>();
                for (int i = 0; i < REPEATS; i++) {
                    Meter.Costs costs = meter.measure(each.requests(), true);
                    if (costs.load().served() != each.requests()) {
                        throw new IllegalStateException(each.name() + ": not all asks were served");
                    }
                    row.merge("allocated bytes", costs.allocatedBytes(), Math::min);
                    row.merge("objects", costs.objects(), Math::min);
                    row.merge("reads", costs.reads(), Math::min);
                    row.merge("writes", costs.writes(), Math::min);
                    row.merge("copied bytes", costs.copiedOutBytes(), Math::min);
                    row.merge("tasks", costs.tasks(), Math::min);
                }
                counts.put(each.name(), row);
            }
        }
        return counts;
    }

    /** What grew too much, a line each: which count of which case, and by how much. */
    public static List<String> grown(JsonObject baseline, Map<String, Map<String, Double>> counts) {
        List<String> grown = new ArrayList<>();
        counts.forEach((name, row) -> row.forEach((count, now) -> {
            if (baseline.get(name) == null || baseline.get(name).asObject().get(count) == null) {
                grown.add(name + ": " + count + " is not in the baseline");
                return;
            }
            double before = baseline.get(name).asObject().get(count).asDouble();
            if (now > before * (1 + MAX_GROWTH) && now - before > MIN) {
                grown.add(String.format(
                        "%s: %s grew from %.3f to %.3f an ask, by %.1f%%",
                        name, count, before, now, before > 0 ? 100 * (now - before) / before : 100));
            }
        }));
        return grown;
    }

    /** The counts as a baseline file. */
    public static String write(Map<String, Map<String, Double>> counts) {
        JsonObject file = Json.object();
        counts.forEach((name, row) -> {
            JsonObject written = Json.object();
            row.forEach((count, value) -> written.add(count, Math.round(value * 1000) / 1000.0));
            file.add(name, written);
        });
        return file.toString(WriterConfig.PRETTY_PRINT) + "\n";
    }
}
