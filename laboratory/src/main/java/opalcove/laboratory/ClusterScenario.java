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
 * A scenario for a {@link TestCluster}, read from a file. It names the members and the steps, which start, pause, kill or end
 * members, cut and heal their network, wait for the states that they report of each other, and check for states that they must
 * not have reported. Faults are drawn by a seed, and each wait is bounded by {@code maxMs}.
 */
public record ClusterScenario(
        long seed, int probeMs, List<String> seeds, List<String> voters, int leaseMs, long maxMs, List<Step> steps) {
    /** The kind of a step. */
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
     * One step. NET sets the faults for all messages that the members of {@code who} send and receive, or for all members if
     * {@code who} is empty. PROPOSE proposes a version in place of {@code base} through the first member of {@code who}. ACTS
     * waits until the members of {@code who} act on {@code state}, such as {@code 2 FULL}. AGREED checks that no two members
     * acted on different versions for longer than the lease.
     *
     * @param who the members that the step applies to: the senders for CUT, the observers for AWAIT and NEVER
     * @param of the receivers for CUT, the observed members for AWAIT and NEVER
     * @param forMs the length of a PAUSE in ms, or 0 for a pause until RESUME
     * @param attempts the maximum number of attempts in the version of a PROPOSE
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
    /** The error of a duration between clocks of two processes that are read in whole milliseconds. */
    private static final long ROUNDING_MS = 5;

    /**
     * Reads a scenario from a file.
     *
     * @throws InvalidConfigurationException with all faults of the file at once, each by key and reason
     */
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
        int leaseMs = check.valueOr(() -> fields.integerOr("lease_ms", 2000), 2000);
        if (leaseMs < 200 || leaseMs > 60_000 || !voters.isEmpty() && voters.size() % 2 == 0) {
            check.addProblem("field lease_ms must be from 200 to 60000, and voters an odd number of members");
        }
        int probeMs = check.valueOr(() -> fields.integerOr("probe_ms", 500), 500);
        int maxS = check.valueOr(() -> fields.integerOr("most_s", 60), 60);
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
            check.addProblem("field steps must hold at least one step");
        }
        long seed = check.valueOr(() -> fields.has("seed") ? fields.longInteger("seed") : 1L, 1L);
        check.throwIfInvalid();
        return new ClusterScenario(seed, probeMs, seeds, voters, leaseMs, maxS * 1000L, steps);
    }

    private static void checkNames(ConfigValidator check, String key, List<String> names, List<String> members) {
        names.stream()
                .filter(name -> !members.contains(name))
                .forEach(name ->
                        check.addProblem("field " + key + " names " + name + ", which is not listed in field members"));
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
        int forMs = f.integerOr("for_ms", 0);
        double loss = f.numberOr("loss", 0);
        double repeated = f.numberOr("repeated", 0);
        int minMs = f.integerOr("least_ms", 0);
        int maxMs = f.integerOr("most_ms", minMs);
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
                f.integerOr("base", 0),
                f.integerOr("attempts", 6));
    }

    /**
     * Runs the scenario with real processes, up to the first step that fails. Returns the failed step, or an empty list if
     * all steps passed. At the end, passes each event of the history to the consumer once.
     */
    public List<String> play(Consumer<TestCluster.Event> events) throws IOException, InterruptedException {
        List<String> failures = new ArrayList<>();
        try (TestCluster cluster = new TestCluster(seed, probeMs, seeds, voters, leaseMs)) {
            for (int i = 0; i < steps.size() && failures.isEmpty(); i++) {
                if (!play(cluster, steps.get(i))) {
                    failures.add("steps[" + i + "] " + steps.get(i).action() + ": "
                            + steps.get(i).of() + " " + steps.get(i).state() + " is not what "
                            + steps.get(i).who() + " reported");
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
            default -> throw new IllegalStateException("step does not apply to a single member: " + step.action());
        }
    }

    private static boolean allPairs(Step step, java.util.function.BiPredicate<String, String> holds) {
        return step.who().stream().allMatch(observer -> step.of().stream()
                .allMatch(name -> name.equals(observer) || holds.test(observer, name)));
    }
}
