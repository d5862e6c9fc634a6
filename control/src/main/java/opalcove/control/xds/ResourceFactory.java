package opalcove.control.xds;

import com.google.protobuf.Any;
import com.google.protobuf.Duration;
import com.google.protobuf.UInt32Value;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.AggregatedConfigSource;
import io.envoyproxy.envoy.config.core.v3.ApiVersion;
import io.envoyproxy.envoy.config.core.v3.ConfigSource;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.SelfConfigSource;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.Endpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import io.envoyproxy.envoy.config.listener.v3.ApiListener;
import io.envoyproxy.envoy.config.listener.v3.Listener;
import io.envoyproxy.envoy.config.route.v3.Route;
import io.envoyproxy.envoy.config.route.v3.RouteAction;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.config.route.v3.RouteMatch;
import io.envoyproxy.envoy.config.route.v3.VirtualHost;
import io.envoyproxy.envoy.extensions.filters.http.router.v3.Router;
import io.envoyproxy.envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager;
import io.envoyproxy.envoy.extensions.filters.network.http_connection_manager.v3.HttpFilter;
import io.envoyproxy.envoy.extensions.filters.network.http_connection_manager.v3.Rds;
import java.util.List;

/** Builds the resources for proxies in a form that both Envoy and proxyless gRPC clients accept. */
public final class ResourceFactory {
    private static final long CONNECT_TIMEOUT_SECONDS = 1;

    /**
     * An endpoint in the form that proxies receive.
     *
     * @param address its IP address
     * @param port its port
     * @param weight load relative to the other endpoints of the locality, above 0
     * @param draining whether proxies only finish their requests in flight there and send no new ones
     */
    public record WeightedEndpoint(String address, int port, int weight, boolean draining) {}

    /**
     * The endpoints of one zone.
     *
     * @param zone its name
     * @param priority priority of the locality; 0 is used first
     * @param weight load relative to the other localities of the same priority, above 0
     * @param endpoints the endpoints in the zone; a locality without endpoints is omitted from the resource
     */
    public record Locality(String zone, int priority, int weight, List<WeightedEndpoint> endpoints) {}

    private ResourceFactory() {}

    private static ConfigSource adsConfigSource() {
        return ConfigSource.newBuilder()
                .setResourceApiVersion(ApiVersion.V3)
                .setAds(AggregatedConfigSource.getDefaultInstance())
                .build();
    }

    /**
     * Builds a cluster whose endpoints come over the aggregated stream and whose load is reported to the server that
     * sent it.
     */
    public static Resource cluster(String name) {
        return Resource.of(
                ResourceType.CLUSTER,
                name,
                0,
                Cluster.newBuilder()
                        .setName(name)
                        .setType(Cluster.DiscoveryType.EDS)
                        .setEdsClusterConfig(
                                Cluster.EdsClusterConfig.newBuilder().setEdsConfig(adsConfigSource()))
                        .setConnectTimeout(Duration.newBuilder().setSeconds(CONNECT_TIMEOUT_SECONDS))
                        .setLbPolicy(Cluster.LbPolicy.ROUND_ROBIN)
                        .setLrsServer(ConfigSource.newBuilder()
                                .setResourceApiVersion(ApiVersion.V3)
                                .setSelf(SelfConfigSource.getDefaultInstance()))
                        .build());
    }

    /**
     * Builds the endpoints of a cluster.
     *
     * @param ttlMs lifetime without renewal, ms; 0: unlimited
     */
    public static Resource endpoints(String cluster, long ttlMs, List<Locality> localities) {
        ClusterLoadAssignment.Builder assignment =
                ClusterLoadAssignment.newBuilder().setClusterName(cluster);
        for (Locality locality : localities) {
            if (locality.endpoints().isEmpty()) {
                continue;
            }
            LocalityLbEndpoints.Builder builder = assignment
                    .addEndpointsBuilder()
                    .setLocality(io.envoyproxy.envoy.config.core.v3.Locality.newBuilder()
                            .setZone(locality.zone()))
                    .setPriority(locality.priority())
                    .setLoadBalancingWeight(UInt32Value.of(locality.weight()));
            for (WeightedEndpoint each : locality.endpoints()) {
                builder.addLbEndpoints(LbEndpoint.newBuilder()
                        .setEndpoint(Endpoint.newBuilder()
                                .setAddress(Address.newBuilder()
                                        .setSocketAddress(SocketAddress.newBuilder()
                                                .setAddress(each.address())
                                                .setPortValue(each.port()))))
                        .setHealthStatus(each.draining() ? HealthStatus.DRAINING : HealthStatus.HEALTHY)
                        .setLoadBalancingWeight(UInt32Value.of(each.weight())));
            }
        }
        return Resource.of(ResourceType.ENDPOINTS, cluster, ttlMs, assignment.build());
    }

    /** Builds a listener for proxyless clients; its routes come over the aggregated stream. */
    public static Resource apiListener(String name, String routes) {
        HttpConnectionManager manager = HttpConnectionManager.newBuilder()
                .setStatPrefix(name)
                .setRds(Rds.newBuilder().setRouteConfigName(routes).setConfigSource(adsConfigSource()))
                .addHttpFilters(
                        HttpFilter.newBuilder().setName("router").setTypedConfig(Any.pack(Router.getDefaultInstance())))
                .build();
        return Resource.of(
                ResourceType.LISTENER,
                name,
                0,
                Listener.newBuilder()
                        .setName(name)
                        .setApiListener(ApiListener.newBuilder().setApiListener(Any.pack(manager)))
                        .build());
    }

    /** Builds routes that send all requests for all host names to one cluster. */
    public static Resource routes(String name, String cluster) {
        return Resource.of(
                ResourceType.ROUTES,
                name,
                0,
                RouteConfiguration.newBuilder()
                        .setName(name)
                        .addVirtualHosts(VirtualHost.newBuilder()
                                .setName(cluster)
                                .addDomains("*")
                                .addRoutes(Route.newBuilder()
                                        .setMatch(RouteMatch.newBuilder().setPrefix(""))
                                        .setRoute(RouteAction.newBuilder().setCluster(cluster))))
                        .build());
    }
}
