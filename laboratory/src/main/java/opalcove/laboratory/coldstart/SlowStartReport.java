package opalcove.laboratory.coldstart;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.Locale;

/**
 * What one seed of the model gave.
 *
 * @param seed the seed
 * @param slowStarts starts of backends
 * @param falls starts in which the backend fell under the requests of gateways that knew of the start
 * @param workFalls the same with each request counted by its own work, which no gateway knows when it sends
 * @param worstRatio highest ratio of the requests in a window to what a backend bears; above 1 it falls
 * @param worstWorkRatio the same with each request counted by its own work
 * @param usedShare requests of the ramp over what the overload factor allows, the mean over the starts
 * @param servedShare requests served within their aim over requests
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
    /** One line for people. */
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

    /** The same for programs. */
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
