package opalcove.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.zip.InflaterInputStream;
import opalcove.configlease.LeaseState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the wire format of datagrams about versions, which processes of an older build read and write too. */
public class ReplicationMessageFormTest {
    /** The text "one" as the program packs it. */
    private static final String PACKED_ONE = "eJxb85aBtYSBOT8vFQAUjANY";

    private static final String CLIENT = "{\"n\":\"client-1\",\"a\":\"c:1\"}";

    @DataProvider
    public Object[][] wireFormats() {
        JsonObject origin = Json.object().add("n", "g9").add("a", "127.0.0.1:9");
        return new Object[][] {
            {
                ReplicationMessage.Kind.RAFT,
                ReplicationMessage.raftBody(new byte[] {1, 2, -1}),
                "\"k\":\"RAFT\",\"s\":7,\"b\":\"AQL/\""
            },
            {ReplicationMessage.Kind.VERSION_REQUEST, Json.object().add("v", 3), "\"k\":\"ASK\",\"s\":7,\"v\":3"},
            {
                ReplicationMessage.Kind.VERSION_RESPONSE,
                Json.object().add("v", 3).add("t", PACKED_ONE).add("o", origin),
                "\"k\":\"TOLD\",\"s\":7,\"v\":3,\"t\":\"" + PACKED_ONE + "\",\"o\":{\"n\":\"g9\",\"a\":\"127.0.0.1:9\"}"
            },
            {ReplicationMessage.Kind.VERSION_ANNOUNCEMENT, Json.object().add("v", 4), "\"k\":\"NEWS\",\"s\":7,\"v\":4"},
            {
                ReplicationMessage.Kind.PROPOSAL,
                Json.object().add("id", "x").add("base", 1).add("by", "ops").add("t", PACKED_ONE),
                "\"k\":\"PROPOSE\",\"s\":7,\"id\":\"x\",\"base\":1,\"by\":\"ops\",\"t\":\"" + PACKED_ONE + "\""
            },
            {
                ReplicationMessage.Kind.PROPOSAL_RESPONSE,
                Json.object().add("taken", true).add("v", 2).add("reason", ""),
                "\"k\":\"DECIDED\",\"s\":7,\"taken\":true,\"v\":2,\"reason\":\"\""
            },
            {ReplicationMessage.Kind.HISTORY_REQUEST, Json.object(), "\"k\":\"HISTORY\",\"s\":7"},
            {
                ReplicationMessage.Kind.HISTORY_RESPONSE,
                Json.object()
                        .add(
                                "versions",
                                Json.array()
                                        .asArray()
                                        .add(Json.object()
                                                .add("number", 1)
                                                .add("by", "ops")
                                                .add("id", "x"))),
                "\"k\":\"VERSIONS\",\"s\":7,\"versions\":[{\"number\":1,\"by\":\"ops\",\"id\":\"x\"}]"
            }
        };
    }

    @Test(dataProvider = "wireFormats")
    public void readsAndWritesEachKindInItsWireFormat(ReplicationMessage.Kind kind, JsonObject body, String fields) {
        String json = "{\"f\":{\"n\":\"g1\",\"a\":\"127.0.0.1:7000\"}," + fields + "}";
        ReplicationMessage message = new ReplicationMessage("g1", "127.0.0.1:7000", kind, 7, body);
        assertEquals(new String(message.bytes(), StandardCharsets.UTF_8), json);
        ReplicationMessage read = ReplicationMessage.read(json.getBytes(StandardCharsets.UTF_8));
        assertEquals(read, message);
        if (body.get("t") != null) {
            assertEquals(read.text(), "one");
        }
        if (body.get("o") == null) {
            assertNull(read.origin());
        }
    }

    @Test
    public void hasWireFormatExampleOfEachKind() {
        assertEquals(wireFormats().length, ReplicationMessage.Kind.values().length);
    }

    @Test
    public void packsTextAsDeflatedSerializedString() throws IOException {
        byte[] packed = Base64.getDecoder().decode(ReplicationMessage.packText("one"));
        byte[] plain = new InflaterInputStream(new ByteArrayInputStream(packed)).readAllBytes();
        assertEquals(plain, new byte[] {(byte) 0xac, (byte) 0xed, 0, 5, 't', 0, 3, 'o', 'n', 'e'});
    }

    private record Task(long atMs, long order, Runnable run) {}

    /** A gateway's host in virtual time that records each sent message and each change of the lease. */
    private static final class Host implements ConfigReplica.Host {
        private final PriorityQueue<Task> tasks =
                new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
        private final List<String> sent = new ArrayList<>();
        private long nowMs = 1000;
        private long nextOrder;

        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public void send(String address, ReplicationMessage message) {
            sent.add(address + " " + new String(message.bytes(), StandardCharsets.UTF_8));
        }

        @Override
        public void schedule(long delayMs, Runnable task) {
            tasks.add(new Task(nowMs + delayMs, nextOrder++, task));
        }

        @Override
        public void leaseChanged(LeaseState before, LeaseState after, String text) {
            sent.add(after.version() + " " + after.mode().name() + " " + text);
        }

        private void runFor(long durationMs) {
            long endMs = nowMs + durationMs;
            while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
                Task task = tasks.poll();
                nowMs = Math.max(nowMs, task.atMs());
                task.run().run();
            }
            nowMs = endMs;
        }

        private List<String> drainSent() {
            List<String> drained = List.copyOf(sent);
            sent.clear();
            return drained;
        }
    }

    private static ConfigReplica replica(Host host, Map<String, String> voters, boolean isVoter) {
        return new ConfigReplica(
                new ConfigReplica.Setup(
                        "g1",
                        "a:1",
                        voters,
                        isVoter,
                        isVoter ? RaftVoterStore.inMemory() : null,
                        2000,
                        new Random(5),
                        text -> {}),
                host);
    }

    private static ReplicationMessage message(String body) {
        return ReplicationMessage.read(("{\"f\":" + CLIENT + "," + body + "}").getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void voterRespondsToEachRequestInItsWireFormat() {
        Host host = new Host();
        ConfigReplica replica = replica(host, Map.of("g1", "a:1"), true);
        replica.start();
        host.runFor(5000);
        assertTrue(replica.isLeader());
        String prefix = "c:1 {\"f\":{\"n\":\"g1\",\"a\":\"a:1\"},";
        replica.receive(message("\"k\":\"ASK\",\"s\":1,\"v\":0"));
        host.runFor(100);
        assertEquals(host.drainSent(), List.of(prefix + "\"k\":\"TOLD\",\"s\":1,\"v\":0}"));
        String proposal = "\"s\":2,\"id\":\"x\",\"base\":0,\"by\":\"ops\",\"t\":\"" + PACKED_ONE + "\"";
        replica.receive(message("\"k\":\"PROPOSE\"," + proposal));
        host.runFor(100);
        assertEquals(
                host.drainSent(),
                List.of(
                        prefix + "\"k\":\"NEWS\",\"s\":0,\"v\":1}",
                        prefix + "\"k\":\"DECIDED\",\"s\":2,\"taken\":true,\"v\":1,\"reason\":\"\"}"));
        replica.receive(message("\"k\":\"PROPOSE\"," + proposal.replace("\"x\"", "\"y\"")));
        host.runFor(100);
        assertEquals(
                host.drainSent(),
                List.of(prefix + "\"k\":\"DECIDED\",\"s\":2,\"taken\":false,\"v\":1,"
                        + "\"reason\":\"it changes version 0, but version 1 by ops is in force\"}"));
        replica.receive(message("\"k\":\"PROPOSE\"," + proposal.replace("\"x\"", "\"\"")));
        host.runFor(100);
        assertEquals(
                host.drainSent(),
                List.of(prefix
                        + "\"k\":\"DECIDED\",\"s\":2,\"taken\":false,\"v\":0,\"reason\":\"a proposal needs an id\"}"));
        replica.receive(message("\"k\":\"HISTORY\",\"s\":3"));
        host.runFor(100);
        assertEquals(
                host.drainSent(),
                List.of(prefix
                        + "\"k\":\"VERSIONS\",\"s\":3,\"versions\":[{\"number\":1,\"by\":\"ops\",\"id\":\"x\"}]}"));
        replica.receive(message("\"k\":\"ASK\",\"s\":4,\"v\":0,\"o\":{\"n\":\"g9\",\"a\":\"d:9\"}"));
        host.runFor(100);
        String text = host.drainSent().toString();
        assertTrue(text.startsWith("[" + prefix + "\"k\":\"TOLD\",\"s\":4,\"v\":1,\"t\":\""), text);
        assertTrue(text.endsWith("\",\"o\":{\"n\":\"g9\",\"a\":\"d:9\"}}]"), text);
    }

    /** Guards against an empty history sent by a voter that has just started and knows no committed versions yet. */
    @Test
    public void sendsNoHistoryWhenVoterKnowsNeitherLeaderNorVersion() {
        Host host = new Host();
        ConfigReplica replica = replica(host, Map.of("g1", "a:1", "g2", "b:2", "g3", "e:3"), true);
        replica.start();
        replica.receive(message("\"k\":\"HISTORY\",\"s\":3"));
        host.runFor(100);
        assertEquals(
                host.drainSent().stream()
                        .filter(each -> !each.contains("\"k\":\"RAFT\""))
                        .toList(),
                List.of());
    }

    @Test
    public void requestsVersionAndAdoptsResponseWhenGatewayIsNoVoter() {
        Host host = new Host();
        ConfigReplica replica = replica(host, Map.of("g2", "b:2"), false);
        replica.tick();
        assertEquals(
                host.drainSent(), List.of("b:2 {\"f\":{\"n\":\"g1\",\"a\":\"a:1\"},\"k\":\"ASK\",\"s\":1,\"v\":0}"));
        replica.receive(message("\"k\":\"TOLD\",\"s\":1,\"v\":3,\"t\":\"" + PACKED_ONE + "\""));
        assertEquals(host.drainSent(), List.of("3 FULL one"));
        replica.receive(message("\"k\":\"NEWS\",\"s\":0,\"v\":4"));
        assertEquals(
                host.drainSent(), List.of("b:2 {\"f\":{\"n\":\"g1\",\"a\":\"a:1\"},\"k\":\"ASK\",\"s\":2,\"v\":3}"));
        host.runFor(2000);
        replica.tick();
        assertEquals(host.drainSent().get(0), "3 STRICT one");
        replica.receive(message("\"k\":\"TOLD\",\"s\":9,\"v\":4,\"o\":{\"n\":\"g9\",\"a\":\"d:9\"}"));
        assertEquals(
                host.drainSent(),
                List.of("d:9 {\"f\":{\"n\":\"g1\",\"a\":\"a:1\"},\"k\":\"TOLD\",\"s\":9,\"v\":4}"),
                "a response to a forwarded request is forwarded");
    }
}
