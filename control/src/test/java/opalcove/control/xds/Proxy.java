package opalcove.control.xds;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.rpc.Status;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.listener.v3.Listener;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** A scripted proxy on one stream of each variant, and its snapshot. Received responses are formatted as lines. */
final class Proxy {
    ConfigSnapshot snapshot = ConfigSnapshot.EMPTY;
    double nowMs;
    final XdsStream<DiscoveryRequest, DiscoveryResponse> sotw = XdsStream.sotw("n", false);
    final XdsStream<DeltaDiscoveryRequest, DeltaDiscoveryResponse> delta = XdsStream.delta("n");
    final List<DiscoveryResponse> responses = new ArrayList<>();
    final List<DeltaDiscoveryResponse> changes = new ArrayList<>();

    static Resource resource(ResourceType type, String name, int content) {
        return Resource.of(
                type,
                name,
                0,
                switch (type) {
                    case CLUSTER ->
                        Cluster.newBuilder()
                                .setName(name)
                                .setAltStatName("" + content)
                                .build();
                    case ENDPOINTS ->
                        ClusterLoadAssignment.newBuilder()
                                .setClusterName(name)
                                .setPolicy(ClusterLoadAssignment.Policy.newBuilder()
                                        .addDropOverloads(ClusterLoadAssignment.Policy.DropOverload.newBuilder()
                                                .setCategory("" + content)))
                                .build();
                    case LISTENER ->
                        Listener.newBuilder()
                                .setName(name)
                                .setStatPrefix("" + content)
                                .build();
                    case ROUTES ->
                        RouteConfiguration.newBuilder()
                                .setName(name)
                                .addInternalOnlyHeaders("" + content)
                                .build();
                });
    }

    Proxy set(ResourceType type, int content, String... names) {
        List<Resource> set = new ArrayList<>();
        for (String name : names) {
            set.add(resource(type, name, content));
        }
        snapshot = snapshot.with(set, Map.of());
        return this;
    }

    Proxy remove(ResourceType type, String... names) {
        snapshot = snapshot.with(List.of(), Map.of(type, List.of(names)));
        return this;
    }

    /** Subscribes to names on the state-of-the-world stream and acknowledges the response with the nonce. */
    void requestSotw(ResourceType type, String nonce, String... names) {
        sotw.onRequest(
                type,
                DiscoveryRequest.newBuilder()
                        .setTypeUrl(type.url())
                        .setResponseNonce(nonce)
                        .addAllResourceNames(List.of(names))
                        .build());
    }

    void rejectSotw(ResourceType type, String nonce, String reason, String... names) {
        sotw.onRequest(
                type,
                DiscoveryRequest.newBuilder()
                        .setTypeUrl(type.url())
                        .setResponseNonce(nonce)
                        .addAllResourceNames(List.of(names))
                        .setErrorDetail(Status.newBuilder().setCode(3).setMessage(reason))
                        .build());
    }

    /** Returns the due responses on the state-of-the-world stream, one per line: {@code TYPE nonce: names}. */
    String sotwResponses() {
        StringBuilder text = new StringBuilder();
        for (DiscoveryResponse each : sotw.nextResponses(snapshot, nowMs)) {
            responses.add(each);
            text.append(line(each.getTypeUrl(), each.getNonce(), names(each), List.of()));
        }
        return text.toString().strip();
    }

    DeltaDiscoveryRequest.Builder deltaRequest(ResourceType type, String nonce) {
        return DeltaDiscoveryRequest.newBuilder().setTypeUrl(type.url()).setResponseNonce(nonce);
    }

    void subscribe(ResourceType type, String... names) {
        delta.onRequest(
                type,
                deltaRequest(type, "")
                        .addAllResourceNamesSubscribe(List.of(names))
                        .build());
    }

    void unsubscribe(ResourceType type, String... names) {
        delta.onRequest(
                type,
                deltaRequest(type, "")
                        .addAllResourceNamesUnsubscribe(List.of(names))
                        .build());
    }

    void acceptDelta(ResourceType type, String nonce) {
        delta.onRequest(type, deltaRequest(type, nonce).build());
    }

    void rejectDelta(ResourceType type, String nonce, String reason) {
        delta.onRequest(
                type,
                deltaRequest(type, nonce)
                        .setErrorDetail(Status.newBuilder().setCode(3).setMessage(reason))
                        .build());
    }

    /** Returns the due responses on the incremental stream, one per line: {@code TYPE nonce: names -removed}. */
    String deltaResponses() {
        StringBuilder text = new StringBuilder();
        for (DeltaDiscoveryResponse each : delta.nextResponses(snapshot, nowMs)) {
            changes.add(each);
            text.append(line(
                    each.getTypeUrl(),
                    each.getNonce(),
                    each.getResourcesList().stream()
                            .map(io.envoyproxy.envoy.service.discovery.v3.Resource::getName)
                            .toList(),
                    each.getRemovedResourcesList()));
        }
        return text.toString().strip();
    }

    private static String line(String url, String nonce, List<String> names, List<String> removed) {
        StringBuilder text = new StringBuilder(ResourceType.forUrl(url) + " " + nonce + ":");
        new TreeSet<>(names).forEach(name -> text.append(' ').append(name));
        new TreeSet<>(removed).forEach(name -> text.append(" -").append(name));
        return text.append('\n').toString();
    }

    private static List<String> names(DiscoveryResponse response) {
        return response.getResourcesList().stream()
                .map(any -> {
                    try {
                        return switch (ResourceType.forUrl(any.getTypeUrl())) {
                            case CLUSTER -> any.unpack(Cluster.class).getName();
                            case ENDPOINTS ->
                                any.unpack(ClusterLoadAssignment.class).getClusterName();
                            case LISTENER -> any.unpack(Listener.class).getName();
                            case ROUTES -> any.unpack(RouteConfiguration.class).getName();
                        };
                    } catch (InvalidProtocolBufferException e) {
                        throw new IllegalStateException(e);
                    }
                })
                .toList();
    }
}
