package opalcove.laboratory.coldstart;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import java.util.stream.LongStream;

/** The results of the model for several seeds, with their totals. */
public record SlowStartTrial(SlowStartPlan plan, List<SlowStartReport> reports) {
    /** Runs the model for all seeds of the plan, one after another. */
    public static SlowStartTrial play(SlowStartPlan plan) {
        return new SlowStartTrial(
                plan,
                LongStream.range(plan.firstSeed(), plan.firstSeed() + plan.seeds())
                        .mapToObj(seed -> SlowStartModel.play(plan, seed))
                        .toList());
    }

    /** Returns the number of backend starts over all seeds. */
    public int slowStarts() {
        return sum(SlowStartReport::slowStarts);
    }

    /**
     * Returns the number of falls over all seeds: starts in which the backend failed because its limit was exceeded.
     */
    public int falls() {
        return sum(SlowStartReport::falls);
    }

    /** Returns the number of falls over all seeds, with each request counted by its own work. */
    public int workFalls() {
        return sum(SlowStartReport::workFalls);
    }

    /**
     * Returns the highest ratio of the requests in a window to the limit of the backend; above 1 the backend fails.
     */
    public double worstRatio() {
        return maximum(SlowStartReport::worstRatio);
    }

    /** Returns the same ratio with each request counted by its own work. */
    public double worstWorkRatio() {
        return maximum(SlowStartReport::worstWorkRatio);
    }

    /** Returns the used share of the budget during the ramp, averaged over the seeds. */
    public double usedShare() {
        return mean(SlowStartReport::usedShare);
    }

    /** Returns the share of requests served within the latency objective, averaged over the seeds. */
    public double servedShare() {
        return mean(SlowStartReport::servedShare);
    }

    private int sum(ToIntFunction<SlowStartReport> value) {
        return reports.stream().mapToInt(value).sum();
    }

    private double maximum(ToDoubleFunction<SlowStartReport> value) {
        return reports.stream().mapToDouble(value).max().orElse(0);
    }

    private double mean(ToDoubleFunction<SlowStartReport> value) {
        return reports.stream().mapToDouble(value).average().orElse(0);
    }

    /** Returns the totals as one line of text. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "%d gateways, %d seeds: %d cold starts  %d falls (%d by work)  worst ratio %.2f (%.2f by work)"
                        + "  budget used %.3f  served in time %.3f",
                plan.gateways(),
                reports.size(),
                slowStarts(),
                falls(),
                workFalls(),
                worstRatio(),
                worstWorkRatio(),
                usedShare(),
                servedShare());
    }

    /** Returns the totals and the report of each seed as a JSON object. */
    public JsonObject json() {
        JsonArray seeds = new JsonArray();
        reports.forEach(report -> seeds.add(report.json()));
        return Json.object()
                .add("gateways", plan.gateways())
                .add("cold_starts", slowStarts())
                .add("falls", falls())
                .add("work_falls", workFalls())
                .add("worst_ratio", worstRatio())
                .add("worst_work_ratio", worstWorkRatio())
                .add("used_share", usedShare())
                .add("served_share", servedShare())
                .add("seeds", seeds);
    }
}
