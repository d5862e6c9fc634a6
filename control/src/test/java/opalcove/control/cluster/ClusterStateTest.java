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
    /** Start of the test, ms; long after the slow start of the initial backends. */
    private static final double START_MS = 1_000_000;

    private ClusterState cluster;

    @BeforeMethod
    public void open() {
        cluster = new ClusterState(
                START_MS,
                settings(),
                1,
                0.5,
                List.of(
                        new ClusterDefinition("all", Set.of(), Set.of(), 0),
                        new ClusterDefinition("pod-1", Set.of(), Set.of(1), 0)),
                List.of());
    }

    static DecisionSettings settings() {
        try {
            return SettingsReader.read(JsonFields.parse(Files.readString(Path.of("example/config.json")))
                    .object("settings"));
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static EndpointUpdate complete(List<Backend> backends) {
        return new EndpointUpdate(true, false, backends);
    }

    private static EndpointUpdate overriding(List<Backend> backends) {
        return new EndpointUpdate(true, true, backends);
    }

    private static EndpointUpdate changes(List<Backend> backends) {
        return new EndpointUpdate(false, false, backends);
    }

    private static Backend backend(int number, String zone, int pod, EndpointState state, double startedMs) {
        return new Backend(
                new Endpoint("node-" + number, zone, "std-3", pod, state, 1, startedMs),
                "127.0.0.1:" + (7000 + number));
    }

    private static List<Backend> fourBackends() {
        return new ArrayList<>(List.of(
                backend(1, "room-a", 1, EndpointState.UP, 1000),
                backend(2, "room-a", 2, EndpointState.UP, 1000),
                backend(3, "room-b", 1, EndpointState.UP, 1000),
                backend(4, "room-b", 2, EndpointState.UP, 1000)));
    }

    /** Formats each locality as a line {@code ZONE pPRIORITY: PORT*WEIGHT ...}, with ~ for a draining endpoint. */
    private static String endpointLines(ConfigSnapshot snapshot, String cluster) throws Exception {
        ClusterLoadAssignment all =
                snapshot.resource(ResourceType.ENDPOINTS, cluster).body().unpack(ClusterLoadAssignment.class);
        StringBuilder text = new StringBuilder();
        for (LocalityLbEndpoints locality : all.getEndpointsList()) {
            text.append(locality.getLocality().getZone())
                    .append(" p")
                    .append(locality.getPriority())
                    .append(':');
            for (LbEndpoint each : locality.getLbEndpointsList()) {
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
    public void hasEmptySnapshotUntilFirstNonEmptyList() {
        assertSame(cluster.snapshot("room-a"), ConfigSnapshot.EMPTY);
        cluster.onEndpoints(START_MS, complete(List.of()));
        assertSame(cluster.snapshot("room-a"), ConfigSnapshot.EMPTY, "an empty first list has no effect");
        cluster.onEndpoints(START_MS + 10, complete(fourBackends()));
        assertTrue(cluster.snapshot("room-a").revision() > 0);
    }

    @Test
    public void prefersEndpointsInZoneOfProxy() throws Exception {
        cluster.onEndpoints(START_MS, complete(fourBackends()));
        assertEquals(
                endpointLines(cluster.snapshot("room-a"), "all"),
                "room-a p0: 7001*100 7002*100\nroom-b p1: 7003*100 7004*100");
        assertEquals(
                endpointLines(cluster.snapshot("room-b"), "all"),
                "room-b p0: 7003*100 7004*100\nroom-a p1: 7001*100 7002*100");
        assertEquals(
                endpointLines(cluster.snapshot("room-z"), "all"),
                "room-a p0: 7001*100 7002*100\nroom-b p0: 7003*100 7004*100");
        assertEquals(endpointLines(cluster.snapshot("room-a"), "pod-1"), "room-a p0: 7001*100\nroom-b p1: 7003*100");
    }

    @Test
    public void changesOnlyClustersOfBackendAtOnceAfterDrain() throws Exception {
        cluster.onEndpoints(START_MS, complete(fourBackends()));
        ConfigSnapshot before = cluster.snapshot("room-a");
        cluster.onEndpoints(START_MS + 10, changes(List.of(backend(2, "room-a", 2, EndpointState.DRAINING, 1000))));
        ConfigSnapshot after = cluster.snapshot("room-a");
        assertEquals(endpointLines(after, "all"), "room-a p0: 7001*100 7002~\nroom-b p1: 7003*100 7004*100");
        assertSame(after.resource(ResourceType.ENDPOINTS, "pod-1"), before.resource(ResourceType.ENDPOINTS, "pod-1"));
        cluster.onEndpoints(START_MS + 20, changes(List.of(backend(2, "room-a", 2, EndpointState.UP, 1000))));
        assertEquals(
                cluster.snapshot("room-a")
                        .resource(ResourceType.ENDPOINTS, "all")
                        .version(),
                before.resource(ResourceType.ENDPOINTS, "all").version(),
                "a cancelled drain restores the previous version");
    }

    /**
     * Compares the weight of a new backend with the share that the slow-start rule allows, beside backends with full
     * weight.
     */
    @Test
    public void limitsWeightToSlowStartRuleAtAllTimes() throws Exception {
        List<Backend> list = fourBackends();
        cluster.onEndpoints(START_MS, complete(list));
        list.add(backend(5, "room-a", 1, EndpointState.UP, START_MS + 100));
        cluster.onEndpoints(START_MS + 100, complete(list));
        int last = 0;
        int steps = 0;
        for (double now = START_MS + 100; now <= START_MS + 20_000; now += 50) {
            cluster.advance(now);
            String line = endpointLines(cluster.snapshot("room-a"), "pod-1")
                    .lines()
                    .findFirst()
                    .orElseThrow();
            int weight = Integer.parseInt(line.substring(line.indexOf("7005*") + 5));
            double allowed = Math.min(1, 0.17 + 0.83 * (now - START_MS - 100) / 18_000);
            assertTrue(weight <= 100 * Math.min(1, allowed), "weight " + weight + " at " + (now - START_MS));
            assertTrue(weight >= last, "the weight must not decrease");
            steps += weight > last ? 1 : 0;
            last = weight;
        }
        assertEquals(last, 100);
        assertTrue(steps < 30, steps + " weight changes are sent, expected fewer than 30");
    }

    @Test
    public void appliesSlowStartToBackendRestartedAtSameAddress() throws Exception {
        cluster.onEndpoints(START_MS, complete(fourBackends()));
        cluster.onEndpoints(START_MS + 10, changes(List.of(backend(1, "room-a", 1, EndpointState.UP, START_MS + 5))));
        assertEquals(endpointLines(cluster.snapshot("room-a"), "pod-1"), "room-a p0: 7001*15\nroom-b p1: 7003*100");
    }

    @Test
    public void appliesDrainsInTruncatedListWithoutRemovingBackends() throws Exception {
        cluster.onEndpoints(START_MS, complete(fourBackends()));
        cluster.onEndpoints(START_MS + 10, complete(List.of()));
        assertEquals(cluster.backendNames().size(), 4);
        assertEquals(cluster.missingBackendNames().size(), 4);
        cluster.onEndpoints(START_MS + 20, complete(List.of(backend(2, "room-a", 2, EndpointState.DRAINING, 1000))));
        assertEquals(
                endpointLines(cluster.snapshot("room-a"), "all"),
                "room-a p0: 7001*100 7002~\nroom-b p1: 7003*100 7004*100");
        assertEquals(cluster.missingBackendNames(), Set.of("node-1", "node-3", "node-4"));
        cluster.onEndpoints(START_MS + 30, complete(fourBackends()));
        assertEquals(cluster.missingBackendNames(), Set.of());
    }

    @Test
    public void appliesNamedRemovalsAndOverrideOfShrinkLimit() throws Exception {
        cluster.onEndpoints(START_MS, complete(fourBackends()));
        cluster.onEndpoints(
                START_MS + 10,
                changes(List.of(
                        backend(1, "room-a", 1, EndpointState.REMOVED, 1000),
                        backend(2, "room-a", 2, EndpointState.REMOVED, 1000),
                        backend(3, "room-b", 1, EndpointState.REMOVED, 1000))));
        assertEquals(cluster.backendNames(), Set.of("node-4"));
        cluster.onEndpoints(START_MS + 20, complete(List.of()));
        assertEquals(cluster.backendNames(), Set.of("node-4"), "a list without the last backend does not remove it");
        cluster.onEndpoints(START_MS + 30, overriding(List.of()));
        assertEquals(cluster.backendNames(), Set.of());
    }

    @Test
    public void lowersWeightTemporarilyAfterReportedErrors() throws Exception {
        cluster.onEndpoints(START_MS, complete(fourBackends()));
        ConfigSnapshot before = cluster.snapshot("room-a");
        cluster.onLoadReport(START_MS + 10, "proxy-1", new EndpointLoad("127.0.0.1:7001", 50, 5, 45, 0));
        assertTrue(cluster.advance(START_MS + 250));
        String line = endpointLines(cluster.snapshot("room-a"), "pod-1")
                .lines()
                .findFirst()
                .orElseThrow();
        assertTrue(Integer.parseInt(line.substring(line.indexOf("7001*") + 5)) < 20, line);
        for (double now = START_MS + 250; now < START_MS + 60_000; now += 250) {
            cluster.onLoadReport(now, "proxy-1", new EndpointLoad("127.0.0.1:7002", 20, 20, 0, 3));
            cluster.advance(now);
        }
        assertEquals(endpointLines(cluster.snapshot("room-a"), "all"), endpointLines(before, "all"));
        assertFalse(cluster.advance(START_MS + 60_000), "nothing changes any more");
    }
}
