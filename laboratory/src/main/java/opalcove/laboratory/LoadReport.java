package opalcove.laboratory;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import org.HdrHistogram.Histogram;

/**
 * The result of a load. Latencies are in ns; in an open loop they are measured from the time when a request was due.
 */
public record LoadReport(long served, long refused, long failed, double seconds, Histogram latency) {
    /** Returns the number of requests that received a response of any kind. */
    public long responses() {
        return served + refused + failed;
    }

    /** Returns the report as a JSON object. */
    public JsonObject json() {
        JsonObject quantiles = Json.object();
        for (double each : new double[] {50, 90, 99, 99.9, 100}) {
            quantiles.add(
                    "p" + (each == Math.rint(each) ? Integer.toString((int) each) : Double.toString(each)),
                    latency.getValueAtPercentile(each) / 1000);
        }
        return Json.object()
                .add("served", served)
                .add("refused", refused)
                .add("failed", failed)
                .add("seconds", seconds)
                .add("asks_per_s", Math.round(responses() / seconds))
                .add("latency_us", quantiles);
    }

    /** Returns the report as a table of a few lines. */
    public String table() {
        return String.format(
                "answered %d (served %d, refused %d, failed %d) in %.2f s: %.0f a second%n"
                        + "latency us  p50 %d  p90 %d  p99 %d  p99.9 %d  most %d%n",
                responses(),
                served,
                refused,
                failed,
                seconds,
                responses() / seconds,
                latency.getValueAtPercentile(50) / 1000,
                latency.getValueAtPercentile(90) / 1000,
                latency.getValueAtPercentile(99) / 1000,
                latency.getValueAtPercentile(99.9) / 1000,
                latency.getMaxValue() / 1000);
    }
}
