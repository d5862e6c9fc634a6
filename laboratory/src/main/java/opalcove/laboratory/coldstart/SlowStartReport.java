package opalcove.laboratory.coldstart;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.Locale;

/**
 * The result of the model for one seed.
 *
 * @param seed the seed
 * @param slowStarts number of backend starts
 * @param falls starts in which requests of gateways that knew of the start exceeded the limit, so that the backend
 *     failed
 * @param workFalls the same with each request counted by its own work, which no gateway knows when it sends the
 *     request
 * @param worstRatio highest ratio of the requests in a window to the limit of the backend; above 1 the backend fails
 * @param worstWorkRatio the same with each request counted by its own work
 * @param usedShare requests during the ramp divided by the number that the overload factor allows, averaged over the
 *     starts
 * @param servedShare requests served within the latency objective divided by all requests
 */
public record SlowStartReport(
        long seed,
        int slowStarts,
        int falls,
        int workFalls,
        double worstRatio,
        double worstWorkRatio,
        double usedShare,
        double servedShare) {
    /** Returns the report as one line of text. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "seed %4d  %2d cold starts  %2d falls (%d by work)  worst ratio %.2f (%.2f by work)  budget used %.3f  served in time %.3f",
                seed,
                slowStarts,
                falls,
                workFalls,
                worstRatio,
                worstWorkRatio,
                usedShare,
                servedShare);
    }

    /** Returns the report as a JSON object. */
    public JsonObject json() {
        return Json.object()
                .add("seed", seed)
                .add("cold_starts", slowStarts)
                .add("falls", falls)
                .add("work_falls", workFalls)
                .add("worst_ratio", worstRatio)
                .add("worst_work_ratio", worstWorkRatio)
                .add("used_share", usedShare)
                .add("served_share", servedShare);
    }
}
