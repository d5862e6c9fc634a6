package opalcove.control.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.StringValue;
import io.grpc.CallOptions;
import io.grpc.Grpc;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.NameResolverRegistry;
import io.grpc.Server;
import io.grpc.ServerServiceDefinition;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.protobuf.ProtoUtils;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ServerCalls;
import io.grpc.xds.XdsNameResolverProvider;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import opalcove.control.xds.ConfigSnapshot;
import opalcove.control.xds.Resource;
import opalcove.control.xds.ResourceFactory;
import opalcove.control.xds.ResourceType;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a proxyless gRPC client with its own xDS implementation; the backends respond with their names. */
public class GrpcClientTest {
    private static final MethodDescriptor<StringValue, StringValue> NAME =
            MethodDescriptor.<StringValue, StringValue>newBuilder()
                    .setType(MethodDescriptor.MethodType.UNARY)
                    .setFullMethodName("swap/Name")
                    .setRequestMarshaller(ProtoUtils.marshaller(StringValue.getDefaultInstance()))
                    .setResponseMarshaller(ProtoUtils.marshaller(StringValue.getDefaultInstance()))
                    .build();
    private static final long TIMEOUT_NS = TimeUnit.SECONDS.toNanos(20);

    private final List<Server> backends = new ArrayList<>();
    private SerialExecutor executor;
    private SessionRegistry sessions;
    private ControlServer server;
    private ConfigSnapshot snapshot;
    private ManagedChannel client;
    private XdsNameResolverProvider resolver;

    @BeforeMethod
    public void open() throws Exception {
        for (String name : List.of("backend-a", "backend-b", "backend-c")) {
            backends.add(NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .addService(ServerServiceDefinition.builder("swap")
                            .addMethod(NAME, ServerCalls.asyncUnaryCall((request, out) -> {
                                out.onNext(StringValue.of(name));
                                out.onCompleted();
                            }))
                            .build())
                    .build()
                    .start());
        }
        executor = new SerialExecutor();
        snapshot = ConfigSnapshot.EMPTY.with(
                List.of(
                        ResourceFactory.apiListener("swaps", "routes"),
                        ResourceFactory.routes("routes", "std"),
                        ResourceFactory.cluster("std"),
                        endpoints(Set.of(), Set.of(2))),
                Map.of());
        sessions = new SessionRegistry(executor, proxy -> snapshot);
        server = new ControlServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), sessions);
        String scheme = "opalcove" + server.port();
        resolver = XdsNameResolverProvider.createForTest(
                scheme,
                Map.of(
                        "node", Map.of("id", "client-1", "cluster", "test"),
                        "xds_servers",
                                List.of(Map.of(
                                        "server_uri",
                                        "127.0.0.1:" + server.port(),
                                        "channel_creds",
                                        List.of(Map.of("type", "insecure")),
                                        "server_features",
                                        List.of("xds_v3")))));
        NameResolverRegistry.getDefaultRegistry().register(resolver);
        client = Grpc.newChannelBuilder(scheme + ":///swaps", InsecureChannelCredentials.create())
                .build();
    }

    @AfterMethod
    public void close() throws Exception {
        client.shutdownNow().awaitTermination(5, TimeUnit.SECONDS);
        NameResolverRegistry.getDefaultRegistry().deregister(resolver);
        server.close();
        executor.close();
        backends.forEach(Server::shutdownNow);
        backends.clear();
    }

    private Resource endpoints(Set<Integer> draining, Set<Integer> absent) {
        List<ResourceFactory.WeightedEndpoint> targets = new ArrayList<>();
        for (int i = 0; i < backends.size(); i++) {
            if (!absent.contains(i)) {
                targets.add(new ResourceFactory.WeightedEndpoint(
                        "127.0.0.1", backends.get(i).getPort(), 1, draining.contains(i)));
            }
        }
        return ResourceFactory.endpoints("std", 0, List.of(new ResourceFactory.Locality("room-a", 0, 1, targets)));
    }

    private void send(Resource resource) throws Exception {
        CompletableFuture<Void> sent = new CompletableFuture<>();
        executor.execute(() -> {
            snapshot = snapshot.with(List.of(resource), Map.of());
            sessions.pushAll();
            sent.complete(null);
        });
        sent.get(5, TimeUnit.SECONDS);
    }

    private String call() {
        return ClientCalls.blockingUnaryCall(
                        client, NAME, CallOptions.DEFAULT.withDeadlineAfter(10, TimeUnit.SECONDS), StringValue.of(""))
                .getValue();
    }

    /** Repeats series of 20 calls until one series is served by exactly these backends. */
    private void awaitServedBy(Set<String> expected) {
        long until = System.nanoTime() + TIMEOUT_NS;
        Set<String> last = Set.of();
        while (!last.equals(expected)) {
            assertTrue(System.nanoTime() < until, "served by " + last + ", expected " + expected);
            last = new HashSet<>();
            for (int i = 0; i < 20; i++) {
                last.add(call());
            }
        }
    }

    @Test
    public void routesCallsToEndpointsFromControlService() throws Exception {
        awaitServedBy(Set.of("backend-a", "backend-b"));
        send(endpoints(Set.of(), Set.of()));
        awaitServedBy(Set.of("backend-a", "backend-b", "backend-c"));
        send(endpoints(Set.of(1), Set.of()));
        awaitServedBy(Set.of("backend-a", "backend-c"));
        send(endpoints(Set.of(), Set.of(0, 1)));
        awaitServedBy(Set.of("backend-c"));
    }

    @Test
    public void reportsRejectionAndClientContinuesWithLastAcceptedCluster() throws Exception {
        awaitServedBy(Set.of("backend-a", "backend-b"));
        // The client does not support this type of cluster.
        send(Resource.of(
                ResourceType.CLUSTER,
                "std",
                0,
                io.envoyproxy.envoy.config.cluster.v3.Cluster.newBuilder()
                        .setName("std")
                        .setType(io.envoyproxy.envoy.config.cluster.v3.Cluster.DiscoveryType.ORIGINAL_DST)
                        .build()));
        long until = System.nanoTime() + TIMEOUT_NS;
        String reason = "";
        while (reason.isEmpty()) {
            assertTrue(System.nanoTime() < until, "no rejection arrived");
            CompletableFuture<String> rejection = new CompletableFuture<>();
            executor.execute(() -> rejection.complete(sessions.connectedProxies().stream()
                    .map(each -> each.versions().get(ResourceType.CLUSTER))
                    .filter(each -> each != null && !each.rejectionReason().isEmpty())
                    .map(each -> each.rejectionReason())
                    .findFirst()
                    .orElse("")));
            reason = rejection.get(5, TimeUnit.SECONDS);
        }
        assertTrue(reason.contains("std"), reason);
        assertEquals(Set.of("backend-a", "backend-b").contains(call()), true);
        send(ResourceFactory.cluster("std"));
        send(endpoints(Set.of(), Set.of(0)));
        awaitServedBy(Set.of("backend-b", "backend-c"));
    }
}
