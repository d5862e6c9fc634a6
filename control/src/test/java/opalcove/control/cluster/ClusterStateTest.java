package opalcove.control.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import opalcove.config.Backend;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.control.xds.ConfigSnapshot;
import opalcove.control.xds.ResourceType;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ClusterStateTest {
    /** Long after the start of the nodes that the lists begin with. */
    private static final double START = 1_000_000;

    private ClusterState fleet;

    @BeforeMethod
    public void open() {
        fleet = new ClusterState(
                START,
                settings(),
                1,
                0.5,
                List.of(
                        new ClusterState.Cluster("all", Set.of(), Set.of(), 0),
                        new ClusterState.Cluster("pod-1", Set.of(), Set.of(1), 0)),
                List.of());
    }

    static DecisionSettings settings() {
        try {
            return SettingsReader.checked(JsonFields.parse(Files.readString(Path.of("example/config.json")))
                    .object("settings"));
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Backend node(int number, String room, int pod, EndpointState state, double startedMs) {
        return new Backend(
                new Endpoint("node-" + number, room, "std-3", pod, state, 1, startedMs),
                "127.0.0.1:" + (7000 + number));
    }

    private static List<Backend> four() {
        return new ArrayList<>(List.of(
                node(1, "room-a", 1, EndpointState.UP, 1000),
                node(2, "room-a", 2, EndpointState.UP, 1000),
                node(3, "room-b", 1, EndpointState.UP, 1000),
                node(4, "room-b", 2, EndpointState.UP, 1000)));
    }

    /** A line a room: {@code room p PRIORITY: port*weight ...}, with ~ for one that takes nothing new. */
    private static String seen(ConfigSnapshot view, String cluster) throws Exception {
        ClusterLoadAssignment all =
                view.get(ResourceType.ENDPOINTS, cluster).body().unpack(ClusterLoadAssignment.class);
        StringBuilder text = new StringBuilder();
        for (LocalityLbEndpoints room : all.getEndpointsList()) {
            text.append(room.getLocality().getZone())
                    .append(" p")
                    .append(room.getPriority())
                    .append(':');
            for (LbEndpoint each : room.getLbEndpointsList()) {
                text.append(' ')
                        .append(each.getEndpoint()
                                .getAddress()
                                .getSocketAddress()
                                .getPortValue());
                text.append(
                        each.getHealthStatus() == HealthStatus.DRAINING
                                ? "~"
                                : "*" + each.getLoadBalancingWeight().getValue());
            }
            text.append('\n');
        }
        return text.toString().strip();
    }

    @Test
    public void aServiceThatKnowsNothingYetSaysNothing() {
        assertSame(fleet.view("room-a"), ConfigSnapshot.EMPTY);
        fleet.told(START, true, false, List.of());
        assertSame(fleet.view("room-a"), ConfigSnapshot.EMPTY, "an empty first list is no list");
        fleet.told(START + 10, true, false, four());
        assertTrue(fleet.view("room-a").serial() > 0);
    }

    @Test
    public void aProxyUsesItsOwnRoomFirst() throws Exception {
        fleet.told(START, true, false, four());
        assertEquals(seen(fleet.view("room-a"), "all"), "room-a p0: 7001*100 7002*100\nroom-b p1: 7003*100 7004*100");
        assertEquals(seen(fleet.view("room-b"), "all"), "room-b p0: 7003*100 7004*100\nroom-a p1: 7001*100 7002*100");
        assertEquals(seen(fleet.view("room-z"), "all"), "room-a p0: 7001*100 7002*100\nroom-b p0: 7003*100 7004*100");
        assertEquals(seen(fleet.view("room-a"), "pod-1"), "room-a p0: 7001*100\nroom-b p1: 7003*100");
    }

    @Test
    public void aDrainingNodeTakesNothingNewAtOnceAndOnlyWhatChangedIsTold() throws Exception {
        fleet.told(START, true, false, four());
        ConfigSnapshot before = fleet.view("room-a");
        fleet.told(START + 10, false, false, List.of(node(2, "room-a", 2, EndpointState.DRAINING, 1000)));
        ConfigSnapshot after = fleet.view("room-a");
        assertEquals(seen(after, "all"), "room-a p0: 7001*100 7002~\nroom-b p1: 7003*100 7004*100");
        assertSame(after.get(ResourceType.ENDPOINTS, "pod-1"), before.get(ResourceType.ENDPOINTS, "pod-1"));
        fleet.told(START + 20, false, false, List.of(node(2, "room-a", 2, EndpointState.UP, 1000)));
        assertEquals(
                fleet.view("room-a").get(ResourceType.ENDPOINTS, "all").version(),
                before.get(ResourceType.ENDPOINTS, "all").version(),
                "a drain called off is the state before it");
    }

    /** What the cold start rule lets a node take, against what its weight brings it beside three warm ones. */
    @Test
    public void aStartingNodeGetsLessThanTheRuleAtEachMoment() throws Exception {
        List<Backend> list = four();
        fleet.told(START, true, false, list);
        list.add(node(5, "room-a", 1, EndpointState.UP, START + 100));
        fleet.told(START + 100, true, false, list);
        int last = 0;
        int steps = 0;
        for (double now = START + 100; now <= START + 20_000; now += 50) {
            fleet.advance(now);
            String line =
                    seen(fleet.view("room-a"), "pod-1").lines().findFirst().orElseThrow();
            int weight = Integer.parseInt(line.substring(line.indexOf("7005*") + 5));
            double can = Math.min(1, 0.17 + 0.83 * (now - START - 100) / 18_000);
            assertTrue(weight <= 100 * Math.min(1, can), "weight " + weight + " at " + (now - START));
            assertTrue(weight >= last, "it only grows");
            steps += weight > last ? 1 : 0;
            last = weight;
        }
        assertEquals(last, 100);
        assertTrue(steps < 30, steps + " changes are told");
    }

    @Test
    public void aNodeStartedAnewAtItsAddressIsCold() throws Exception {
        fleet.told(START, true, false, four());
        fleet.told(START + 10, false, false, List.of(node(1, "room-a", 1, EndpointState.UP, START + 5)));
        assertEquals(seen(fleet.view("room-a"), "pod-1"), "room-a p0: 7001*15\nroom-b p1: 7003*100");
    }

    @Test
    public void aTornListDoesNotTakeNodesAwayButDrainsInItAreObeyed() throws Exception {
        fleet.told(START, true, false, four());
        fleet.told(START + 10, true, false, List.of());
        assertEquals(fleet.nodes().size(), 4);
        assertEquals(fleet.missing().size(), 4);
        fleet.told(START + 20, true, false, List.of(node(2, "room-a", 2, EndpointState.DRAINING, 1000)));
        assertEquals(seen(fleet.view("room-a"), "all"), "room-a p0: 7001*100 7002~\nroom-b p1: 7003*100 7004*100");
        assertEquals(fleet.missing(), Set.of("node-1", "node-3", "node-4"));
        fleet.told(START + 30, true, false, four());
        assertEquals(fleet.missing(), Set.of());
    }

    @Test
    public void theOperatorsMayOverrideTheGuardAndNamedRemovalsAreObeyed() throws Exception {
        fleet.told(START, true, false, four());
        fleet.told(
                START + 10,
                false,
                false,
                List.of(
                        node(1, "room-a", 1, EndpointState.REMOVED, 1000),
                        node(2, "room-a", 2, EndpointState.REMOVED, 1000),
                        node(3, "room-b", 1, EndpointState.REMOVED, 1000)));
        assertEquals(fleet.nodes(), Set.of("node-4"));
        fleet.told(START + 20, true, false, List.of());
        assertEquals(fleet.nodes(), Set.of("node-4"), "the last one is never lost by a list that lacks it");
        fleet.told(START + 30, true, true, List.of());
        assertEquals(fleet.nodes(), Set.of());
    }

    @Test
    public void errorsThatProxiesReportLowerAWeightAndFade() throws Exception {
        fleet.told(START, true, false, four());
        ConfigSnapshot before = fleet.view("room-a");
        fleet.reported(START + 10, "proxy-1", "127.0.0.1:7001", 50, 5, 45, 0);
        assertTrue(fleet.advance(START + 250));
        String line = seen(fleet.view("room-a"), "pod-1").lines().findFirst().orElseThrow();
        assertTrue(Integer.parseInt(line.substring(line.indexOf("7001*") + 5)) < 20, line);
        for (double now = START + 250; now < START + 60_000; now += 250) {
            fleet.reported(now, "proxy-1", "127.0.0.1:7002", 20, 20, 0, 3);
            fleet.advance(now);
        }
        assertEquals(seen(fleet.view("room-a"), "all"), seen(before, "all"));
        assertFalse(fleet.advance(START + 60_000), "nothing changes any more");
    }
}
