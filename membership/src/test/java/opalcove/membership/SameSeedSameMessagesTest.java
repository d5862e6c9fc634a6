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
 * The protocol run for run: members in virtual time, on a network that loses, repeats and delays, among which one is killed, one
 * pauses, one leaves and one is cut off. The order of messages, changes and random draws is held by a checksum of the whole run.
 */
public class SameSeedSameMessagesTest {
    private static final int MEMBERS = 12;
    private static final long END_MS = 60_000;

    private record Task(long atMs, long order, Runnable run) {}

    private static final class Run {
        private final PriorityQueue<Task> tasks =
                new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
        private final SplittableRandom random;
        private final Map<String, FailureDetector> members = new LinkedHashMap<>();
        private final Map<String, Long> ticksAt = new LinkedHashMap<>();
        private final Map<String, Long> pausedTill = new LinkedHashMap<>();
        private final List<String> killed = new ArrayList<>();
        private final CRC32C sum = new CRC32C();
        private String cutOff = "";
        private long messages;
        private long changes;
        private long words;
        private long nowMs;
        private long order;

        Run(long seed) {
            random = new SplittableRandom(seed);
        }

        private void at(long atMs, Runnable run) {
            tasks.add(new Task(atMs, order++, run));
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
                            carry(name, address, message);
                        }

                        @Override
                        public void memberChanged(Member before, Member after) {
                            changes++;
                            note("changed " + name + " " + form(before) + " " + form(after));
                        }
                    });
            members.put(name, member);
            ticksAt.remove(name);
            arm(name);
        }

        private void arm(String name) {
            long due = Math.max(nowMs, members.get(name).nextTickMs());
            if (due < ticksAt.getOrDefault(name, Long.MAX_VALUE)) {
                ticksAt.put(name, due);
                at(due, () -> {
                    if (ticksAt.getOrDefault(name, -1L) == due) {
                        ticksAt.remove(name);
                        whenAwake(name, () -> members.get(name).tick(nowMs));
                    }
                });
            }
        }

        private void whenAwake(String name, Runnable run) {
            long till = pausedTill.getOrDefault(name, 0L);
            if (killed.contains(name)) {
                return;
            }
            if (nowMs < till) {
                at(till, () -> whenAwake(name, run));
                return;
            }
            run.run();
            arm(name);
        }

        private void carry(String from, String to, SwimMessage message) {
            messages++;
            words += message.gossip().size();
            StringBuilder text = new StringBuilder(
                    "send " + from + " " + to + " " + message.kind().name() + " "
                            + form(message.from()) + " " + message.sequence() + " " + message.target() + " "
                            + message.targetAddress());
            message.gossip().forEach(each -> text.append(' ')
                    .append(form(each.member()))
                    .append('/')
                    .append(each.accuser()));
            note(text.toString());
            if (!members.containsKey(to) || from.equals(cutOff) || to.equals(cutOff) || random.nextInt(20) == 0) {
                return;
            }
            int copies = random.nextInt(50) == 0 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                at(
                        nowMs + random.nextLong(1, 60),
                        () -> whenAwake(to, () -> members.get(to).receive(nowMs, message)));
            }
        }

        private static String form(Member member) {
            return member == null
                    ? "-"
                    : member.name() + ":" + member.address() + ":" + member.incarnation() + ":"
                            + member.state().name();
        }

        private void note(String text) {
            sum.update((nowMs + " " + text + "\n").getBytes(StandardCharsets.UTF_8));
        }

        private void play() {
            for (int i = 0; i < MEMBERS; i++) {
                String name = String.format("m%02d", i);
                at(10L * i, () -> start(name));
            }
            at(15_000, () -> killed.add("m03"));
            at(20_000, () -> pausedTill.put("m05", nowMs + 4_000));
            at(28_000, () -> start("m03"));
            at(30_000, () -> whenAwake("m07", () -> members.get("m07").leave(nowMs)));
            at(31_000, () -> killed.add("m07"));
            at(35_000, () -> cutOff = "m09");
            at(45_000, () -> cutOff = "");
            while (!tasks.isEmpty() && tasks.peek().atMs() <= END_MS) {
                Task task = tasks.poll();
                nowMs = task.atMs();
                task.run().run();
            }
        }

        /** Checksum, numbers of messages, words and changes, and what one member counts and knows. */
        private String result() {
            ProtocolCounts counts = members.get("m00").counts();
            return Long.toHexString(sum.getValue()) + " " + messages + " " + words + " " + changes + " "
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
    public Object[][] runs() {
        return new Object[][] {
            {1L, "8b03d238 9430 8631 467 11 42 0 [220, 219, 77, 1, 1, 0, 0]"},
            {2L, "48e9726f 8801 7770 369 11 32 0 [225, 225, 66, 0, 1, 1, 0]"},
            {3L, "3fd0c856 8913 7764 357 11 32 0 [220, 219, 61, 0, 1, 0, 0]"},
            {4L, "ff5ff6cc 8937 8112 380 11 32 0 [211, 209, 60, 0, 3, 2, 0]"}
        };
    }

    @Test(dataProvider = "runs")
    public void theSameSeedGivesTheSameRun(long seed, String result) {
        Run run = new Run(seed);
        run.play();
        assertEquals(run.result(), result);
    }
}
