package opalcove.laboratory.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Everything that a seed determines: the size of the fleet, the settings and the schedule of faults. Faults are drawn
 * in groups of two or three that overlap in time by construction.
 */
public record SoakPlan(
        long seed, int gateways, int backends, int lengthMs, double requestsPerS, Setup setup, List<Fault> faults) {
    private static final int FIRST_MS = 500;
    private static final int MIN_LENGTH_MS = 400;
    private static final int MORE_LENGTH_MS = 3200;
    /** The probability that a fault has the common gateway or backend of its group as its target. */
    private static final double SAME_TARGET = 0.5;

    /** The size of the fleet and the length of the traffic. A size of 0 is drawn, and a length of 0 stands for 12 s. */
    public record Size(int gateways, int backends, int lengthMs) {}

    /**
     * The drawn settings.
     *
     * @param reach the backends that share the detection of repeats of a keyed request: all, zone or cell
     */
    public record Setup(
            boolean pushed,
            int graceMs,
            int maxAttempts,
            boolean secondCopies,
            boolean mayCancel,
            String reach,
            int idleMs) {
        boolean sharesRepeats(SoakBackendLocation first, SoakBackendLocation second) {
            return switch (reach) {
                case "all" -> true;
                case "zone" -> first.zone().equals(second.zone());
                default -> first.cell() == second.cell();
            };
        }
    }

    /** Draws a plan with faults of any type. */
    public static SoakPlan of(long seed, Size size) {
        return of(seed, size, List.of(FaultType.values()));
    }

    /** Draws a plan with faults of the given types. */
    public static SoakPlan of(long seed, Size size, List<FaultType> kinds) {
        SplittableRandom random = new SplittableRandom(seed);
        int gateways = size.gateways() > 0 ? size.gateways() : random.nextInt(3, 6);
        int backends = size.backends() > 0 ? size.backends() : random.nextInt(7, 11);
        int lengthMs = size.lengthMs() > 0 ? size.lengthMs() : 12_000;
        Setup setup = new Setup(
                random.nextDouble() < 0.7,
                random.nextBoolean() ? 1000 : 500,
                random.nextInt(2, 7),
                random.nextDouble() < 0.3,
                random.nextDouble() < 0.8,
                List.of("all", "zone", "cell").get(random.nextInt(3)),
                random.nextBoolean() ? 30_000 : 3000);
        double requestsPerS = random.nextDouble(15, 45);
        List<Fault> faults = faults(random, gateways, backends, lengthMs, kinds);
        return new SoakPlan(seed, gateways, backends, lengthMs, requestsPerS, setup, faults);
    }

    private static List<Fault> faults(
            SplittableRandom random, int gateways, int backends, int lengthMs, List<FaultType> kinds) {
        List<Fault> faults = new ArrayList<>();
        int groups = Math.max(2, lengthMs / 3000);
        for (int group = 0; group < groups; group++) {
            int size = random.nextInt(2, 4);
            int middleMs = FIRST_MS + MIN_LENGTH_MS + random.nextInt(Math.max(1, lengthMs - 2 * MORE_LENGTH_MS));
            int gateway = random.nextInt(gateways);
            int backend = random.nextInt(backends);
            for (int i = 0; i < size; i++) {
                FaultType kind = kinds.get(random.nextInt(kinds.size()));
                int startMs = middleMs - random.nextInt(MIN_LENGTH_MS);
                int faultLengthMs = middleMs - startMs + MIN_LENGTH_MS + random.nextInt(MORE_LENGTH_MS);
                boolean same = random.nextDouble() < SAME_TARGET;
                int target = kind.target == FaultType.Target.BACKEND
                        ? same ? backend : random.nextInt(backends)
                        : same ? gateway : random.nextInt(gateways);
                faults.add(new Fault(faults.size(), kind, target, startMs, faultLengthMs, random.nextDouble()));
            }
        }
        faults.sort(Comparator.comparingInt(Fault::startMs));
        return List.copyOf(faults);
    }

    /** Returns the same plan without the faults of these numbers. */
    public SoakPlan without(Set<Integer> numbers) {
        List<Fault> left = faults.stream()
                .filter(fault -> !numbers.contains(fault.number()))
                .toList();
        return new SoakPlan(seed, gateways, backends, lengthMs, requestsPerS, setup, left);
    }

    /** Returns the same fleet and settings with these faults. */
    public SoakPlan with(List<Fault> chosen) {
        return new SoakPlan(seed, gateways, backends, lengthMs, requestsPerS, setup, List.copyOf(chosen));
    }

    /** Returns a gateway's settings for its configuration file; a reload may change the limit of attempts. */
    JsonObject settings(int gateway, int maxAttempts) {
        JsonObject limits = Json.object()
                .add("max_attempts", maxAttempts)
                .add("second_copies", setup.secondCopies())
                .add("may_cancel", setup.mayCancel())
                .add("may_probe", false)
                .add("retry_after", true)
                .add("max_retry_after_ms", 2000.0)
                .add("idle_close_ms", (double) setup.idleMs())
                .add("dial_timeout_ms", 250.0)
                .add("max_open", 20_000);
        JsonObject obligations = Json.object()
                .add("answer_slack_ms", 8.0)
                .add("cold_from", SlowStart.INITIAL_SHARE)
                .add("warm_after_ms", (double) SlowStart.WARM_UP_MS)
                .add("overload_factor", SlowStart.OVERLOAD_FACTOR)
                .add("fall_ms", (double) SlowStart.OVERLOAD_WINDOW_MS)
                .add("stop_sending_within_ms", (double) setup.graceMs())
                .add("ask_within_ms", 10_000.0);
        JsonArray classes = new JsonArray();
        for (SoakClass each : SoakClass.values()) {
            classes.add(each.json(setup.reach()));
        }
        JsonArray plans = new JsonArray()
                .add(Json.object()
                        .add("name", Traffic.WIDE_PLAN)
                        .add("quota_rate", 2000.0)
                        .add("peak_units", 2000.0)
                        .add("value_factor", 1.0))
                .add(Json.object()
                        .add("name", Traffic.CEILING_PLAN)
                        .add("quota_rate", 2000.0)
                        .add("peak_units", 2000.0)
                        .add("value_factor", 1.0)
                        .add("cap_rate", Traffic.CEILING_PER_S)
                        .add("hard_burst", Traffic.CEILING_BURST)
                        .add("tolerance", Traffic.CEILING_SLACK));
        return Json.object()
                .add("me", gateway)
                .add("balancers", gateways)
                .add("locality", "room-" + (char) ('a' + gateway % 2))
                .add("tick_ms", 2.0)
                .add("discovery", setup.pushed() ? "pushed" : "on_request")
                .add("specifics", Json.object().add("cost_after", false).add("largest", 8))
                .add("ceilings", limits)
                .add(
                        "costs",
                        Json.object()
                                .add("cross_zone", 0.01)
                                .add("late_fail", 0.08)
                                .add("waste", 0.03))
                .add("feedback", Json.object().add("how", "off").add("columns", new JsonArray()))
                .add("obligations", obligations)
                .add("profiles", classes)
                .add("tiers_of_service", plans);
    }

    /** Returns the plan as text: the fleet, the settings, and one line for each fault. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append("seed ")
                .append(seed)
                .append(": ")
                .append(gateways)
                .append(" gateways, ")
                .append(backends);
        text.append(" backends, ").append(lengthMs).append(" ms, ").append(Math.round(requestsPerS));
        text.append(" requests/s a gateway, ").append(setup).append('\n');
        faults.forEach(fault -> text.append("  ").append(fault).append('\n'));
        return text.toString();
    }
}
