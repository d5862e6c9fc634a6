package opalcove.control.server;

import static org.testng.Assert.assertEquals;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.google.rpc.Code;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamEndpointStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamLocalityStats;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.envoyproxy.envoy.service.endpoint.v3.EndpointDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.load_stats.v3.LoadReportingServiceGrpc;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import io.grpc.Grpc;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.StreamObserver;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Compares the status page, rejections, nonces and services of a running service with literal texts. */
public class StatusFormTest {
    private static final String PREFIX = "type.googleapis.com/envoy.config.";
    private static final String CLUSTER = PREFIX + "cluster.v3.Cluster";
    private static final String ENDPOINTS = PREFIX + "endpoint.v3.ClusterLoadAssignment";
    private static final String LISTENER = PREFIX + "listener.v3.Listener";
    private static final String ROUTES = PREFIX + "route.v3.RouteConfiguration";

    private Path folder;
    private ControlService service;
    private ManagedChannel channel;

    @BeforeMethod
    public void open() throws Exception {
        folder = Files.createTempDirectory("control");
        JsonObject settings =
                Json.parse(Files.readString(Path.of("deploy/control.json"))).asObject();
        settings.set("listen", "127.0.0.1:0").set("status", "127.0.0.1:0").set("admit", Json.array("door"));
        Files.writeString(folder.resolve("control.json"), settings.toString());
        writeList("up", "up");
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

    private void writeList(String first, String second) throws Exception {
        write(
                """
                {"index":1,"snapshot":true,"endpoints":[
                 {"name":"app-1","address":"127.0.0.1:7201","zone":"room-a","status":"%s"},
                 {"name":"app-2","address":"127.0.0.1:7202","zone":"room-b","status":"%s"}]}"""
                        .formatted(first, second));
    }

    private void write(String text) throws Exception {
        Files.writeString(folder.resolve("next"), text);
        Files.move(folder.resolve("next"), folder.resolve("control-nodes.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * A proxy on an aggregated stream that accepts all responses except for one rejected type and for unacknowledged
     * types.
     */
    private final class Proxy implements StreamObserver<DiscoveryResponse> {
        final BlockingQueue<Object> received = new LinkedBlockingQueue<>();
        final Set<String> unacknowledgedTypes = ConcurrentHashMap.newKeySet();
        private final String rejected;
        private final StreamObserver<DiscoveryRequest> out =
                AggregatedDiscoveryServiceGrpc.newStub(channel).streamAggregatedResources(this);

        Proxy(String rejected) {
            this.rejected = rejected;
        }

        synchronized void subscribe(String type, String... names) {
            out.onNext(DiscoveryRequest.newBuilder()
                    .setTypeUrl(type)
                    .addAllResourceNames(List.of(names))
                    .setNode(Node.newBuilder()
                            .setId("proxy-1")
                            .setCluster("door")
                            .setLocality(Locality.newBuilder().setZone("room-a")))
                    .build());
        }

        @Override
        public synchronized void onNext(DiscoveryResponse response) {
            received.add(response);
            String type = response.getTypeUrl();
            if (unacknowledgedTypes.contains(type)) {
                return;
            }
            DiscoveryRequest.Builder acknowledgement =
                    DiscoveryRequest.newBuilder().setTypeUrl(type).setResponseNonce(response.getNonce());
            if (!type.equals(CLUSTER)) {
                acknowledgement.addResourceNames("swaps");
            }
            if (type.equals(rejected)) {
                acknowledgement.setErrorDetail(com.google.rpc.Status.newBuilder()
                        .setCode(Code.INVALID_ARGUMENT_VALUE)
                        .setMessage("no such filter"));
            }
            out.onNext(acknowledgement.build());
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

    private HttpResponse<String> get(String path) throws Exception {
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + service.statusPort() + path))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    /** Waits until the status page equals a text in which N stands for durations. */
    private void assertStatus(String expected) throws Exception {
        String wanted = expected.replace("\n", "");
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        String seen;
        do {
            seen = get("/v1/status")
                    .body()
                    .replaceAll("\"(since_ms|last_new_ms)\":\\d+", "\"$1\":N")
                    .replaceAll("\"waiting_ms\":[1-9]\\d*", "\"waiting_ms\":N");
        } while (!seen.equals(wanted) && System.nanoTime() < until);
        assertEquals(seen, wanted);
    }

    @Test
    public void showsStatusWithoutProxies() throws Exception {
        assertStatus(
                """
                {"name":"control-1","nodes":2,"missing":[],"source_problem":"","proxies":[],"drains":[]}""");
        HttpResponse<String> response = get("/v1/status");
        assertEquals(response.statusCode(), 200);
        assertEquals(response.headers().allValues("Content-Type"), List.of("application/json"));
        assertEquals(
                response.headers().allValues("Content-Length"),
                List.of("" + response.body().length()));
        assertEquals(get("/v1/other").statusCode(), 404);
    }

    @Test
    public void showsMissingBackendsAndSourceProblem() throws Exception {
        write("{\"index\":2,\"snapshot\":true,\"endpoints\":[]}");
        assertStatus(
                """
                {"name":"control-1","nodes":2,"missing":["app-1","app-2"],"source_problem":"","proxies":[],"drains":[]}""");
        write("{\"index\":2,\"snapshot\":true,\"endpoints\":[{\"name\":\"app-1\",\"address\":\"nowhere\"}]}");
        assertStatus(
                """
                {"name":"control-1","nodes":2,"missing":["app-1","app-2"],
                "source_problem":"FILE: field endpoints[0].address must be an address and a port, not nowhere",
                "proxies":[],"drains":[]}"""
                        .replace("FILE", folder.resolve("control-nodes.json").toString()));
        write(
                "{\"index\":2,\"snapshot\":true,\"endpoints\":[{\"name\":\"app-1\",\"address\":\"127.0.0.1:1\",\"status\":\"odd\"}]}");
        assertStatus(
                """
                {"name":"control-1","nodes":2,"missing":["app-1","app-2"],
                "source_problem":"FILE: field endpoints[0].status has an unknown value odd",
                "proxies":[],"drains":[]}"""
                        .replace("FILE", folder.resolve("control-nodes.json").toString()));
    }

    @Test
    public void showsProxiesAndDrains() throws Exception {
        Proxy proxy = new Proxy(LISTENER);
        proxy.subscribe(CLUSTER);
        proxy.subscribe(ENDPOINTS, "swaps");
        proxy.subscribe(LISTENER, "swaps");
        proxy.subscribe(ROUTES, "swaps");
        assertStatus(
                """
                {"name":"control-1","nodes":2,"missing":[],"source_problem":"","proxies":[
                {"id":"proxy-1","cluster":"door","room":"room-a","types":{
                "cluster":{"behind":0,"waiting_ms":0,"taken":1,"refused":0,"reason":""},
                "endpoints":{"behind":0,"waiting_ms":0,"taken":1,"refused":0,"reason":""},
                "listener":{"behind":0,"waiting_ms":0,"taken":0,"refused":1,"reason":"no such filter"},
                "routes":{"behind":0,"waiting_ms":0,"taken":1,"refused":0,"reason":""}}}],"drains":[]}""");
        proxy.unacknowledgedTypes.add(ENDPOINTS);
        writeList("up", "draining");
        assertStatus(
                """
                {"name":"control-1","nodes":2,"missing":[],"source_problem":"","proxies":[
                {"id":"proxy-1","cluster":"door","room":"room-a","types":{
                "cluster":{"behind":0,"waiting_ms":0,"taken":1,"refused":0,"reason":""},
                "endpoints":{"behind":1,"waiting_ms":N,"taken":1,"refused":0,"reason":""},
                "listener":{"behind":0,"waiting_ms":0,"taken":0,"refused":1,"reason":"no such filter"},
                "routes":{"behind":0,"waiting_ms":0,"taken":1,"refused":0,"reason":""}}}],"drains":[
                {"node":"app-2","since_ms":N,"not_acknowledged_by":["proxy-1"],"used_by":[]}]}""");
        BlockingQueue<Object> reports = new LinkedBlockingQueue<>();
        StreamObserver<LoadStatsRequest> loadReports = report(reports, "door");
        assertEquals(
                reports.poll(20, TimeUnit.SECONDS)
                        .toString()
                        .replaceAll("\\s+", " ")
                        .strip(),
                "clusters: \"swaps\" load_reporting_interval { nanos: 500000000 } report_endpoint_granularity: true");
        loadReports.onNext(load(0, 2));
        String users =
                """
                {"name":"control-1","nodes":2,"missing":[],"source_problem":"","proxies":[
                {"id":"proxy-1","cluster":"door","room":"room-a","types":{
                "cluster":{"behind":0,"waiting_ms":0,"taken":1,"refused":0,"reason":""},
                "endpoints":{"behind":1,"waiting_ms":N,"taken":1,"refused":0,"reason":""},
                "listener":{"behind":0,"waiting_ms":0,"taken":0,"refused":1,"reason":"no such filter"},
                "routes":{"behind":0,"waiting_ms":0,"taken":1,"refused":0,"reason":""}}}],"drains":[
                {"node":"app-2","since_ms":N,"not_acknowledged_by":["proxy-1"],"used_by":[
                {"proxy":"proxy-1","in_hand":2,"last_new_ms":LAST}]}]}""";
        assertStatus(users.replace("LAST", "-1"));
        loadReports.onNext(load(3, 2));
        assertStatus(users.replace("LAST", "N"));
    }

    @Test
    public void reportsReasonOfRejectedStream() throws Exception {
        Proxy proxy = new Proxy("");
        proxy.subscribe("", "swaps");
        assertEquals(status(proxy.received), "INVALID_ARGUMENT: type  is not served on this stream");

        BlockingQueue<Object> single = new LinkedBlockingQueue<>();
        EndpointDiscoveryServiceGrpc.newStub(channel)
                .streamEndpoints(queue(single))
                .onNext(DiscoveryRequest.newBuilder()
                        .setTypeUrl(CLUSTER)
                        .setNode(Node.newBuilder().setId("proxy-1").setCluster("door"))
                        .build());
        assertEquals(status(single), "INVALID_ARGUMENT: type " + CLUSTER + " is not served on this stream");

        BlockingQueue<Object> reports = new LinkedBlockingQueue<>();
        report(reports, "kitchen");
        assertEquals(status(reports), "PERMISSION_DENIED: proxy proxy-1 is not admitted");
    }

    @Test
    public void formsNonceFromServiceStreamAndResponse() throws Exception {
        Proxy proxy = new Proxy("");
        proxy.subscribe(CLUSTER);
        DiscoveryResponse response = (DiscoveryResponse) proxy.received.poll(20, TimeUnit.SECONDS);
        assertEquals(response.getNonce().replaceAll("^[0-9a-f]{8}\\.", "RANDOM."), "RANDOM.1.1");
        assertEquals(response.getTypeUrl(), CLUSTER);
    }

    private static String status(BlockingQueue<Object> received) throws Exception {
        Status status = ((StatusRuntimeException) received.poll(20, TimeUnit.SECONDS)).getStatus();
        return status.getCode() + ": " + status.getDescription();
    }

    private StreamObserver<LoadStatsRequest> report(BlockingQueue<Object> received, String cluster) {
        StreamObserver<LoadStatsRequest> out =
                LoadReportingServiceGrpc.newStub(channel).streamLoadStats(queue(received));
        out.onNext(LoadStatsRequest.newBuilder()
                .setNode(Node.newBuilder().setId("proxy-1").setCluster(cluster))
                .build());
        return out;
    }

    private static <T> StreamObserver<T> queue(BlockingQueue<Object> received) {
        return new StreamObserver<>() {
            @Override
            public void onNext(T value) {
                received.add(value);
            }

            @Override
            public void onError(Throwable cause) {
                received.add(cause);
            }

            @Override
            public void onCompleted() {
                received.add("completed");
            }
        };
    }

    private static LoadStatsRequest load(long issued, long inProgress) {
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
                                                        .setPortValue(7202))))))
                .build();
    }

    @Test
    public void listsServicesAndMethods() {
        try (SerialExecutor executor = new SerialExecutor()) {
            List<String> methods = new SessionRegistry(executor, proxy -> null)
                    .services().stream()
                            .flatMap(each -> each.getMethods().stream())
                            .map(each -> each.getMethodDescriptor().getFullMethodName())
                            .sorted()
                            .toList();
            assertEquals(
                    String.join("\n", methods),
                    """
                    envoy.service.cluster.v3.ClusterDiscoveryService/DeltaClusters
                    envoy.service.cluster.v3.ClusterDiscoveryService/StreamClusters
                    envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources
                    envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources
                    envoy.service.endpoint.v3.EndpointDiscoveryService/DeltaEndpoints
                    envoy.service.endpoint.v3.EndpointDiscoveryService/StreamEndpoints
                    envoy.service.listener.v3.ListenerDiscoveryService/DeltaListeners
                    envoy.service.listener.v3.ListenerDiscoveryService/StreamListeners
                    envoy.service.route.v3.RouteDiscoveryService/DeltaRoutes
                    envoy.service.route.v3.RouteDiscoveryService/StreamRoutes""");
        }
    }
}
