package opalcove.laboratory.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Runs plans, and shrinks one that fails. */
public final class Soak {
    /** After the traffic, time for the last answers, ms: the longest deadline and half a second, and some more. */
    private static final int REST_MS = 3600;
    /** A plan that fails is played so often without one trouble before that one counts as needed. */
    private static final int ATTEMPTS = 2;

    private final Path folder;
    private final GatewayProcess.Means means;

    /** A soak that keeps its files in the folder, which is made. */
    public Soak(Path folder) throws IOException, InterruptedException {
        this(folder, System.getProperty("java.class.path"));
    }

    /** A soak of the gateway program of that class path. */
    public Soak(Path folder, String gatewayClassPath) throws IOException, InterruptedException {
        this.folder = Files.createDirectories(folder);
        means = new GatewayProcess.Means(FaultShim.build(folder), gatewayClassPath);
    }

    /** Whether system calls can be failed: a C compiler was found. */
    public boolean hasShim() {
        return means.shimLibrary().isPresent();
    }

    /** What is done to a run's processes besides its troubles, such as one fault for all of its time. */
    interface Setting {
        /** How far the gateways' wall clocks are ahead from their start on, ms. */
        default long clockAheadMs() {
            return 0;
        }

        /** The traffic begins. */
        default void begin(SoakCluster rig) throws Exception {}

        /** The run is over; its history is whole. */
        default void end(SoakCluster rig) {}
    }

    /** Plays a plan. The files of the run stay in the folder where a rule was broken or that is asked for. */
    public SoakResult run(SoakPlan plan, boolean keepLogs) throws Exception {
        return run(plan, keepLogs, new Setting() {});
    }

    /** Plays a plan with something more done to its processes. */
    SoakResult run(SoakPlan plan, boolean keepLogs, Setting setting) throws Exception {
        Path own = Files.createTempDirectory(folder, "seed-" + plan.seed() + "-");
        SoakResult result = play(plan, own, setting);
        if (keepLogs || !result.violations().isEmpty()) {
            Files.writeString(own.resolve("result.txt"), plan.text() + result.text() + all(result));
        } else {
            delete(own);
        }
        return result;
    }

    private static String all(SoakResult result) {
        StringBuilder text = new StringBuilder("all violations:\n");
        result.violations().forEach(each -> text.append(each).append('\n'));
        return text.toString();
    }

    private SoakResult play(SoakPlan plan, Path own, Setting setting) throws Exception {
        try (SoakCluster rig = new SoakCluster(plan, own, means, setting.clockAheadMs());
                FaultInjector faultInjector = new FaultInjector(rig)) {
            rig.startTraffic();
            double from = rig.clock.now();
            faultInjector.begin(plan.faults());
            setting.begin(rig);
            TimeUnit.MILLISECONDS.sleep((long) Math.max(0, from + plan.lengthMs() - rig.clock.now()));
            List<Fault> made = faultInjector.await();
            rig.stopTraffic();
            TimeUnit.MILLISECONDS.sleep(REST_MS);
            double capacity = capacityPerS(rig, from);
            double endAt = rig.clock.now();
            rig.end();
            setting.end(rig);
            List<SoakViolation> violations = new Oracle(plan, rig.history, rig.places, capacity, endAt).judge();
            return new SoakResult(
                    plan, violations, made, ends(rig.history), rig.history.attempts.size(), rig.history.maxLag());
        }
    }

    /**
     * What a warm backend can do, requests a second. A stand-in has no capacity of its own, so the pace of this run's busiest
     * backend stands for it, as the settings' ramp is a share of what a warm one does.
     */
    private static double capacityPerS(SoakCluster rig, double from) {
        Map<Integer, Integer> counts = new TreeMap<>();
        rig.history.attempts.forEach(attempt -> counts.merge(attempt.backend, 1, Integer::sum));
        int max = counts.values().stream().mapToInt(Integer::intValue).max().orElse(1);
        return max * 1000.0 / Math.max(1000, rig.clock.now() - REST_MS - from);
    }

    private static Map<String, Integer> ends(History history) {
        Map<String, Integer> ends = new TreeMap<>();
        history.requests.values().forEach(request -> ends.merge(String.valueOf(request.end), 1, Integer::sum));
        return ends;
    }

    /** Leaves out one trouble after another while the rule is still broken; gives the shortest plan that was seen to fail. */
    public SoakPlan shrink(SoakPlan plan, SoakRule rule) throws Exception {
        SoakPlan shortest = plan;
        for (Fault each : plan.faults()) {
            SoakPlan shorter = shortest.without(Set.of(each.number()));
            if (fails(shorter, rule)) {
                shortest = shorter;
            }
        }
        return shortest;
    }

    private boolean fails(SoakPlan plan, SoakRule rule) throws Exception {
        Set<SoakRule> broken = new HashSet<>();
        for (int i = 0; i < ATTEMPTS && !broken.contains(rule); i++) {
            broken.addAll(run(plan, false).brokenRules());
        }
        return broken.contains(rule);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }
}
