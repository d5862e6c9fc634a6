package opalcove.control.xds;

import com.google.protobuf.Any;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state-of-the-world variant. The first response on a stream holds all that is asked for, whatever version the request
 * names: that version says what the proxy took last, not what it has kept since.
 */
final class SotwSubscription extends ResourceSubscription<DiscoveryRequest, DiscoveryResponse> {
    private static final String ALL = "*";

    private final boolean wrapped;
    private boolean named;

    /** Wrapped: the proxy takes resources in an envelope that tells their lifetime. */
    SotwSubscription(ResourceType type, String noncePrefix, boolean wrapped) {
        super(type, noncePrefix);
        this.wrapped = wrapped;
    }

    @Override
    boolean says(Map<String, Resource> resources, Set<String> absent) {
        return type.whole() || !resources.isEmpty();
    }

    /** Responses are worked off in order; a proxy that answers for the last alone would have refused an earlier one. */
    @Override
    boolean answersForEarlier() {
        return true;
    }

    @Override
    boolean whole() {
        return type.whole();
    }

    @Override
    void request(DiscoveryRequest request) {
        String nonce = request.getResponseNonce();
        if (opened && !nonce.isEmpty()) {
            boolean last = isLast(nonce);
            answered(nonce, request.hasErrorDetail() ? request.getErrorDetail() : null);
            if (!last) {
                return; // stale: a request for the latest response is on its way (xDS protocol, "ACK and resource
                // updates")
            }
        }
        List<String> asked = request.getResourceNamesList();
        // No names mean all, but only as long as the stream never named any (xDS protocol, "How the client specifies
        // what
        // resources to return").
        named |= !asked.isEmpty();
        boolean all = asked.contains(ALL) || type.whole() && !named;
        if (!opened) {
            open();
        }
        if (all != wildcard) {
            wildcard(all);
        }
        Set<String> wanted = new HashSet<>(asked);
        wanted.remove(ALL);
        List.copyOf(names).stream().filter(name -> !wanted.contains(name)).forEach(this::unsubscribe);
        asked.stream()
                .filter(name -> !name.equals(ALL) && !names.contains(name))
                .forEach(this::subscribe);
    }

    @Override
    DiscoveryResponse response(String nonce, ConfigSnapshot view, Map<String, Resource> resources, Set<String> absent) {
        DiscoveryResponse.Builder response = DiscoveryResponse.newBuilder()
                .setTypeUrl(type.url())
                .setNonce(nonce)
                .setVersionInfo(version(view));
        for (Resource each : resources.values()) {
            response.addResources(
                    wrapped && each.ttlMs() > 0
                            ? Any.pack(envelope(each, response.getVersionInfo())
                                    .setResource(each.body())
                                    .build())
                            : each.body());
        }
        return response.build();
    }

    @Override
    DiscoveryResponse heartbeat(String nonce, ConfigSnapshot view, List<Resource> resources) {
        DiscoveryResponse.Builder response = DiscoveryResponse.newBuilder()
                .setTypeUrl(type.url())
                .setNonce(nonce)
                .setVersionInfo(version(view));
        resources.forEach(each -> response.addResources(
                Any.pack(envelope(each, response.getVersionInfo()).build())));
        return response.build();
    }

    private static io.envoyproxy.envoy.service.discovery.v3.Resource.Builder envelope(
            Resource resource, String version) {
        return io.envoyproxy.envoy.service.discovery.v3.Resource.newBuilder()
                .setName(resource.name())
                .setVersion(version)
                .setTtl(resource.ttl());
    }

    /** A version of the set that is subscribed to, from the versions of what is in it alone. */
    private String version(ConfigSnapshot view) {
        long sum = 0;
        if (wildcard) {
            for (Resource each : view.all(type).values()) {
                sum += each.weight();
            }
        } else {
            for (String name : names) {
                Resource each = view.get(type, name);
                sum += each == null ? 0 : each.weight();
            }
        }
        return String.format("%016x", sum);
    }
}
