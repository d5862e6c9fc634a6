package opalcove.control.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamEndpointStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamLocalityStats;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.envoyproxy.envoy.service.load_stats.v3.LoadReportingServiceGrpc;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsResponse;
import io.grpc.Grpc;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.StreamObserver;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import opalcove.config.InvalidConfigurationException;
import opalcove.control.xds.ResourceType;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the running service with a proxy whose acknowledgements the test controls. */
public class ControlServiceTest {
    private static final String TYPE = ResourceType.ENDPOINTS.url();

    private Path folder;
    private ControlService service;
    private ManagedChannel channel;

    @BeforeMethod
    public void open() throws Exception {
        folder = Files.createTempDirectory("control");
        JsonObject settings =
                Json.parse(Files.readString(Path.of("deploy/control.json"))).asObject();
        settings.set("listen", "127.0.0.1:0")
                .set("status", "127.0.0.1:0")
                .set("admit", Json.array("door"))
                .set(
                        "clusters",
                        Json.array()
                                .add(Json.object().add("name", "swaps"))
                                .add(Json.object().add("name", "leased").add("lease_ms", 1000)));
        Files.writeString(folder.resolve("control.json"), settings.toString());
        writeList("up", "up", "up");
        service = new ControlService(ControlConfig.read(folder.resolve("control.json")));
        channel = Grpc.newChannelBuilder("127.0.0.1:" + service.port(), InsecureChannelCredentials.create())
                .build();
    }

    @AfterMethod
    public void close() throws Exception {
        channel.shutdownNow().awaitTermination(5, TimeUnit.SECONDS);
        service.close();
        try (var files = Files.list(folder)) {
            for (Path each : files.toList()) {
                Files.delete(each);
            }
        }
        Files.delete(folder);
    }

    /** Replaces the endpoint list atomically. */
    private void writeList(String... states) throws Exception {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < states.length; i++) {
            lines.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"app-")
                    .append(i + 1)
                    .append("\",\"address\":\"127.0.0.1:720")
                    .append(i + 1)
                    .append("\",\"zone\":\"room-a\",\"status\":\"")
                    .append(states[i])
                    .append("\"}");
        }
        write("{\"index\":1,\"snapshot\":true,\"endpoints\":[" + lines + "]}");
    }

    private void write(String text) throws Exception {
        Files.writeString(folder.resolve("next"), text);
        Files.move(folder.resolve("next"), folder.resolve("control-nodes.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    /** A proxy that subscribes to the endpoints of swaps and queues the responses and the end of its stream. */
    private final class Proxy implements StreamObserver<DiscoveryResponse> {
        final BlockingQueue<Object> received = new LinkedBlockingQueue<>();
        final StreamObserver<DiscoveryRequest> out =
                AggregatedDiscoveryServiceGrpc.newStub(channel).streamAggregatedResources(this);

        Proxy(String id, String cluster) {
            out.onNext(DiscoveryRequest.newBuilder()
                    .setTypeUrl(TYPE)
                    .addResourceNames("swaps")
                    .setNode(Node.newBuilder()
                            .setId(id)
                            .setCluster(cluster)
                            .setLocality(Locality.newBuilder().setZone("room-a")))
                    .build());
        }

        /** Waits for the next response and formats its endpoints as {@code port=up} or {@code port=draining}. */
        String next() throws Exception {
            ClusterLoadAssignment all = response().getResources(0).unpack(ClusterLoadAssignment.class);
            Map<Integer, String> backends = new TreeMap<>();
            all.getEndpointsList().forEach(locality -> locality.getLbEndpointsList()
                    .forEach(each -> backends.put(
                            each.getEndpoint().getAddress().getSocketAddress().getPortValue(),
                            each.getHealthStatus() == HealthStatus.DRAINING ? "draining" : "up")));
            return backends.toString();
        }

        private String nonce;

        private DiscoveryResponse response() throws Exception {
            DiscoveryResponse response = (DiscoveryResponse) received.poll(20, TimeUnit.SECONDS);
            nonce = response.getNonce();
            return response;
        }

        void acknowledge() {
            out.onNext(DiscoveryRequest.newBuilder()
                    .setTypeUrl(TYPE)
                    .addResourceNames("swaps")
                    .setResponseNonce(nonce)
                    .build());
        }

        @Override
        public void onNext(DiscoveryResponse response) {
            received.add(response);
        }

        @Override
        public void onError(Throwable cause) {
            received.add(cause);
        }

        @Override
        public void onCompleted() {
            received.add("completed");
        }
    }

    /** Waits until the status fulfils a condition and returns it. */
    private JsonObject awaitStatus(java.util.function.Predicate<JsonObject> condition) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        JsonObject status = service.status();
        while (!condition.test(status)) {
            assertTrue(System.nanoTime() < until, status.toString());
            status = service.status();
        }
        return status;
    }

    private static String drainsNotAcknowledged(JsonObject status) {
        StringBuilder text = new StringBuilder();
        for (JsonValue each : status.get("drains").asArray()) {
            text.append(each.asObject().getString("node", ""))
                    .append(each.asObject().get("not_acknowledged_by"));
        }
        return text.toString();
    }

    @Test
    public void sendsDrainAtOnceAndListsProxiesThatHaveNotAcknowledgedIt() throws Exception {
        Proxy one = new Proxy("proxy-1", "door");
        Proxy late = new Proxy("proxy-2", "door");
        assertEquals(one.next(), "{7201=up, 7202=up, 7203=up}");
        assertEquals(late.next(), "{7201=up, 7202=up, 7203=up}");
        one.acknowledge();
        writeList("up", "draining", "up");
        assertEquals(one.next(), "{7201=up, 7202=draining, 7203=up}");
        assertEquals(late.next(), "{7201=up, 7202=draining, 7203=up}", "proxy-2 never acknowledged the first response");
        one.acknowledge();
        assertEquals(
                drainsNotAcknowledged(
                        awaitStatus(status -> drainsNotAcknowledged(status).equals("app-2[\"proxy-2\"]"))),
                "app-2[\"proxy-2\"]");
        late.acknowledge();
        assertEquals(
                drainsNotAcknowledged(
                        awaitStatus(status -> drainsNotAcknowledged(status).equals("app-2[]"))),
                "app-2[]");
        writeList("up", "up", "up");
        assertEquals(one.next(), "{7201=up, 7202=up, 7203=up}", "the drain was cancelled");
        assertEquals(drainsNotAcknowledged(service.status()), "");
    }

    @Test
    public void renewsLeaseBeforeExpiry() throws Exception {
        BlockingQueue<DeltaDiscoveryResponse> received = new LinkedBlockingQueue<>();
        StreamObserver<DeltaDiscoveryRequest> out = AggregatedDiscoveryServiceGrpc.newStub(channel)
                .deltaAggregatedResources(new StreamObserver<>() {
                    @Override
                    public void onNext(DeltaDiscoveryResponse response) {
                        received.add(response);
                    }

                    @Override
                    public void onError(Throwable cause) {
                        // The end of the test.
                    }

                    @Override
                    public void onCompleted() {
                        // The end of the test.
                    }
                });
        out.onNext(DeltaDiscoveryRequest.newBuilder()
                .setTypeUrl(TYPE)
                .addResourceNamesSubscribe("leased")
                .setNode(Node.newBuilder().setId("proxy-1").setCluster("door"))
                .build());
        assertTrue(received.poll(20, TimeUnit.SECONDS).getResources(0).hasResource());
        DeltaDiscoveryResponse renewal = received.poll(20, TimeUnit.SECONDS);
        assertEquals(renewal.getResources(0).getName(), "leased");
        assertEquals(renewal.getResources(0).hasResource(), false);
    }

    @Test
    public void listsProxiesThatStillUseDrainingBackend() throws Exception {
        Proxy proxy = new Proxy("proxy-1", "door");
        proxy.next();
        BlockingQueue<LoadStatsResponse> reportRequests = new LinkedBlockingQueue<>();
        StreamObserver<LoadStatsRequest> reports = LoadReportingServiceGrpc.newStub(channel)
                .streamLoadStats(new StreamObserver<>() {
                    @Override
                    public void onNext(LoadStatsResponse response) {
                        reportRequests.add(response);
                    }

                    @Override
                    public void onError(Throwable cause) {
                        // The end of the test.
                    }

                    @Override
                    public void onCompleted() {
                        // The end of the test.
                    }
                });
        reports.onNext(LoadStatsRequest.newBuilder()
                .setNode(Node.newBuilder().setId("proxy-1").setCluster("door"))
                .build());
        LoadStatsResponse response = reportRequests.poll(20, TimeUnit.SECONDS);
        assertEquals(response.getClustersList(), List.of("swaps", "leased"));
        assertTrue(response.getReportEndpointGranularity());
        writeList("up", "draining", "up");
        proxy.next();
        reports.onNext(report(7202, 3, 2));
        String used = awaitStatus(status -> usedBy(status).contains("proxy-1"))
                .get("drains")
                .asArray()
                .get(0)
                .asObject()
                .get("used_by")
                .toString();
        assertTrue(used.matches("\\[\\{\"proxy\":\"proxy-1\",\"in_hand\":2,\"last_new_ms\":\\d+}]"), used);
        reports.onNext(report(7202, 0, 0));
        awaitStatus(status -> usedBy(status).contains("\"in_hand\":0"));
    }

    private static LoadStatsRequest report(int port, long issued, long inProgress) {
        return LoadStatsRequest.newBuilder()
                .addClusterStats(ClusterStats.newBuilder()
                        .setClusterName("swaps")
                        .addUpstreamLocalityStats(UpstreamLocalityStats.newBuilder()
                                .addUpstreamEndpointStats(UpstreamEndpointStats.newBuilder()
                                        .setTotalIssuedRequests(issued)
                                        .setTotalRequestsInProgress(inProgress)
                                        .setAddress(Address.newBuilder()
                                                .setSocketAddress(SocketAddress.newBuilder()
                                                        .setAddress("127.0.0.1")
                                                        .setPortValue(port))))))
                .build();
    }

    private static String usedBy(JsonObject status) {
        JsonValue first = status.get("drains").asArray().isEmpty()
                ? Json.object()
                : status.get("drains").asArray().get(0);
        return String.valueOf(first.asObject().get("used_by"));
    }

    @Test
    public void removesNoBackendsAfterEmptyOrTruncatedList() throws Exception {
        Proxy proxy = new Proxy("proxy-1", "door");
        assertEquals(proxy.next(), "{7201=up, 7202=up, 7203=up}");
        write("{\"index\":1,\"snapshot\":true,\"endpo");
        String problem = awaitStatus(
                        status -> !status.getString("source_problem", "").isEmpty())
                .getString("source_problem", "");
        assertTrue(problem.contains("control-nodes.json: malformed JSON"), problem);
        write("{\"index\":2,\"snapshot\":true,\"endpoints\":[]}");
        assertEquals(
                awaitStatus(status -> status.get("missing").asArray().size() == 3)
                        .getInt("nodes", 0),
                3);
        writeList("up", "up", "draining");
        assertEquals(proxy.next(), "{7201=up, 7202=up, 7203=draining}", "no response was sent for the empty list");
        write(
                "{\"index\":3,\"snapshot\":true,\"override\":true,\"endpoints\":[{\"name\":\"app-1\",\"address\":\"127.0.0.1:7201\"}]}");
        assertEquals(proxy.next(), "{7201=up}");
    }

    @Test
    public void rejectsProxyWithReasonIfClusterIsNotAdmitted() throws Exception {
        Proxy rejectedProxy = new Proxy("proxy-9", "kitchen");
        Object end = rejectedProxy.received.poll(20, TimeUnit.SECONDS);
        assertEquals(((StatusRuntimeException) end).getStatus().getCode(), Status.Code.PERMISSION_DENIED);
        assertEquals(((StatusRuntimeException) end).getStatus().getDescription(), "proxy proxy-9 is not admitted");
        assertEquals(service.status().get("proxies").asArray().size(), 0);
    }

    @Test
    public void reportsAllProblemsOfSettingsFileAtOnce() throws Exception {
        Path file = folder.resolve("bad.json");
        Files.writeString(
                file,
                "{\"listen\":\"nowhere\",\"status\":\"10.0.0.1:1\",\"most_shrink\":2,\"nodes\":\"n\","
                        + "\"clusters\":[{\"name\":\"a\"},{\"name\":\"a\"}],\"lisetners\":[],\"settings\":{}}");
        InvalidConfigurationException bad = null;
        try {
            ControlConfig.read(file);
        } catch (InvalidConfigurationException e) {
            bad = e;
        }
        assertEquals(
                bad.getMessage().replace(file.toString(), "FILE"),
                """
                FILE: field lisetners is not known here
                FILE: field listen must be an address and a port, not nowhere
                FILE: field status must be a loopback address, not 10.0.0.1
                FILE: field most_shrink must be from 0 to 1
                FILE: field clusters[1].name is empty or there twice: a
                FILE: field settings.specifics is missing
                FILE: field settings.feedback is missing
                FILE: field settings.balancers is missing
                FILE: field settings.me is missing
                FILE: field settings.profiles is missing
                FILE: field settings.tiers_of_service is missing
                FILE: field settings.ceilings is missing
                FILE: field settings.obligations is missing
                FILE: field settings.costs is missing""");
        assertThrows(InvalidConfigurationException.class, () -> ControlConfig.read(folder.resolve("none.json")));
    }
}
