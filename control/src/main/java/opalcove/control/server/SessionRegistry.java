package opalcove.control.server;

import io.envoyproxy.envoy.service.cluster.v3.ClusterDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.envoyproxy.envoy.service.endpoint.v3.EndpointDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.listener.v3.ListenerDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.route.v3.RouteDiscoveryServiceGrpc;
import io.grpc.MethodDescriptor;
import io.grpc.ServerServiceDefinition;
import io.grpc.stub.ServerCalls;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import opalcove.control.xds.ConfigSnapshot;
import opalcove.control.xds.ResourceType;

/**
 * The open streams of all proxies, and the gRPC services on which they are opened.
 *
 * <p>Owned by the thread of its {@link SerialExecutor}.
 */
final class SessionRegistry {
    private final SerialExecutor executor;
    private final SnapshotSource snapshots;
    private final Set<XdsSession<?, ?>> sessions = new LinkedHashSet<>();
    /**
     * Part of each nonce, so that a nonce of an earlier instance of the service is not mistaken for one of this
     * instance.
     */
    private final String incarnation = UUID.randomUUID().toString().substring(0, 8);

    private long streamCount;

    SessionRegistry(SerialExecutor executor, SnapshotSource snapshots) {
        this.executor = executor;
        this.snapshots = snapshots;
    }

    SerialExecutor executor() {
        return executor;
    }

    /** Returns the latest snapshot for a proxy; see {@link SnapshotSource#snapshotFor}. */
    ConfigSnapshot snapshotFor(ProxyIdentity proxy) {
        return snapshots.snapshotFor(proxy);
    }

    /** Returns a nonce prefix that no other stream has. */
    String nextNoncePrefix() {
        return incarnation + "." + ++streamCount + ".";
    }

    void add(XdsSession<?, ?> session) {
        sessions.add(session);
    }

    void remove(XdsSession<?, ?> session) {
        sessions.remove(session);
    }

    /** Sends the due responses on all streams after the snapshots have changed. */
    void pushAll() {
        List.copyOf(sessions).forEach(XdsSession::push);
    }

    /** Renews the lifetimes of resources on all streams. */
    void renewAll() {
        List.copyOf(sessions).forEach(XdsSession::renew);
    }

    /** Returns the proxies on open streams; a proxy with several streams occurs several times. */
    List<ConnectedProxy> connectedProxies() {
        return sessions.stream().map(XdsSession::connectedProxy).toList();
    }

    /** Returns the gRPC services: the aggregated one and one per type, each state-of-the-world and incremental. */
    List<ServerServiceDefinition> services() {
        return List.of(
                service(
                        AggregatedDiscoveryServiceGrpc.SERVICE_NAME,
                        null,
                        AggregatedDiscoveryServiceGrpc.getStreamAggregatedResourcesMethod(),
                        AggregatedDiscoveryServiceGrpc.getDeltaAggregatedResourcesMethod()),
                service(
                        ClusterDiscoveryServiceGrpc.SERVICE_NAME,
                        ResourceType.CLUSTER,
                        ClusterDiscoveryServiceGrpc.getStreamClustersMethod(),
                        ClusterDiscoveryServiceGrpc.getDeltaClustersMethod()),
                service(
                        EndpointDiscoveryServiceGrpc.SERVICE_NAME,
                        ResourceType.ENDPOINTS,
                        EndpointDiscoveryServiceGrpc.getStreamEndpointsMethod(),
                        EndpointDiscoveryServiceGrpc.getDeltaEndpointsMethod()),
                service(
                        ListenerDiscoveryServiceGrpc.SERVICE_NAME,
                        ResourceType.LISTENER,
                        ListenerDiscoveryServiceGrpc.getStreamListenersMethod(),
                        ListenerDiscoveryServiceGrpc.getDeltaListenersMethod()),
                service(
                        RouteDiscoveryServiceGrpc.SERVICE_NAME,
                        ResourceType.ROUTES,
                        RouteDiscoveryServiceGrpc.getStreamRoutesMethod(),
                        RouteDiscoveryServiceGrpc.getDeltaRoutesMethod()));
    }

    private ServerServiceDefinition service(
            String name,
            ResourceType onlyType,
            MethodDescriptor<DiscoveryRequest, DiscoveryResponse> sotw,
            MethodDescriptor<DeltaDiscoveryRequest, DeltaDiscoveryResponse> delta) {
        ServerServiceDefinition.Builder service = ServerServiceDefinition.builder(name)
                .addMethod(
                        sotw,
                        ServerCalls.asyncBidiStreamingCall(
                                responses -> new XdsSession<>(this, XdsVariant.SOTW, onlyType, responses)))
                .addMethod(
                        delta,
                        ServerCalls.asyncBidiStreamingCall(
                                responses -> new XdsSession<>(this, XdsVariant.DELTA, onlyType, responses)));
        // The unary methods of these services, for proxies that poll over HTTP, are not served.
        return service.build();
    }
}
