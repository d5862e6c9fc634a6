package opalcove.laboratory;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import opalcove.membership.Member.State;
import opalcove.membership.SwimConfig;
import org.HdrHistogram.Histogram;

/**
 * Measures the membership protocol with real processes or with the model: the time until all members know of a crash and of
 * a leave, the messages per member and second without changes, and the deaths reported of members that were alive. Each round
 * is a crash, a restart, a leave and a restart. Crashes and leaves go through the members one after another, without the first
 * two, through which the others join.
 */
public final class MembershipTrial {
    /**
     * The parameters of a trial.
     *
     * @param restMs how long messages are counted while nothing changes, in ms
     * @param soakMs the length of the soak before the rounds, in ms, in which a random member is paused for three probe
     *     periods out of every twenty
     */
    public record Plan(int members, int probeMs, int rounds, long seed, double loss, long restMs, long soakMs) {}

    /** The result of a trial. Times are in ms, over observers and rounds; the model encodes no messages and reports 0 bytes. */
    public record Report(
            String by,
            Plan plan,
            long crashP50,
            long crashP99,
            long leaveP50,
            long leaveP99,
            double messagesPerMemberSecond,
            double bytesPerMemberSecond,
            int falseDeaths) {
        /** Returns the report as one line of text. */
        public String line() {
            return String.format(
                    Locale.ROOT,
                    "%-6s %4d members  crash known p50 %5d ms p99 %5d ms  leave known p50 %4d ms"
                            + " p99 %4d ms  %.1f messages%s a member and second at rest  %d false deaths",
                    by,
                    plan.members(),
                    crashP50,
                    crashP99,
                    leaveP50,
                    leaveP99,
                    messagesPerMemberSecond,
                    bytesPerMemberSecond > 0 ? String.format(Locale.ROOT, ", %.0f bytes", bytesPerMemberSecond) : "",
                    falseDeaths);
        }

        /** Returns the report as one JSON object. */
        public JsonObject json() {
            return Json.object()
                    .add("by", by)
                    .add("members", plan.members())
                    .add("probe_ms", plan.probeMs())
                    .add("rounds", plan.rounds())
                    .add("seed", plan.seed())
                    .add("loss", plan.loss())
                    .add("soak_ms", plan.soakMs())
                    .add("crash_p50_ms", crashP50)
                    .add("crash_p99_ms", crashP99)
                    .add("leave_p50_ms", leaveP50)
                    .add("leave_p99_ms", leaveP99)
                    .add("messages_per_member_second", messagesPerMemberSecond)
                    .add("bytes_per_member_second", bytesPerMemberSecond)
                    .add("false_deaths", falseDeaths);
        }
    }

    private static final long MAX_MS = 120_000;
    /** A larger fleet starts in the model with members that know each other, since the trial does not measure their joining. */
    private static final int MAX_JOINING_MEMBERS = 200;
    /** The length of a pause in the soak, in probe periods. */
    private static final int PAUSE_PERIODS = 3;

    /** The time from the start of one pause in the soak to the next, in probe periods. */
    private static final int PAUSE_EVERY = 20;

    private final Plan plan;
    private final Histogram crashes = new Histogram(3);
    private final Histogram leaves = new Histogram(3);
    private final List<String> names = new ArrayList<>();

    private MembershipTrial(Plan plan) {
        if (plan.members() < 4 || plan.rounds() < 1) {
            throw new IllegalArgumentException("a trial needs at least 4 members and 1 round");
        }
        this.plan = plan;
        for (int i = 0; i < plan.members(); i++) {
            names.add(String.format("g%04d", i));
        }
    }

    private MembershipModel.Net net() {
        return new MembershipModel.Net(plan.loss(), 0, 0, 1);
    }

    private String victim(int index) {
        return names.get(2 + index % (plan.members() - 2));
    }

    /** Runs the trial with the model, in virtual time. */
    public static Report model(Plan plan) {
        MembershipTrial trial = new MembershipTrial(plan);
        MembershipModel model =
                new MembershipModel(plan.seed(), SwimConfig.of(plan.probeMs()), trial.names.subList(0, 2));
        model.net(trial.net());
        if (plan.members() > MAX_JOINING_MEMBERS) {
            model.startKnown(trial.names);
        } else {
            trial.names.forEach(model::start);
        }
        model.run(40L * plan.probeMs());
        long before = model.messages();
        model.run(plan.restMs());
        double rate = (model.messages() - before) * 1000.0 / plan.restMs() / plan.members();
        SplittableRandom pauses = new SplittableRandom(plan.seed());
        for (long end = model.now() + plan.soakMs(); model.now() < end; ) {
            model.pause(trial.names.get(pauses.nextInt(plan.members())), (long) PAUSE_PERIODS * plan.probeMs());
            model.run((long) PAUSE_EVERY * plan.probeMs());
        }
        int falseDeaths = (int) model.history().stream()
                .filter(each -> each.after().state() == State.DEAD)
                .count();
        for (int round = 0; round < plan.rounds(); round++) {
            for (State end : List.of(State.DEAD, State.LEFT)) {
                String victim = trial.victim(2 * round + (end == State.DEAD ? 0 : 1));
                int from = model.history().size();
                long at = model.now();
                if (end == State.DEAD) {
                    model.kill(victim);
                } else {
                    model.leave(victim);
                }
                model.run(20L * plan.probeMs());
                for (MembershipModel.Change each :
                        model.history().subList(from, model.history().size())) {
                    boolean isVictim = each.after().name().equals(victim);
                    if (isVictim && each.after().state() == end) {
                        (end == State.DEAD ? trial.crashes : trial.leaves).recordValue(each.at() - at);
                    }
                    falseDeaths += each.after().state() == State.DEAD && !isVictim ? 1 : 0;
                }
                model.start(victim);
                model.run(20L * plan.probeMs());
            }
        }
        return trial.report("model", rate, 0, falseDeaths);
    }

    /** Runs the trial with real processes on this machine. */
    public static Report cluster(Plan plan) throws IOException, InterruptedException {
        MembershipTrial trial = new MembershipTrial(plan);
        try (TestCluster cluster = new TestCluster(plan.seed(), plan.probeMs(), trial.names.subList(0, 2))) {
            cluster.net(trial.net());
            for (String name : trial.names) {
                cluster.start(name);
            }
            awaitState(cluster, running -> running.allAlive(trial.names), "all members to know each other");
            Thread.sleep(20L * plan.probeMs());
            long before = cluster.datagramsSent();
            long bytesBefore = cluster.bytesSent();
            Thread.sleep(plan.restMs());
            double rate = (cluster.datagramsSent() - before) * 1000.0 / plan.restMs() / plan.members();
            double bytes = (cluster.bytesSent() - bytesBefore) * 1000.0 / plan.restMs() / plan.members();
            SplittableRandom pauses = new SplittableRandom(plan.seed());
            for (long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(plan.soakMs());
                    System.nanoTime() < end; ) {
                cluster.pauseFor(
                        trial.names.get(pauses.nextInt(plan.members())), (long) PAUSE_PERIODS * plan.probeMs());
                Thread.sleep((long) (PAUSE_EVERY - PAUSE_PERIODS) * plan.probeMs());
            }
            int falseDeaths = (int) cluster.history().stream()
                    .filter(each -> each.state().equals("DEAD"))
                    .count();
            for (int round = 0; round < plan.rounds(); round++) {
                for (String end : List.of("DEAD", "LEFT")) {
                    String victim = trial.victim(2 * round + (end.equals("DEAD") ? 0 : 1));
                    int from = cluster.history().size();
                    long at = System.currentTimeMillis();
                    if (end.equals("DEAD")) {
                        cluster.kill(victim);
                    } else {
                        cluster.leave(victim);
                    }
                    awaitState(
                            cluster,
                            running -> trial.names.stream()
                                    .allMatch(name -> name.equals(victim)
                                            || running.lastState(name, victim).equals(end)),
                            victim + " to be reported " + end);
                    for (TestCluster.Event each :
                            cluster.history().subList(from, cluster.history().size())) {
                        boolean isVictim = each.name().equals(victim);
                        if (isVictim && each.state().equals(end)) {
                            (end.equals("DEAD") ? trial.crashes : trial.leaves).recordValue(each.atMs() - at);
                        }
                        falseDeaths += each.state().equals("DEAD") && !isVictim ? 1 : 0;
                    }
                    cluster.start(victim);
                    awaitState(
                            cluster, running -> running.allAlive(trial.names), victim + " to be reported alive again");
                }
            }
            return trial.report("rig", rate, bytes, falseDeaths);
        }
    }

    private static void awaitState(TestCluster cluster, Predicate<TestCluster> condition, String what)
            throws IOException, InterruptedException {
        if (!cluster.await(condition, MAX_MS)) {
            throw new IOException("timed out after " + MAX_MS + " ms waiting for " + what);
        }
    }

    private Report report(String by, double rate, double bytes, int falseDeaths) {
        return new Report(
                by,
                plan,
                crashes.getValueAtPercentile(50),
                crashes.getValueAtPercentile(99),
                leaves.getValueAtPercentile(50),
                leaves.getValueAtPercentile(99),
                rate,
                bytes,
                falseDeaths);
    }
}
