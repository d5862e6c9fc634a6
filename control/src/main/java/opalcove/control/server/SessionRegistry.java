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
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import opalcove.control.xds.ClientVersions;
import opalcove.control.xds.ResourceType;

/** All open streams of all proxies, and the services on which they are opened. Used on the desk's thread alone. */
public final class SessionRegistry {
    private final SerialExecutor desk;
    private final SnapshotSource views;
    private final Set<XdsSession<?, ?>> open = new LinkedHashSet<>();
    /** Guards against a nonce of an instance before this one: none of ours may look like it. */
    private final String incarnation = UUID.randomUUID().toString().substring(0, 8);

    private long streams;

    /** Serves the streams of clients from the views, all on the desk's thread. */
    public SessionRegistry(SerialExecutor desk, SnapshotSource views) {
        this.desk = desk;
        this.views = views;
    }

    SerialExecutor desk() {
        return desk;
    }

    SnapshotSource views() {
        return views;
    }

    String noncePrefix() {
        return incarnation + "." + ++streams + ".";
    }

    void opened(XdsSession<?, ?> session) {
        open.add(session);
    }

    void closed(XdsSession<?, ?> session) {
        open.remove(session);
    }

    /** The views have changed: every proxy is told its part. */
    public void changed() {
        List.copyOf(open).forEach(XdsSession::tell);
    }

    /** Renews the lifetimes of all that proxies hold on loan. */
    public void renew() {
        List.copyOf(open).forEach(XdsSession::renew);
    }

    /** A proxy on an open stream, and what it knows by type. */
    public record Known(ProxyIdentity proxy, Map<ResourceType, ClientVersions> types) {}

    /** All proxies on open streams; one with several streams is there several times. */
    public List<Known> known() {
        return open.stream()
                .map(each -> {
                    Map<ResourceType, ClientVersions> types = new EnumMap<>(ResourceType.class);
                    for (ResourceType type : ResourceType.values()) {
                        ClientVersions knows = each.knowledge(type);
                        if (knows != null) {
                            types.put(type, knows);
                        }
                    }
                    return new Known(each.proxy(), types);
                })
                .toList();
    }

    /** Why proxies refuse what they were told of a type, each reason once. */
    public Set<String> reasons(ResourceType type) {
        Set<String> reasons = new LinkedHashSet<>();
        open.forEach(each -> {
            if (each.knowledge(type) != null && !each.knowledge(type).reason().isEmpty()) {
                reasons.add(each.knowledge(type).reason());
            }
        });
        return reasons;
    }

    /** The services: the aggregated one, and one for each type, state of the world and incremental. */
    public List<ServerServiceDefinition> services() {
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
            ResourceType only,
            MethodDescriptor<DiscoveryRequest, DiscoveryResponse> sotw,
            MethodDescriptor<DeltaDiscoveryRequest, DeltaDiscoveryResponse> delta) {
        ServerServiceDefinition.Builder service = ServerServiceDefinition.builder(name)
                .addMethod(
                        sotw,
                        ServerCalls.asyncBidiStreamingCall(out -> new XdsSession<>(this, XdsVariant.SOTW, only, out)))
                .addMethod(
                        delta,
                        ServerCalls.asyncBidiStreamingCall(out -> new XdsSession<>(this, XdsVariant.DELTA, only, out)));
        // The services' descriptions name a unary form, too, for proxies that poll over HTTP; these are not such.
        return service.build();
    }
}
