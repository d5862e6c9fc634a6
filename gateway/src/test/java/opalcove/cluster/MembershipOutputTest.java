package opalcove.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import opalcove.config.JsonFields;
import opalcove.membership.GossipEntry;
import opalcove.membership.Member;
import opalcove.membership.SwimMessage;
import org.testng.annotations.Test;

/** Tests the published output of a member: the reply to MEMBERS, its metrics and its events. */
public class MembershipOutputTest {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private static final List<String> METRICS = List.of(
            "membership.members|g",
            "membership.suspects|g",
            "membership.health|g",
            "membership.version|g",
            "membership.incarnation|g",
            "membership.sent|c",
            "membership.received|c",
            "membership.unreadable|c",
            "membership.probes|c",
            "membership.acks|c",
            "membership.helped|c",
            "membership.suspicions|c",
            "membership.confirmed|c",
            "membership.refuted|c",
            "membership.pauses|c");

    private static void waitUntil(String description, BooleanSupplier condition) throws InterruptedException {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - start < TIMEOUT_NANOS, description);
            Thread.sleep(10);
        }
    }

    private static GossipEntry gossip(String name, Member.State state) {
        return new GossipEntry(new Member(name, "127.0.0.1:9", 5, state), state == Member.State.SUSPECT ? "g2" : "");
    }

    @Test
    public void publishesMembersMetricsAndEventsInTheirFormats() throws Exception {
        Vertx vertx = Vertx.vertx();
        try (DatagramSocket peer = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0))) {
            Member second = new Member("g2", "127.0.0.1:" + peer.getLocalPort(), 4, Member.State.ALIVE);
            List<String> events = new CopyOnWriteArrayList<>();
            // The periods are long enough that no timeout changes a member's state before the test has checked it.
            MembershipService membership = new MembershipService(
                    vertx,
                    "g1",
                    MembershipConfig.read(JsonFields.parse(
                            "{\"listen\":\"127.0.0.1:0\",\"seeds\":[],\"probe_ms\":5000,\"events\":true}")),
                    List.of(second),
                    events::add);
            membership.start().await(1, TimeUnit.MINUTES);
            waitUntil(
                    "the member list starts with the member itself",
                    () -> membership.memberList().startsWith("g1 127.0.0.1:"));
            String self = membership.memberList().lines().findFirst().orElseThrow();
            assertTrue(self.matches("g1 127\\.0\\.0\\.1:\\d+ \\d+ alive"), self);
            int port = Integer.parseInt(self.split("[: ]")[2]);

            send(peer, port, second, gossip("g3", Member.State.SUSPECT), gossip("g4", Member.State.ALIVE));
            waitUntil(
                    membership.memberList(),
                    () -> membership.memberList().endsWith("g3 127.0.0.1:9 5 suspect\ng4 127.0.0.1:9 5 alive\n"));
            assertTrue(
                    membership.memberList().startsWith(self + "\n" + "g2 " + second.address() + " 4 "),
                    membership.memberList());
            send(peer, port, second, gossip("g3", Member.State.DEAD), gossip("g4", Member.State.LEFT));
            waitUntil(
                    membership.memberList(),
                    () -> membership.memberList().endsWith("g3 127.0.0.1:9 5 dead\ng4 127.0.0.1:9 5 left\n"));

            assertEquals(
                    membership
                            .figures()
                            .lines()
                            .map(line -> line.replaceFirst(":\\d+\\|", "|"))
                            .toList(),
                    METRICS);
            assertEquals(
                    events.stream()
                            .filter(event -> !event.contains("\"name\":\"g2\""))
                            .map(event -> event.replaceFirst("\"at_ms\":\\d{13},", "\"at_ms\":0,"))
                            .toList(),
                    List.of(
                            event("g3", "SUSPECT", "UNKNOWN"),
                            event("g4", "ALIVE", "UNKNOWN"),
                            event("g3", "DEAD", "SUSPECT"),
                            event("g4", "LEFT", "ALIVE")));
            membership.leave();
            waitUntil(
                    "the member announces that it leaves",
                    () -> membership.memberList().contains(self.replace(" alive", " left")));
        } finally {
            vertx.close().await(1, TimeUnit.MINUTES);
        }
    }

    private static void send(DatagramSocket peer, int port, Member from, GossipEntry... gossip) throws Exception {
        byte[] bytes =
                MembershipCodec.write(new SwimMessage(SwimMessage.Kind.GOSSIP, from, 0, "", "", List.of(gossip)));
        peer.send(new DatagramPacket(bytes, bytes.length, LOOPBACK, port));
    }

    private static String event(String name, String state, String before) {
        return "{\"at_ms\":0,\"event\":\"member\",\"observer\":\"g1\",\"name\":\"" + name
                + "\",\"address\":\"127.0.0.1:9\",\"incarnation\":5,\"state\":\"" + state + "\",\"before\":\"" + before
                + "\"}";
    }
}
