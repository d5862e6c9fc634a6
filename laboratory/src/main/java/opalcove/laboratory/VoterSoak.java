package opalcove.laboratory;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import opalcove.configlease.VersionLog;

/**
 * Injects faults into the voters of a cluster of real processes, one voter at a time, so that a majority always runs. The
 * faults are kills, pauses and failing writes of the state file, most of them at the leader, and the next fault does not always
 * wait until a restarted voter has recovered. A version is proposed during each fault. The soak checks that the proposal is
 * decided in time, that no accepted version is lost, and that no two gateways act on different versions for longer than the
 * lease.
 */
public final class VoterSoak {
    /**
     * The parameters of a run.
     *
     * @param seed the seed of the faults
     * @param rounds the number of faults, one after another
     * @param leaseMs how long a gateway may act on a confirmed version, in ms
     */
    public record Plan(long seed, int rounds, int leaseMs) {}

    /** A fault of a voter. */
    enum FaultKind {
        /** SIGKILL; the voter is restarted once the round's proposal has a response. */
        KILL,
        /** SIGSTOP for a random time below 3 s, or until the round's proposal has a response if that takes longer. */
        PAUSE,
        /** Writes of the state file fail for as long as a pause lasts. */
        FOLDER_FAILS,
        /** Writes of the state file fail, and the process is killed before they succeed again. */
        KILL_IN_FAILING_FOLDER
    }

    /** A rule that the soak checks. */
    public enum Rule {
        /** A majority decides on a proposal within 10 s of a fault. */
        DECIDED_IN_TIME,
        /** A majority accepts a proposal as the version after the newest one. */
        DECIDED,
        /** All gateways act fully on the newest version again. */
        RECOVERED,
        /** An accepted version stays in the history, by the same author. */
        KEPT,
        /** Two gateways act on different versions for at most one lease. */
        NO_CONFLICT
    }

    /** A violation of a rule. */
    public record Violation(Rule rule, String text) {}

    /**
     * The outcome of a run.
     *
     * @param accepted the number of proposals that became a version
     * @param medianAnswerMs the median time from a fault to the response to its proposal
     * @param slowestAnswerMs the longest such time
     * @param longestConflictMs the longest time in which two gateways acted on different versions
     * @param violations the violations, in the order of time
     */
    public record Result(
            Plan plan,
            Map<FaultKind, Integer> faults,
            int accepted,
            long medianAnswerMs,
            long slowestAnswerMs,
            long longestConflictMs,
            List<Violation> violations) {
        /** Returns one line for the run and one for each violation. */
        public String text() {
            StringBuilder text = new StringBuilder(String.format(
                    Locale.ROOT,
                    "voters' seed %d: %s, %s, %d versions, answered after %d ms at the median and %d ms at most,"
                            + " longest conflict %d ms%n",
                    plan.seed(),
                    violations.isEmpty() ? "held" : "BROKEN",
                    faults,
                    accepted,
                    medianAnswerMs,
                    slowestAnswerMs,
                    longestConflictMs));
            violations.forEach(each -> text.append("    ")
                    .append(each.rule())
                    .append(": ")
                    .append(each.text())
                    .append('\n'));
            return text.toString();
        }

        /** Returns the result as one JSON object. */
        public JsonObject json() {
            var broken = Json.array().asArray();
            violations.forEach(each -> broken.add(each.rule() + ": " + each.text()));
            return Json.object()
                    .add("seed", plan.seed())
                    .add("rounds", plan.rounds())
                    .add("lease_ms", plan.leaseMs())
                    .add("accepted", accepted)
                    .add("median_answer_ms", medianAnswerMs)
                    .add("slowest_answer_ms", slowestAnswerMs)
                    .add("longest_conflict_ms", longestConflictMs)
                    .add("violations", broken);
        }
    }

    private static final List<String> VOTERS = List.of("g1", "g2", "g3");
    private static final List<String> ALL = List.of("g1", "g2", "g3", "g4");
    private static final int PROBE_MS = 500;
    private static final long START_TIMEOUT_MS = 60_000;
    /** The longest time from a fault until a majority has elected a leader and decided on a proposal. */
    private static final long MAX_ANSWER_MS = 10_000;

    private static final long HISTORY_POLL_MS = 100;
    /** The share of faults that are aimed at the leader; the others hit a random voter. */
    private static final double LEADER_FAULT_SHARE = 0.7;
    /** The share of faults after which the next one waits until all gateways act on the newest version. */
    private static final double AWAIT_READY_SHARE = 0.6;
    /** The longest time until the next fault if it does not wait for that. */
    private static final long MAX_FAULT_GAP_MS = 1000;

    private static final long MAX_FAULT_MS = 3000;
    /** The error of a duration between clocks of two processes that are read in whole milliseconds. */
    private static final long ROUNDING_MS = 5;

    private final Plan plan;
    private final SplittableRandom random;
    private final TestCluster cluster;
    private final Map<FaultKind, Integer> faults = new TreeMap<>();
    private final Map<Long, String> authorsByVersion = new TreeMap<>();
    private final List<Long> answersMs = new ArrayList<>();
    private final List<Violation> violations = new ArrayList<>();
    private long newestVersion;

    private VoterSoak(Plan plan, TestCluster cluster) {
        this.plan = plan;
        this.cluster = cluster;
        random = new SplittableRandom(plan.seed());
    }

    /** Runs a plan on processes of this program. */
    public static Result run(Plan plan) throws IOException, InterruptedException {
        try (TestCluster cluster =
                new TestCluster(plan.seed(), PROBE_MS, VOTERS.subList(0, 2), VOTERS, plan.leaseMs())) {
            return new VoterSoak(plan, cluster).play();
        }
    }

    private void addViolation(Rule rule, String text) {
        violations.add(new Violation(rule, text));
    }

    private Result play() throws IOException, InterruptedException {
        for (String name : ALL) {
            cluster.start(name);
        }
        propose("the start", VOTERS.get(0), System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS));
        awaitAllActOnNewest(ALL);
        answersMs.clear();
        for (int round = 0; round < plan.rounds() && violations.isEmpty(); round++) {
            playRound(round);
        }
        if (violations.isEmpty()) {
            awaitAllActOnNewest(ALL);
            checkHistory();
        }
        cluster.conflictsLongerThan(plan.leaseMs() + ROUNDING_MS)
                .forEach(each -> addViolation(Rule.NO_CONFLICT, each.toString()));
        return result();
    }

    private Result result() {
        List<Long> sorted = answersMs.stream().sorted().toList();
        return new Result(
                plan,
                faults,
                authorsByVersion.size(),
                sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2),
                sorted.isEmpty() ? 0 : sorted.get(sorted.size() - 1),
                cluster.conflictsLongerThan(0).stream()
                        .mapToLong(ConflictDetector.Case::ms)
                        .max()
                        .orElse(0),
                violations);
    }

    private void playRound(int round) throws IOException, InterruptedException {
        String leader = cluster.leader();
        String victim = VOTERS.contains(leader) && random.nextDouble() < LEADER_FAULT_SHARE
                ? leader
                : VOTERS.get(random.nextInt(VOTERS.size()));
        FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
        faults.merge(kind, 1, Integer::sum);
        long startedNanos = System.nanoTime();
        long lengthMs = begin(kind, victim);
        List<String> others =
                VOTERS.stream().filter(each -> !each.equals(victim)).toList();
        String context =
                "round " + round + ", " + kind + " at " + victim + (victim.equals(leader) ? ", the leader" : "");
        propose(context, others.get(random.nextInt(others.size())), startedNanos);
        long restMs = lengthMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        Thread.sleep(Math.max(0, restMs));
        end(kind, victim);
    }

    /** Begins a fault and returns its shortest length, in ms. */
    private long begin(FaultKind kind, String victim) throws IOException, InterruptedException {
        switch (kind) {
            case KILL -> {
                cluster.kill(victim);
                return 0;
            }
            case PAUSE -> cluster.pause(victim);
            default -> cluster.failStateWrites(victim);
        }
        return random.nextLong(MAX_FAULT_MS);
    }

    private void end(FaultKind kind, String victim) throws IOException, InterruptedException {
        switch (kind) {
            case KILL -> restart(victim);
            case PAUSE -> cluster.resume(victim);
            case FOLDER_FAILS -> cluster.allowStateWrites(victim);
            case KILL_IN_FAILING_FOLDER -> {
                cluster.kill(victim);
                cluster.allowStateWrites(victim);
                restart(victim);
            }
            default -> throw new IllegalStateException(kind.toString());
        }
        if (random.nextDouble() < AWAIT_READY_SHARE) {
            awaitAllActOnNewest(ALL);
        } else {
            Thread.sleep(random.nextLong(MAX_FAULT_GAP_MS));
        }
    }

    /** Restarts a voter and waits for its first event. */
    private void restart(String name) throws IOException, InterruptedException {
        cluster.start(name);
        if (!cluster.await(running -> running.hasReported(name), START_TIMEOUT_MS)) {
            addViolation(Rule.RECOVERED, name + " reported no event within " + START_TIMEOUT_MS + " ms of its start");
        }
    }

    private void awaitAllActOnNewest(List<String> names) throws InterruptedException {
        String wanted = newestVersion + " FULL";
        if (!cluster.await(
                running -> names.stream().allMatch(name -> running.actsOn(name).equals(wanted)), START_TIMEOUT_MS)) {
            List<String> acting = names.stream().map(cluster::actsOn).toList();
            addViolation(Rule.RECOVERED, "not all act on " + wanted + " within " + START_TIMEOUT_MS + " ms: " + acting);
        }
    }

    /** Proposes the next version through a voter and checks the time from the fault to the response. */
    private void propose(String context, String through, long faultNanos) throws InterruptedException {
        String author = "soak-" + (newestVersion + 1);
        VersionLog.Outcome outcome;
        try {
            outcome = cluster.client(through)
                    .propose(newestVersion, author, TestCluster.document((int) (1 + newestVersion % 6)));
        } catch (IOException e) {
            addViolation(
                    Rule.DECIDED,
                    context + ": " + e.getMessage() + "; acting: "
                            + ALL.stream().map(cluster::actsOn).toList());
            return;
        }
        long answeredMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - faultNanos);
        answersMs.add(answeredMs);
        if (answeredMs > MAX_ANSWER_MS) {
            addViolation(Rule.DECIDED_IN_TIME, context + ": answered after " + answeredMs + " ms");
        }
        if (!outcome.accepted() || outcome.version() != newestVersion + 1) {
            addViolation(Rule.DECIDED, context + ": " + outcome + " on version " + newestVersion);
            return;
        }
        newestVersion = outcome.version();
        authorsByVersion.put(newestVersion, author);
    }

    /** Checks that each voter returns all accepted versions; a voter forwards the request to the leader. */
    private void checkHistory() throws IOException, InterruptedException {
        for (String name : VOTERS) {
            List<VersionLog.Version> history = awaitHistory(name);
            long last = lastNumber(history);
            if (last != newestVersion) {
                addViolation(Rule.KEPT, name + " knows versions up to " + last + ", accepted were " + newestVersion);
            }
            for (VersionLog.Version each : history) {
                String accepted = authorsByVersion.get(each.number());
                if (!each.author().equals(accepted)) {
                    addViolation(
                            Rule.KEPT,
                            name + " has version " + each.number() + " by " + each.author() + ", accepted was "
                                    + accepted);
                }
            }
        }
    }

    /**
     * Polls a voter until its history reaches the newest version, for at most {@link #MAX_ANSWER_MS}. A voter that knows no
     * leader returns its own copy, which may lag behind.
     */
    private List<VersionLog.Version> awaitHistory(String name) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_ANSWER_MS);
        while (true) {
            List<VersionLog.Version> history = cluster.client(name).history();
            if (lastNumber(history) == newestVersion || System.nanoTime() > endNanos) {
                return history;
            }
            Thread.sleep(HISTORY_POLL_MS);
        }
    }

    private static long lastNumber(List<VersionLog.Version> history) {
        return history.isEmpty() ? 0 : history.get(history.size() - 1).number();
    }
}
