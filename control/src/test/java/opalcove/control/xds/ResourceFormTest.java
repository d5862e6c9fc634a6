package opalcove.control.xds;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.listener.v3.Listener;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Compares resources and responses with literal texts and versions; a version covers each byte of a resource. */
public class ResourceFormTest {
    private static final Resource SWAPS = ResourceFactory.endpoints(
            "swaps",
            3000,
            List.of(
                    new ResourceFactory.Locality(
                            "room-a",
                            0,
                            150,
                            List.of(
                                    new ResourceFactory.WeightedEndpoint("127.0.0.1", 7201, 100, false),
                                    new ResourceFactory.WeightedEndpoint("127.0.0.1", 7202, 50, true))),
                    new ResourceFactory.Locality("room-b", 1, 1, List.of())));

    private static String text(Message message) {
        return TextFormat.printer()
                .printToString(message)
                .replaceAll("\\s+", " ")
                .strip();
    }

    private static void assertEncoding(
            Resource resource, Class<? extends Message> messageType, String version, String text) throws Exception {
        assertEquals(text(resource.body().unpack(messageType)), text.replace("\n", " "));
        assertEquals(resource.version(), version);
        assertEquals(
                resource.body().getTypeUrl(),
                "type.googleapis.com/" + messageType.getName().replace("io.envoyproxy.", ""));
    }

    @Test
    public void encodesCluster() throws Exception {
        assertEncoding(
                ResourceFactory.cluster("swaps"),
                Cluster.class,
                "edfd337923d3bad6",
                """
                name: "swaps" type: EDS eds_cluster_config { eds_config { ads { } resource_api_version: V3 } } \
                connect_timeout { seconds: 1 } lrs_server { self { } resource_api_version: V3 }""");
    }

    @Test
    public void encodesEndpointsOfCluster() throws Exception {
        assertEncoding(
                SWAPS,
                ClusterLoadAssignment.class,
                "f7918b1c9639b90e",
                """
                cluster_name: "swaps" endpoints { locality { zone: "room-a" } lb_endpoints { endpoint { address { \
                socket_address { address: "127.0.0.1" port_value: 7201 } } } health_status: HEALTHY \
                load_balancing_weight { value: 100 } } lb_endpoints { endpoint { address { socket_address { \
                address: "127.0.0.1" port_value: 7202 } } } health_status: DRAINING load_balancing_weight { value: \
                50 } } load_balancing_weight { value: 150 } }""");
    }

    @Test
    public void encodesListenerForProxylessClients() throws Exception {
        Resource listener = ResourceFactory.apiListener("swaps", "routes");
        HttpConnectionManager manager = listener.body()
                .unpack(Listener.class)
                .getApiListener()
                .getApiListener()
                .unpack(HttpConnectionManager.class);
        assertEquals(
                text(manager),
                """
                stat_prefix: "swaps" rds { config_source { ads { } resource_api_version: V3 } route_config_name: \
                "routes" } http_filters { name: "router" typed_config { type_url: \
                "type.googleapis.com/envoy.extensions.filters.http.router.v3.Router" } }""");
        assertEquals(listener.name(), "swaps");
        assertEquals(listener.version(), "ab641f32be198f67");
    }

    @Test
    public void encodesRoutes() throws Exception {
        assertEncoding(
                ResourceFactory.routes("routes", "swaps"),
                RouteConfiguration.class,
                "76fdc633d0e8ef9c",
                """
                name: "routes" virtual_hosts { name: "swaps" domains: "*" routes { match { prefix: "" } route { \
                cluster: "swaps" } } }""");
    }

    @Test
    public void listsTypesInSendingOrder() {
        StringBuilder types = new StringBuilder();
        for (ResourceType each : ResourceType.values()) {
            types.append(each.url()).append('\n');
        }
        assertEquals(
                types.toString(),
                """
                type.googleapis.com/envoy.config.cluster.v3.Cluster
                type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment
                type.googleapis.com/envoy.config.listener.v3.Listener
                type.googleapis.com/envoy.config.route.v3.RouteConfiguration
                """);
    }

    private static ConfigSnapshot snapshot() {
        return ConfigSnapshot.EMPTY.with(
                List.of(SWAPS, ResourceFactory.cluster("swaps"), ResourceFactory.cluster("spare")), Map.of());
    }

    @Test
    public void encodesStateOfTheWorldResponseAndRenewal() {
        XdsStream<DiscoveryRequest, DiscoveryResponse> stream = XdsStream.sotw("n.", true);
        for (ResourceType each : List.of(ResourceType.CLUSTER, ResourceType.ENDPOINTS)) {
            DiscoveryRequest.Builder request = DiscoveryRequest.newBuilder().setTypeUrl(each.url());
            if (each == ResourceType.ENDPOINTS) {
                request.addResourceNames("swaps");
            }
            stream.onRequest(each, request.build());
        }
        List<DiscoveryResponse> due = stream.nextResponses(snapshot(), 0);
        assertEquals(due.size(), 2);
        assertEquals(due.get(0).getVersionInfo(), "ce1f59a4e302d0af");
        assertEquals(due.get(0).getNonce(), "n.1");
        assertEquals(due.get(0).getResourcesCount(), 2);
        assertEquals(
                text(due.get(1)),
                """
                version_info: "f7918b1c9639b90e" resources { type_url: \
                "type.googleapis.com/envoy.service.discovery.v3.Resource" value: \
                "\\n\\020f7918b1c9639b90e\\022\\226\\001\\nBtype.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment\
                \\022P\\n\\005swaps\\022G\\n\\b\\022\\006room-a\
                \\022\\032\\n\\022\\n\\020\\n\\016\\022\\t127.0.0.1\\030\\2418\\020\\001\\"\\002\\bd\
                \\022\\032\\n\\022\\n\\020\\n\\016\\022\\t127.0.0.1\\030\\2428\\020\\003\\"\\002\\b2\\032\\003\\b\\226\\001\\032\\005swaps2\\002\\b\\003" \
                } type_url: "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment" nonce: "n.1\"""");
        assertEquals(
                text(stream.nextRenewals(snapshot(), 0).get(0)),
                """
                version_info: "f7918b1c9639b90e" resources { type_url: \
                "type.googleapis.com/envoy.service.discovery.v3.Resource" value: \
                "\\n\\020f7918b1c9639b90e\\032\\005swaps2\\002\\b\\003" } type_url: \
                "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment" nonce: "n.2\"""");
    }

    @Test
    public void encodesIncrementalResponseAndRenewal() {
        XdsStream<DeltaDiscoveryRequest, DeltaDiscoveryResponse> stream = XdsStream.delta("n.");
        stream.onRequest(
                ResourceType.ENDPOINTS,
                DeltaDiscoveryRequest.newBuilder()
                        .setTypeUrl(ResourceType.ENDPOINTS.url())
                        .addResourceNamesSubscribe("swaps")
                        .addResourceNamesSubscribe("none")
                        .build());
        List<DeltaDiscoveryResponse> due = stream.nextResponses(snapshot(), 0);
        assertEquals(due.size(), 1);
        assertEquals(
                text(due.get(0)),
                """
                resources { version: "f7918b1c9639b90e" resource { type_url: \
                "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment" value: \
                "\\n\\005swaps\\022G\\n\\b\\022\\006room-a\
                \\022\\032\\n\\022\\n\\020\\n\\016\\022\\t127.0.0.1\\030\\2418\\020\\001\\"\\002\\bd\
                \\022\\032\\n\\022\\n\\020\\n\\016\\022\\t127.0.0.1\\030\\2428\\020\\003\\"\\002\\b2\\032\\003\\b\\226\\001" \
                } name: "swaps" ttl { seconds: 3 } } type_url: \
                "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment" nonce: "n.1" \
                removed_resources: "none\"""");
        assertEquals(
                text(stream.nextRenewals(snapshot(), 0).get(0)),
                """
                resources { version: "f7918b1c9639b90e" name: "swaps" ttl { seconds: 3 } } type_url: \
                "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment" nonce: "n.2\"""");
    }
}
