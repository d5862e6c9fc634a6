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

/** Runs soak plans, and shrinks plans that fail. */
public final class Soak {
    /** Time for the last responses after the traffic stops, ms: the longest deadline plus 500 ms, with a margin. */
    private static final int DRAIN_MS = 3600;
    /** A plan is run this often without one of its faults before that fault counts as necessary for the failure. */
    private static final int SHRINK_RUNS = 2;

    private final Path folder;
    private final GatewayProcess.ProgramFiles programFiles;

    /**
     * Creates a soak of this process's gateway program that keeps its files in the folder, which is created if missing.
     */
    public Soak(Path folder) throws IOException, InterruptedException {
        this(folder, System.getProperty("java.class.path"));
    }

    /** Creates a soak of the gateway program on the given class path. */
    public Soak(Path folder, String gatewayClassPath) throws IOException, InterruptedException {
        this.folder = Files.createDirectories(folder);
        programFiles = new GatewayProcess.ProgramFiles(FaultShim.build(folder), gatewayClassPath);
    }

    /** Whether system calls can be made to fail, which needs a C compiler on this machine. */
    public boolean hasShim() {
        return programFiles.shimLibrary().isPresent();
    }

    /**
     * Additional actions on a run's processes besides the faults of its plan, such as one fault for the complete run.
     */
    interface RunActions {
        /** Returns how far the gateways' wall clocks are ahead from their start on, ms. */
        default long clockAheadMs() {
            return 0;
        }

        /** Called when the traffic has begun. */
        default void begin(SoakCluster cluster) throws Exception {}

        /** Called when the run has ended and its history is complete. */
        default void end(SoakCluster cluster) {}
    }

    /** Runs a plan. The files of the run are kept in the folder if a rule was broken or {@code keepLogs} is set. */
    public SoakResult run(SoakPlan plan, boolean keepLogs) throws Exception {
        return run(plan, keepLogs, new RunActions() {});
    }

    /** Runs a plan with additional actions on its processes. */
    SoakResult run(SoakPlan plan, boolean keepLogs, RunActions actions) throws Exception {
        Path runFolder = Files.createTempDirectory(folder, "seed-" + plan.seed() + "-");
        SoakResult result = runIn(plan, runFolder, actions);
        if (keepLogs || !result.violations().isEmpty()) {
            Files.writeString(runFolder.resolve("result.txt"), plan.text() + result.text() + allViolations(result));
        } else {
            delete(runFolder);
        }
        return result;
    }

    private static String allViolations(SoakResult result) {
        StringBuilder text = new StringBuilder("all violations:\n");
        result.violations().forEach(each -> text.append(each).append('\n'));
        return text.toString();
    }

    private SoakResult runIn(SoakPlan plan, Path runFolder, RunActions actions) throws Exception {
        try (SoakCluster cluster = new SoakCluster(plan, runFolder, programFiles, actions.clockAheadMs());
                FaultInjector faultInjector = new FaultInjector(cluster)) {
            cluster.startTraffic();
            double startedAt = cluster.clock.now();
            faultInjector.begin(plan.faults());
            actions.begin(cluster);
            TimeUnit.MILLISECONDS.sleep((long) Math.max(0, startedAt + plan.lengthMs() - cluster.clock.now()));
            List<Fault> made = faultInjector.await();
            cluster.stopTraffic();
            TimeUnit.MILLISECONDS.sleep(DRAIN_MS);
            double capacity = capacityPerS(cluster, startedAt);
            double endAt = cluster.clock.now();
            cluster.end();
            actions.end(cluster);
            List<SoakViolation> violations =
                    new Oracle(plan, cluster.history, cluster.locations, capacity, endAt).check();
            return new SoakResult(
                    plan,
                    violations,
                    made,
                    ends(cluster.history),
                    cluster.history.attempts.size(),
                    cluster.history.maxLag());
        }
    }

    /**
     * Returns the capacity of a backend after warm-up, requests per second. A {@link SoakBackend} has no capacity
     * limit, so the rate of the run's busiest backend is used, since the ramp of the slow start is a share of a
     * warmed-up backend's rate.
     */
    private static double capacityPerS(SoakCluster cluster, double startedAt) {
        Map<Integer, Integer> counts = new TreeMap<>();
        cluster.history.attempts.forEach(attempt -> counts.merge(attempt.backend, 1, Integer::sum));
        int max = counts.values().stream().mapToInt(Integer::intValue).max().orElse(1);
        return max * 1000.0 / Math.max(1000, cluster.clock.now() - DRAIN_MS - startedAt);
    }

    private static Map<String, Integer> ends(History history) {
        Map<String, Integer> ends = new TreeMap<>();
        history.requests.values().forEach(request -> ends.merge(String.valueOf(request.end), 1, Integer::sum));
        return ends;
    }

    /** Leaves out each fault without which the rule is still broken, and returns the shortest plan that has failed. */
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
        for (int i = 0; i < SHRINK_RUNS && !broken.contains(rule); i++) {
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
