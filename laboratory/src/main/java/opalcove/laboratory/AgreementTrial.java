package opalcove.laboratory;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import opalcove.configlease.LeaseState;
import opalcove.configlease.VersionLog;
import org.HdrHistogram.Histogram;

/**
 * Measures the replicated configuration with real processes or with the model: the time from a proposal until each gateway
 * acts on the version and until all do, and, under random faults, the longest time for which two gateways acted on different
 * versions.
 */
public final class AgreementTrial {
    /** The parameters of a trial. Three gateways vote in a fleet of fewer than six, otherwise five. */
    public record Plan(int gateways, int leaseMs, int rounds, long seed) {
        /**
         * Checks the parameters.
         *
         * @throws IllegalArgumentException if there are fewer than 3 gateways or no rounds
         */
        public Plan {
            if (gateways < 3 || rounds < 1) {
                throw new IllegalArgumentException("a trial needs at least 3 gateways and 1 round");
            }
        }

        int voters() {
            return gateways < 6 ? 3 : 5;
        }
    }

    /**
     * The result of a trial. Times are in ms from the proposal: {@code each} until one gateway acts on the version, over
     * gateways and rounds, and {@code all} until all gateways do, over rounds.
     */
    public record Report(String by, Plan plan, long eachP50, long eachP99, long allP50, long allP99) {
        /** Returns the report as one line of text. */
        public String line() {
            return String.format(
                    Locale.ROOT,
                    "%-6s %4d gateways, %d vote  a gateway acts on it after p50 %4d ms p99 %4d ms"
                            + "  all do after p50 %4d ms p99 %4d ms",
                    by,
                    plan.gateways(),
                    plan.voters(),
                    eachP50,
                    eachP99,
                    allP50,
                    allP99);
        }

        /** Returns the report as one JSON object. */
        public JsonObject json() {
            return Json.object()
                    .add("by", by)
                    .add("gateways", plan.gateways())
                    .add("voters", plan.voters())
                    .add("lease_ms", plan.leaseMs())
                    .add("rounds", plan.rounds())
                    .add("seed", plan.seed())
                    .add("each_p50_ms", eachP50)
                    .add("each_p99_ms", eachP99)
                    .add("all_p50_ms", allP50)
                    .add("all_p99_ms", allP99);
        }
    }

    /**
     * The result of one run with random faults.
     *
     * @param taken the number of accepted proposals
     * @param refused the number of proposals that were not accepted
     * @param longestMs the longest time for which two gateways acted on different versions, in ms
     * @param wrong the failed checks
     */
    public record FaultRun(String by, long seed, long taken, long refused, long longestMs, List<String> wrong) {
        /** Returns the report as one JSON object. */
        public JsonObject json() {
            JsonObject json = Json.object()
                    .add("by", by)
                    .add("seed", seed)
                    .add("taken", taken)
                    .add("refused", refused)
                    .add("longest_contradiction_ms", longestMs);
            var list = Json.array();
            wrong.forEach(list::add);
            return json.add("wrong", list);
        }
    }

    /** A fleet of gateways, either processes or the model, and the operations of a run with random faults. */
    private interface Fleet extends Closeable {
        void propose(String through, long base, int step) throws Exception;

        void pause(String name, long ms) throws Exception;

        void cut(String from, String to);

        void heal();

        void kill(String name) throws Exception;

        void net(MembershipModel.Net net);

        void run(long ms) throws Exception;

        long newestVersion();

        boolean allActOn(long version);

        /** Returns whether each proposal was accepted, or null for a proposal without an outcome. */
        List<Boolean> outcomes();

        List<ConflictDetector.Case> conflictsLongerThan(long boundMs);
    }

    private static final long MAX_MS = 60_000;
    private static final int STEPS = 12;
    private static final long MAX_STEP_MS = 2000;
    private static final long SETTLE_POLL_MS = 500;
    /** The error of a duration between clocks of two processes that are read in whole milliseconds. */
    private static final long ROUNDING_MS = 5;

    private AgreementTrial() {}

    private static List<String> names(Plan plan) {
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= plan.gateways(); i++) {
            names.add("g" + i);
        }
        return names;
    }

    /** Measures proposals one after another with the model. */
    public static Report model(Plan plan) {
        AgreementModel model = new AgreementModel(plan.seed(), plan.gateways(), plan.voters(), plan.leaseMs(), 0);
        model.run(10_000);
        Histogram each = new Histogram(3);
        Histogram all = new Histogram(3);
        for (int round = 1; round <= plan.rounds(); round++) {
            long at = model.now();
            model.propose("g1", round - 1, "text " + round);
            for (long waited = 0; !model.allActOn(round) && waited < MAX_MS; waited += 100) {
                model.run(100);
            }
            model.adoptionTimes(round).values().forEach(when -> each.recordValue(when - at));
            all.recordValue(model.adoptionTimes(round).values().stream()
                    .mapToLong(when -> when - at)
                    .max()
                    .orElse(MAX_MS));
            model.run(plan.leaseMs() + 37L * round % plan.leaseMs());
        }
        return report("model", plan, each, all);
    }

    /** Measures proposals one after another with real processes on this machine. */
    public static Report cluster(Plan plan) throws IOException, InterruptedException {
        Histogram each = new Histogram(3);
        Histogram all = new Histogram(3);
        List<String> names = names(plan);
        try (TestCluster cluster = startCluster(plan, plan.seed())) {
            for (int round = 1; round <= plan.rounds(); round++) {
                long at = System.currentTimeMillis();
                cluster.client("g1").propose(round - 1, "trial", TestCluster.document(1 + round % 6));
                String wanted = round + " FULL";
                if (!cluster.await(
                        running -> names.stream()
                                .allMatch(name -> running.actsOn(name).equals(wanted)),
                        MAX_MS)) {
                    throw new IOException(
                            "timed out after " + MAX_MS + " ms waiting for all gateways to act on version " + round);
                }
                long last = 0;
                for (JsonObject event : cluster.versionEvents()) {
                    if (event.getLong("version", 0) == round
                            && event.getString("mode", "").equals("FULL")) {
                        each.recordValue(Math.max(0, event.getLong("at_ms", 0) - at));
                        last = Math.max(last, event.getLong("at_ms", 0) - at);
                    }
                }
                all.recordValue(last);
                Thread.sleep(plan.leaseMs() / 4 + 37L * round % plan.leaseMs());
            }
        }
        return report("rig", plan, each, all);
    }

    private static TestCluster startCluster(Plan plan, long seed) throws IOException, InterruptedException {
        List<String> names = names(plan);
        TestCluster cluster =
                new TestCluster(seed, 500, names.subList(0, 2), names.subList(0, plan.voters()), plan.leaseMs());
        for (String name : names) {
            cluster.start(name);
        }
        // The response, which says that there is no version, comes once the voters are up and have completed a round.
        cluster.client("g1").current();
        return cluster;
    }

    private static Report report(String by, Plan plan, Histogram each, Histogram all) {
        return new Report(
                by,
                plan,
                each.getValueAtPercentile(50),
                each.getValueAtPercentile(99),
                all.getValueAtPercentile(50),
                all.getValueAtPercentile(99));
    }

    /** Runs random faults on the model, whose clocks are up to 200 ms fast or slow. */
    public static FaultRun modelFaults(Plan plan, long seed) throws Exception {
        return faults("model", new ModelFleet(plan, seed), plan, seed);
    }

    /** Runs random faults on real processes. */
    public static FaultRun clusterFaults(Plan plan, long seed) throws Exception {
        return faults("rig", new ClusterFleet(plan, seed), plan, seed);
    }

    private static FaultRun faults(String by, Fleet created, Plan plan, long seed) throws Exception {
        List<String> wrong = new ArrayList<>();
        try (Fleet fleet = created) {
            SplittableRandom random = new SplittableRandom(seed);
            fleet.net(new MembershipModel.Net(random.nextDouble(0.2), 0.05, 0, 20));
            boolean killed = false;
            for (int step = 0; step < STEPS; step++) {
                String one = "g" + (1 + random.nextInt(plan.gateways()));
                String other = "g" + (1 + random.nextInt(plan.gateways()));
                switch (random.nextInt(6)) {
                    case 0 -> fleet.pause(one, random.nextLong(5L * plan.leaseMs() / 2));
                    case 1 -> fleet.cut(one, other);
                    case 2 -> {
                        fleet.cut(one, other);
                        fleet.cut(other, one);
                    }
                    case 3 -> fleet.heal();
                    case 4 -> {
                        if (!killed) {
                            fleet.kill(one);
                            killed = true;
                        }
                    }
                    default -> {}
                }
                fleet.propose("g" + (1 + random.nextInt(plan.voters())), fleet.newestVersion(), step);
                fleet.run(random.nextLong(MAX_STEP_MS));
            }
            fleet.heal();
            fleet.net(MembershipModel.Net.SOUND);
            for (long waited = 0; waited < MAX_MS && !isSettled(fleet); waited += SETTLE_POLL_MS) {
                fleet.run(SETTLE_POLL_MS);
            }
            if (!isSettled(fleet)) {
                wrong.add("not all proposals are decided, or not all act on the newest version: " + fleet.outcomes());
            }
            fleet.conflictsLongerThan(plan.leaseMs() + ROUNDING_MS).forEach(each -> wrong.add(each.toString()));
            long taken = fleet.outcomes().stream().filter(Boolean.TRUE::equals).count();
            return new FaultRun(
                    by,
                    seed,
                    taken,
                    STEPS - taken,
                    fleet.conflictsLongerThan(0).stream()
                            .mapToLong(ConflictDetector.Case::ms)
                            .findFirst()
                            .orElse(0),
                    wrong);
        }
    }

    private static boolean isSettled(Fleet fleet) {
        List<Boolean> outcomes = fleet.outcomes();
        return !outcomes.contains(null)
                && fleet.allActOn(outcomes.stream().filter(taken -> taken).count());
    }

    private static final class ModelFleet implements Fleet {
        private final AgreementModel model;
        private final List<AgreementModel.Proposed> proposals = new ArrayList<>();

        ModelFleet(Plan plan, long seed) {
            model = new AgreementModel(seed, plan.gateways(), plan.voters(), plan.leaseMs(), 200);
            model.run(5000);
        }

        @Override
        public void propose(String through, long base, int step) {
            proposals.add(model.propose(through, base, "text " + step));
        }

        @Override
        public void pause(String name, long ms) {
            model.pause(name, ms);
        }

        @Override
        public void cut(String from, String to) {
            model.cut(from, to);
        }

        @Override
        public void heal() {
            model.heal();
        }

        @Override
        public void kill(String name) {
            model.kill(name);
        }

        @Override
        public void net(MembershipModel.Net net) {
            model.net(net);
        }

        @Override
        public void run(long ms) {
            model.run(ms);
        }

        @Override
        public long newestVersion() {
            return model.leaseStates().values().stream()
                    .mapToLong(LeaseState::version)
                    .max()
                    .orElse(0);
        }

        @Override
        public boolean allActOn(long version) {
            return model.allActOn(version);
        }

        @Override
        public List<Boolean> outcomes() {
            List<Boolean> outcomes = new ArrayList<>();
            proposals.forEach(each -> outcomes.add(each.isDecided() ? each.accepted() : null));
            return outcomes;
        }

        @Override
        public List<ConflictDetector.Case> conflictsLongerThan(long boundMs) {
            return model.conflicts().conflictsLongerThan(boundMs, model.now());
        }

        @Override
        public void close() {}
    }

    private static final class ClusterFleet implements Fleet {
        private final TestCluster cluster;
        private final List<String> running;
        private final List<CompletableFuture<VersionLog.Outcome>> proposals = new ArrayList<>();
        private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2 * STEPS);

        ClusterFleet(Plan plan, long seed) throws IOException, InterruptedException {
            cluster = startCluster(plan, seed);
            running = names(plan);
        }

        @Override
        public void propose(String through, long base, int step) {
            proposals.add(CompletableFuture.supplyAsync(
                    () -> {
                        try {
                            return cluster.client(through).propose(base, "trial", TestCluster.document(1 + step % 6));
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    },
                    executor));
        }

        @Override
        public void pause(String name, long ms) throws Exception {
            if (running.contains(name)) {
                cluster.pause(name);
                executor.schedule(
                        () -> {
                            cluster.resume(name);
                            return null;
                        },
                        ms,
                        TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void cut(String from, String to) {
            cluster.cut(from, to);
        }

        @Override
        public void heal() {
            cluster.heal();
        }

        @Override
        public void kill(String name) throws Exception {
            if (running.remove(name)) {
                cluster.kill(name);
            }
        }

        @Override
        public void net(MembershipModel.Net net) {
            cluster.net(net);
        }

        @Override
        public void run(long ms) throws InterruptedException {
            Thread.sleep(ms);
        }

        @Override
        public long newestVersion() {
            return running.stream()
                    .map(cluster::actsOn)
                    .filter(acting -> !acting.isEmpty())
                    .mapToLong(acting -> Long.parseLong(acting.split(" ")[0]))
                    .max()
                    .orElse(0);
        }

        @Override
        public boolean allActOn(long version) {
            return running.stream()
                    .allMatch(name -> cluster.actsOn(name).equals(version == 0 ? "" : version + " FULL"));
        }

        @Override
        public List<Boolean> outcomes() {
            List<Boolean> outcomes = new ArrayList<>();
            proposals.forEach(each -> outcomes.add(
                    each.isDone() && !each.isCompletedExceptionally()
                            ? each.join().accepted()
                            : null));
            return outcomes;
        }

        @Override
        public List<ConflictDetector.Case> conflictsLongerThan(long boundMs) {
            return cluster.conflictsLongerThan(boundMs);
        }

        @Override
        public void close() throws IOException {
            executor.shutdownNow();
            cluster.close();
        }
    }
}
