package opalcove.laboratory.coldstart;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import java.util.stream.LongStream;

/** Plays the model on many seeds and sums up what they gave. */
public record SlowStartTrial(SlowStartPlan plan, List<SlowStartReport> reports) {
    /** Plays all seeds of the plan, one after another. */
    public static SlowStartTrial play(SlowStartPlan plan) {
        return new SlowStartTrial(
                plan,
                LongStream.range(plan.firstSeed(), plan.firstSeed() + plan.seeds())
                        .mapToObj(seed -> SlowStartModel.play(plan, seed))
                        .toList());
    }

    /** Starts of backends over all seeds. */
    public int slowStarts() {
        return sum(SlowStartReport::slowStarts);
    }

    /** Falls over all seeds. */
    public int falls() {
        return sum(SlowStartReport::falls);
    }

    /** Falls over all seeds, with each request counted by its own work. */
    public int workFalls() {
        return sum(SlowStartReport::workFalls);
    }

    /** The highest ratio of the requests in any window to what a backend bears; above 1 it falls. */
    public double worstRatio() {
        return worst(SlowStartReport::worstRatio);
    }

    /** The same with each request counted by its own work. */
    public double worstWorkRatio() {
        return worst(SlowStartReport::worstWorkRatio);
    }

    /** The used share of the budget over the ramp, the mean over the seeds. */
    public double usedShare() {
        return mean(SlowStartReport::usedShare);
    }

    /** The share of requests served within their aim, the mean over the seeds. */
    public double servedShare() {
        return mean(SlowStartReport::servedShare);
    }

    private int sum(ToIntFunction<SlowStartReport> figure) {
        return reports.stream().mapToInt(figure).sum();
    }

    private double worst(ToDoubleFunction<SlowStartReport> figure) {
        return reports.stream().mapToDouble(figure).max().orElse(0);
    }

    private double mean(ToDoubleFunction<SlowStartReport> figure) {
        return reports.stream().mapToDouble(figure).average().orElse(0);
    }

    /** One line for people. */
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

    /** The same for programs, with each seed. */
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
