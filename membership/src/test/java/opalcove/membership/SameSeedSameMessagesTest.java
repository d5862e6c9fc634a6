package opalcove.membership;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs the protocol in virtual time on a simulated network that loses, duplicates and delays messages; one member is
 * killed and restarted, one pauses, one leaves and one is isolated. A checksum of the complete run fails when the order
 * of messages, state changes or random draws differs from the recorded run of the same seed.
 */
public class SameSeedSameMessagesTest {
    private static final int MEMBERS = 12;
    private static final long END_MS = 60_000;

    private record Task(long atMs, long order, Runnable action) {}

    private static final class Simulation {
        private final PriorityQueue<Task> tasks =
                new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
        private final SplittableRandom random;
        private final Map<String, FailureDetector> members = new LinkedHashMap<>();
        private final Map<String, Long> tickAtMs = new LinkedHashMap<>();
        private final Map<String, Long> pausedUntilMs = new LinkedHashMap<>();
        private final List<String> killed = new ArrayList<>();
        private final CRC32C checksum = new CRC32C();
        private String isolated = "";
        private long messages;
        private long changes;
        private long gossipEntries;
        private long nowMs;
        private long order;

        Simulation(long seed) {
            random = new SplittableRandom(seed);
        }

        private void schedule(long atMs, Runnable action) {
            tasks.add(new Task(atMs, order++, action));
        }

        private void start(String name) {
            killed.remove(name);
            FailureDetector member = new FailureDetector(
                    nowMs,
                    name,
                    name,
                    nowMs + 1,
                    List.of("m00", "m01"),
                    SwimConfig.of(500),
                    random.split(),
                    new FailureDetector.Host() {
                        @Override
                        public void send(String address, SwimMessage message) {
                            transmit(name, address, message);
                        }

                        @Override
                        public void memberChanged(Member before, Member after) {
                            changes++;
                            addToChecksum("changed " + name + " " + format(before) + " " + format(after));
                        }
                    });
            members.put(name, member);
            tickAtMs.remove(name);
            scheduleTick(name);
        }

        private void scheduleTick(String name) {
            long due = Math.max(nowMs, members.get(name).nextTickMs());
            if (due < tickAtMs.getOrDefault(name, Long.MAX_VALUE)) {
                tickAtMs.put(name, due);
                schedule(due, () -> {
                    if (tickAtMs.getOrDefault(name, -1L) == due) {
                        tickAtMs.remove(name);
                        runWhenNotPaused(name, () -> members.get(name).tick(nowMs));
                    }
                });
            }
        }

        private void runWhenNotPaused(String name, Runnable action) {
            long until = pausedUntilMs.getOrDefault(name, 0L);
            if (killed.contains(name)) {
                return;
            }
            if (nowMs < until) {
                schedule(until, () -> runWhenNotPaused(name, action));
                return;
            }
            action.run();
            scheduleTick(name);
        }

        private void transmit(String from, String to, SwimMessage message) {
            messages++;
            gossipEntries += message.gossip().size();
            StringBuilder text = new StringBuilder(
                    "send " + from + " " + to + " " + message.kind().name() + " "
                            + format(message.from()) + " " + message.sequence() + " " + message.target() + " "
                            + message.targetAddress());
            message.gossip().forEach(each -> text.append(' ')
                    .append(format(each.member()))
                    .append('/')
                    .append(each.accuser()));
            addToChecksum(text.toString());
            if (!members.containsKey(to) || from.equals(isolated) || to.equals(isolated) || random.nextInt(20) == 0) {
                return;
            }
            int copies = random.nextInt(50) == 0 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                schedule(
                        nowMs + random.nextLong(1, 60),
                        () -> runWhenNotPaused(to, () -> members.get(to).receive(nowMs, message)));
            }
        }

        private static String format(Member member) {
            return member == null
                    ? "-"
                    : member.name() + ":" + member.address() + ":" + member.incarnation() + ":"
                            + member.state().name();
        }

        private void addToChecksum(String text) {
            checksum.update((nowMs + " " + text + "\n").getBytes(StandardCharsets.UTF_8));
        }

        private void run() {
            for (int i = 0; i < MEMBERS; i++) {
                String name = String.format("m%02d", i);
                schedule(10L * i, () -> start(name));
            }
            schedule(15_000, () -> killed.add("m03"));
            schedule(20_000, () -> pausedUntilMs.put("m05", nowMs + 4_000));
            schedule(28_000, () -> start("m03"));
            schedule(
                    30_000,
                    () -> runWhenNotPaused("m07", () -> members.get("m07").leave(nowMs)));
            schedule(31_000, () -> killed.add("m07"));
            schedule(35_000, () -> isolated = "m09");
            schedule(45_000, () -> isolated = "");
            while (!tasks.isEmpty() && tasks.peek().atMs() <= END_MS) {
                Task task = tasks.poll();
                nowMs = task.atMs();
                task.action().run();
            }
        }

        /**
         * Returns the checksum, the numbers of messages, gossip entries and state changes, and the view and counters of
         * member m00.
         */
        private String result() {
            ProtocolCounts counts = members.get("m00").counts();
            return Long.toHexString(checksum.getValue()) + " " + messages + " " + gossipEntries + " " + changes + " "
                    + members.get("m00").presentMembers().size() + " "
                    + members.get("m00").version() + " "
                    + members.get("m00").healthScore() + " "
                    + List.of(
                            counts.probes(),
                            counts.acks(),
                            counts.requestedProbes(),
                            counts.suspicions(),
                            counts.confirmedDeaths(),
                            counts.refutations(),
                            counts.pauses());
        }
    }

    @DataProvider
    public Object[][] recordedRuns() {
        return new Object[][] {
            {1L, "8b03d238 9430 8631 467 11 42 0 [220, 219, 77, 1, 1, 0, 0]"},
            {2L, "48e9726f 8801 7770 369 11 32 0 [225, 225, 66, 0, 1, 1, 0]"},
            {3L, "3fd0c856 8913 7764 357 11 32 0 [220, 219, 61, 0, 1, 0, 0]"},
            {4L, "ff5ff6cc 8937 8112 380 11 32 0 [211, 209, 60, 0, 3, 2, 0]"}
        };
    }

    @Test(dataProvider = "recordedRuns")
    public void reproducesRecordedRunForSameSeed(long seed, String result) {
        Simulation simulation = new Simulation(seed);
        simulation.run();
        assertEquals(simulation.result(), result);
    }
}
