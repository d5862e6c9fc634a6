package opalcove.replication;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import opalcove.configlease.VersionLog;

/**
 * Runs voters in virtual time, each with its own store. A message takes 1 ms. Messages from and to isolated voters are
 * lost.
 */
final class VirtualVoters {
    static final List<String> NAMES = List.of("g1", "g2", "g3");
    private static final long TIMEOUT_MS = 120_000;

    private record Task(long atMs, long order, Runnable run) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
    private final Map<String, RaftVoter> voters = new LinkedHashMap<>();
    private final Map<String, Process> processes = new HashMap<>();
    private final Set<String> isolated = new HashSet<>();
    private final BiConsumer<String, byte[]> onSend;
    private long nowMs = 1_000_000;
    private long nextOrder;
    private int restarts;

    /** Starts a voter for each store; {@code onSend} receives each sent message, including the lost ones. */
    VirtualVoters(Map<String, RaftVoterStore> stores, BiConsumer<String, byte[]> onSend) {
        this.onSend = onSend;
        stores.forEach((name, store) -> voters.put(name, create(name, store)));
        voters.values().forEach(RaftVoter::start);
    }

    private RaftVoter create(String name, RaftVoterStore store) {
        Process process = new Process();
        processes.put(name, process);
        return new RaftVoter(
                new RaftVoter.Setup(
                        name, NAMES, store, process, new VirtualClock(), new Random(name.hashCode() + restarts)),
                (to, message) -> {
                    onSend.accept(name, message);
                    scheduleTask(1, () -> deliver(name, to, message));
                },
                version -> {});
    }

    private void deliver(String from, String to, byte[] message) {
        if (!isolated.contains(from) && !isolated.contains(to)) {
            voters.get(to).handle(message);
        }
    }

    /** Terminates a voter and starts a new one from the given store. */
    void restart(String name, RaftVoterStore store) {
        restarts++;
        processes.get(name).terminate();
        voters.put(name, create(name, store));
        voters.get(name).start();
    }

    RaftVoter voter(String name) {
        return voters.get(name);
    }

    void isolate(String name) {
        isolated.add(name);
    }

    void reconnectAll() {
        isolated.clear();
    }

    /** Runs until a voter that is not isolated considers itself the leader, and returns its name. */
    String awaitLeader() {
        await(() -> leader() != null);
        return leader();
    }

    private String leader() {
        return voters.keySet().stream()
                .filter(name ->
                        !isolated.contains(name) && name.equals(voters.get(name).leader()))
                .findFirst()
                .orElse(null);
    }

    /** Sends a proposal to the leader and returns its outcome. */
    VersionLog.Outcome propose(VersionLog.Proposal proposal) {
        List<VersionLog.Outcome> outcome = new ArrayList<>();
        String leader = awaitLeader();
        voters.get(leader).propose(proposal, outcome::add, () -> {
            throw new IllegalStateException(leader + " lost the proposal");
        });
        await(() -> !outcome.isEmpty());
        return outcome.get(0);
    }

    void runFor(long durationMs) {
        long endMs = nowMs + durationMs;
        while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
            runNextTask();
        }
        nowMs = endMs;
    }

    void await(BooleanSupplier condition) {
        long endMs = nowMs + TIMEOUT_MS;
        while (!condition.getAsBoolean()) {
            if (nowMs > endMs) {
                throw new IllegalStateException("not within " + TIMEOUT_MS + " ms of virtual time");
            }
            runNextTask();
        }
    }

    private void runNextTask() {
        Task task = tasks.poll();
        nowMs = Math.max(nowMs, task.atMs());
        task.run().run();
    }

    private void scheduleTask(long delayMs, Runnable run) {
        tasks.add(new Task(nowMs + delayMs, nextOrder++, run));
    }

    /** Runs the tasks of one voter until it is terminated. */
    private final class Process implements RaftNodeExecutor {
        private boolean hasEnded;

        void terminate() {
            hasEnded = true;
        }

        @Override
        public void execute(Runnable task) {
            scheduleUnlessEnded(0, task);
        }

        @Override
        public void submit(Runnable task) {
            scheduleUnlessEnded(0, task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            scheduleUnlessEnded(Math.max(1, unit.toMillis(delay)), task);
        }

        private void scheduleUnlessEnded(long delayMs, Runnable task) {
            scheduleTask(delayMs, () -> {
                if (!hasEnded) {
                    task.run();
                }
            });
        }
    }

    private final class VirtualClock extends Clock {
        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public long millis() {
            return nowMs;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(nowMs);
        }
    }
}
