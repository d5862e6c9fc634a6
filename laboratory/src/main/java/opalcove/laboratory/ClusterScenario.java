package opalcove.laboratory;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import opalcove.config.ConfigValidator;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;

/**
 * A scenario for the cluster rig, from a file: members, and steps that start, pause, kill or end them, cut and heal their
 * ways, wait for what they tell of one another, and say what they must not have told. Seeded, each wait bounded.
 */
public record ClusterScenario(
        long seed, int probeMs, List<String> seeds, List<String> voters, int leaseMs, long maxMs, List<Step> steps) {
    /** What a step does. */
    public enum Action {
        START,
        KILL,
        LEAVE,
        PAUSE,
        RESUME,
        CUT,
        HEAL,
        NET,
        AWAIT,
        NEVER,
        PROPOSE,
        ACTS,
        AGREED
    }

    /**
     * One step. {@code who}: whom it is done to, the senders for CUT, the observers for AWAIT and NEVER; {@code of}: the
     * receivers for CUT, the observed for AWAIT and NEVER; forMs: for PAUSE, 0 for until RESUME. NET without {@code who} is
     * everybody's net, with it that of all that these members send and get. PROPOSE: in place of version {@code base}, one that
     * allows so many attempts, through the first of {@code who}; ACTS: waits until these act on {@code state}, such as
     * {@code 2 FULL}; AGREED: no two acted on different versions for longer than the lease.
     */
    public record Step(
            Action action,
            List<String> who,
            List<String> of,
            String state,
            long forMs,
            MembershipModel.Net net,
            long base,
            int attempts) {}

    private static final Set<String> KEYS =
            Set.of("seed", "probe_ms", "members", "seeds", "voters", "lease_ms", "most_s", "steps");
    private static final Set<String> STATES = Set.of("ALIVE", "SUSPECT", "DEAD", "LEFT");
    private static final int MAX_MEMBERS = 64;
    /** What whole milliseconds of two processes' clocks differ by. */
    private static final long ROUNDING_MS = 5;

    /** Reads a scenario; all that is wrong with it is told at once, by file, key and reason. */
    public static ClusterScenario read(Path file) {
        ConfigValidator check = new ConfigValidator(file);
        JsonFields fields = check.fields(KEYS);
        List<String> members = check.valueOr(() -> fields.texts("members"), List.of());
        if (members.isEmpty() || members.size() > MAX_MEMBERS) {
            check.addProblem("field members must name 1 to " + MAX_MEMBERS + " members");
        }
        List<String> seeds = check.valueOr(() -> fields.texts("seeds"), List.of());
        checkNames(check, "seeds", seeds, members);
        List<String> voters =
                check.valueOr(() -> fields.has("voters") ? fields.texts("voters") : List.<String>of(), List.of());
        checkNames(check, "voters", voters, members);
        int leaseMs = check.valueOr(() -> fields.wholeOr("lease_ms", 2000), 2000);
        if (leaseMs < 200 || leaseMs > 60_000 || !voters.isEmpty() && voters.size() % 2 == 0) {
            check.addProblem("field lease_ms must be from 200 to 60000, and voters an odd number of members");
        }
        int probeMs = check.valueOr(() -> fields.wholeOr("probe_ms", 500), 500);
        int maxS = check.valueOr(() -> fields.wholeOr("most_s", 60), 60);
        if (probeMs < 20 || maxS < 1 || maxS > 3600) {
            check.addProblem("field probe_ms must be at least 20, and most_s from 1 to 3600");
        }
        List<Step> steps = new ArrayList<>();
        for (JsonFields each : check.valueOr(() -> fields.objects("steps"), List.<JsonFields>of())) {
            Step step = check.valueOr(() -> step(each, members), null);
            if (step != null) {
                checkNames(check, each.path() + ".who", step.who(), members);
                checkNames(check, each.path() + ".of", step.of(), members);
                if (voters.isEmpty() && step.action().ordinal() >= Action.PROPOSE.ordinal()) {
                    check.addProblem("field " + each.path() + ".do is " + step.action() + ", but there are no voters");
                }
                steps.add(step);
            }
        }
        if (steps.isEmpty()) {
            check.addProblem("field steps must hold a step");
        }
        long seed = check.valueOr(() -> fields.has("seed") ? fields.serial("seed") : 1L, 1L);
        check.throwIfInvalid();
        return new ClusterScenario(seed, probeMs, seeds, voters, leaseMs, maxS * 1000L, steps);
    }

    private static void checkNames(ConfigValidator check, String key, List<String> names, List<String> members) {
        names.stream()
                .filter(name -> !members.contains(name))
                .forEach(name -> check.addProblem("field " + key + " names " + name + ", which is no member"));
    }

    private static Step step(JsonFields f, List<String> members) {
        Action action = f.choice("do", Action.class);
        List<String> who = f.has("who") ? f.texts("who") : action == Action.NET ? List.of() : members;
        List<String> of = f.has("of") ? f.texts("of") : members;
        boolean observes = action == Action.AWAIT || action == Action.NEVER;
        String state = observes || action == Action.ACTS ? f.text("state") : "";
        if (observes && !STATES.contains(state)) {
            throw new InvalidConfigurationException("field " + f.path() + ".state must be one of " + STATES);
        }
        int forMs = f.wholeOr("for_ms", 0);
        double loss = f.numberOr("loss", 0);
        double repeated = f.numberOr("repeated", 0);
        int minMs = f.wholeOr("least_ms", 0);
        int maxMs = f.wholeOr("most_ms", minMs);
        if (loss < 0 || loss > 1 || repeated < 0 || repeated > 1 || minMs < 0 || maxMs < minMs || forMs < 0) {
            throw new InvalidConfigurationException(
                    "field " + f.path() + " must have shares from 0 to 1 and times that are not below 0");
        }
        return new Step(
                action,
                who,
                of,
                state,
                forMs,
                new MembershipModel.Net(loss, repeated, minMs, maxMs),
                f.wholeOr("base", 0),
                f.wholeOr("attempts", 6));
    }

    /**
     * Plays the scenario with real processes. Gives what did not come to be, empty where all did; the history so far is in
     * the consumer's hands, each event once, when it ends.
     */
    public List<String> play(Consumer<TestCluster.Event> events) throws IOException, InterruptedException {
        List<String> failures = new ArrayList<>();
        try (TestCluster cluster = new TestCluster(seed, probeMs, seeds, voters, leaseMs)) {
            for (int i = 0; i < steps.size() && failures.isEmpty(); i++) {
                if (!play(cluster, steps.get(i))) {
                    failures.add("steps[" + i + "] " + steps.get(i).action() + ": "
                            + steps.get(i).of() + " " + steps.get(i).state() + " is not as "
                            + steps.get(i).who() + " have told it");
                }
            }
            cluster.history().forEach(events);
        }
        return failures;
    }

    private boolean play(TestCluster cluster, Step step) throws IOException, InterruptedException {
        switch (step.action()) {
            case NET -> {
                if (step.who().isEmpty()) {
                    cluster.net(step.net());
                }
                step.who().forEach(name -> cluster.net(name, step.net()));
            }
            case HEAL -> cluster.heal();
            case AWAIT -> {
                return cluster.await(
                        running -> allPairs(step, (observer, name) -> running.lastState(observer, name)
                                .equals(step.state())),
                        maxMs);
            }
            case NEVER -> {
                return cluster.history().stream()
                        .noneMatch(each -> each.state().equals(step.state())
                                && step.who().contains(each.observer())
                                && step.of().contains(each.name()));
            }
            case PROPOSE -> {
                return cluster.client(step.who().get(0))
                        .propose(step.base(), "scenario", TestCluster.document(step.attempts()))
                        .accepted();
            }
            case ACTS -> {
                return cluster.await(
                        running -> step.who().stream()
                                .allMatch(name -> running.actsOn(name).equals(step.state())),
                        maxMs);
            }
            case AGREED -> {
                return cluster.conflictsLongerThan(leaseMs + ROUNDING_MS).isEmpty();
            }
            default -> {
                for (String who : step.who()) {
                    applyTo(cluster, step, who);
                }
            }
        }
        return true;
    }

    private static void applyTo(TestCluster cluster, Step step, String who) throws IOException, InterruptedException {
        switch (step.action()) {
            case START -> cluster.start(who);
            case KILL -> cluster.kill(who);
            case LEAVE -> cluster.leave(who);
            case RESUME -> cluster.resume(who);
            case CUT -> step.of().forEach(to -> cluster.cut(who, to));
            case PAUSE -> {
                if (step.forMs() > 0) {
                    cluster.pauseFor(who, step.forMs());
                } else {
                    cluster.pause(who);
                }
            }
            default -> throw new IllegalStateException("no act on one member: " + step.action());
        }
    }

    private static boolean allPairs(Step step, java.util.function.BiPredicate<String, String> holds) {
        return step.who().stream().allMatch(observer -> step.of().stream()
                .allMatch(name -> name.equals(observer) || holds.test(observer, name)));
    }
}
