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

/** A proxyless gRPC client's own xDS implementation against the control service, and nodes that tell their names. */
public class GrpcClientTest {
    private static final MethodDescriptor<StringValue, StringValue> ASK =
            MethodDescriptor.<StringValue, StringValue>newBuilder()
                    .setType(MethodDescriptor.MethodType.UNARY)
                    .setFullMethodName("swap/Ask")
                    .setRequestMarshaller(ProtoUtils.marshaller(StringValue.getDefaultInstance()))
                    .setResponseMarshaller(ProtoUtils.marshaller(StringValue.getDefaultInstance()))
                    .build();
    private static final long PATIENCE_NS = TimeUnit.SECONDS.toNanos(20);

    private final List<Server> nodes = new ArrayList<>();
    private SerialExecutor desk;
    private SessionRegistry sessions;
    private ControlServer server;
    private ConfigSnapshot view;
    private ManagedChannel client;
    private XdsNameResolverProvider resolver;

    @BeforeMethod
    public void open() throws Exception {
        for (String name : List.of("node-a", "node-b", "node-c")) {
            nodes.add(NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .addService(ServerServiceDefinition.builder("swap")
                            .addMethod(ASK, ServerCalls.asyncUnaryCall((request, out) -> {
                                out.onNext(StringValue.of(name));
                                out.onCompleted();
                            }))
                            .build())
                    .build()
                    .start());
        }
        desk = new SerialExecutor();
        view = ConfigSnapshot.EMPTY.with(
                List.of(
                        ResourceFactory.apiListener("swaps", "routes"),
                        ResourceFactory.routes("routes", "std"),
                        ResourceFactory.cluster("std"),
                        endpoints(Set.of(), Set.of(2))),
                Map.of());
        sessions = new SessionRegistry(desk, proxy -> view);
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
        desk.close();
        nodes.forEach(Server::shutdownNow);
        nodes.clear();
    }

    private Resource endpoints(Set<Integer> draining, Set<Integer> absent) {
        List<ResourceFactory.Target> targets = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            if (!absent.contains(i)) {
                targets.add(new ResourceFactory.Target("127.0.0.1", nodes.get(i).getPort(), 1, draining.contains(i)));
            }
        }
        return ResourceFactory.endpoints("std", 0, List.of(new ResourceFactory.Group("room-a", 0, 1, targets)));
    }

    private void tell(Resource resource) throws Exception {
        CompletableFuture<Void> told = new CompletableFuture<>();
        desk.execute(() -> {
            view = view.with(List.of(resource), Map.of());
            sessions.changed();
            told.complete(null);
        });
        told.get(5, TimeUnit.SECONDS);
    }

    private String ask() {
        return ClientCalls.blockingUnaryCall(
                        client, ASK, CallOptions.DEFAULT.withDeadlineAfter(10, TimeUnit.SECONDS), StringValue.of(""))
                .getValue();
    }

    /** Asks until the last asks went to these nodes alone, and to each of them. */
    private void untilServedBy(Set<String> expected) {
        long until = System.nanoTime() + PATIENCE_NS;
        Set<String> last = Set.of();
        while (!last.equals(expected)) {
            assertTrue(System.nanoTime() < until, "served by " + last + " and not by " + expected);
            last = new HashSet<>();
            for (int i = 0; i < 20; i++) {
                last.add(ask());
            }
        }
    }

    @Test
    public void itsCallsGoWhereTheControlServiceSays() throws Exception {
        untilServedBy(Set.of("node-a", "node-b"));
        tell(endpoints(Set.of(), Set.of()));
        untilServedBy(Set.of("node-a", "node-b", "node-c"));
        tell(endpoints(Set.of(1), Set.of()));
        untilServedBy(Set.of("node-a", "node-c"));
        tell(endpoints(Set.of(), Set.of(0, 1)));
        untilServedBy(Set.of("node-c"));
    }

    @Test
    public void whatItRefusesIsToldWithItsReasonAndItKeepsWhatItHas() throws Exception {
        untilServedBy(Set.of("node-a", "node-b"));
        // A cluster of a kind that this client does not know.
        tell(Resource.of(
                ResourceType.CLUSTER,
                "std",
                0,
                io.envoyproxy.envoy.config.cluster.v3.Cluster.newBuilder()
                        .setName("std")
                        .setType(io.envoyproxy.envoy.config.cluster.v3.Cluster.DiscoveryType.ORIGINAL_DST)
                        .build()));
        long until = System.nanoTime() + PATIENCE_NS;
        String reason = "";
        while (reason.isEmpty()) {
            assertTrue(System.nanoTime() < until, "no refusal came");
            CompletableFuture<String> told = new CompletableFuture<>();
            desk.execute(() -> told.complete(
                    sessions.reasons(ResourceType.CLUSTER).stream().findFirst().orElse("")));
            reason = told.get(5, TimeUnit.SECONDS);
        }
        assertTrue(reason.contains("std"), reason);
        assertEquals(Set.of("node-a", "node-b").contains(ask()), true);
        tell(ResourceFactory.cluster("std"));
        tell(endpoints(Set.of(), Set.of(0)));
        untilServedBy(Set.of("node-b", "node-c"));
    }
}
