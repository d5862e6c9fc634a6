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
import io.envoyproxy.envoy.config.core.v3.Locality;
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

/** Builds the resources that proxies are told, in the form that both Envoy and a proxyless gRPC client take. */
public final class ResourceFactory {
    /** Connecting to an endpoint, and reading the listener's routes, takes no longer, s. */
    private static final long CONNECT_SECONDS = 1;

    /**
     * An endpoint as a proxy is to see it.
     *
     * @param weight its share beside others of its group, above 0; one of weight 0 is left out by the caller
     * @param draining proxies finish what they have there and send nothing new
     */
    public record Target(String address, int port, int weight, boolean draining) {}

    /** Endpoints of one room: priority 0 is used first, weight divides the load among rooms of a priority. */
    public record Group(String room, int priority, int weight, List<Target> targets) {}

    private ResourceFactory() {}

    private static ConfigSource overAds() {
        return ConfigSource.newBuilder()
                .setResourceApiVersion(ApiVersion.V3)
                .setAds(AggregatedConfigSource.getDefaultInstance())
                .build();
    }

    /** A cluster whose endpoints are told over the aggregated stream, and whose load is reported to whoever told it. */
    public static Resource cluster(String name) {
        return Resource.of(
                ResourceType.CLUSTER,
                name,
                0,
                Cluster.newBuilder()
                        .setName(name)
                        .setType(Cluster.DiscoveryType.EDS)
                        .setEdsClusterConfig(
                                Cluster.EdsClusterConfig.newBuilder().setEdsConfig(overAds()))
                        .setConnectTimeout(Duration.newBuilder().setSeconds(CONNECT_SECONDS))
                        .setLbPolicy(Cluster.LbPolicy.ROUND_ROBIN)
                        .setLrsServer(ConfigSource.newBuilder()
                                .setResourceApiVersion(ApiVersion.V3)
                                .setSelf(SelfConfigSource.getDefaultInstance()))
                        .build());
    }

    /** The endpoints of a cluster, with a lifetime, ms (0: none). Groups without endpoints are left out. */
    public static Resource endpoints(String cluster, long ttlMs, List<Group> groups) {
        ClusterLoadAssignment.Builder assignment =
                ClusterLoadAssignment.newBuilder().setClusterName(cluster);
        for (Group group : groups) {
            if (group.targets().isEmpty()) {
                continue;
            }
            LocalityLbEndpoints.Builder locality = assignment
                    .addEndpointsBuilder()
                    .setLocality(Locality.newBuilder().setZone(group.room()))
                    .setPriority(group.priority())
                    .setLoadBalancingWeight(UInt32Value.of(group.weight()));
            for (Target each : group.targets()) {
                locality.addLbEndpoints(LbEndpoint.newBuilder()
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

    /** A listener for proxyless clients that takes its routes over the aggregated stream. */
    public static Resource apiListener(String name, String routes) {
        HttpConnectionManager manager = HttpConnectionManager.newBuilder()
                .setStatPrefix(name)
                .setRds(Rds.newBuilder().setRouteConfigName(routes).setConfigSource(overAds()))
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

    /** Routes that lead all requests of all names to one cluster. */
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
