package opalcove.control.xds;

import com.google.protobuf.Any;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state-of-the-world variant of the protocol. The first response on a stream holds all subscribed resources,
 * regardless of the version in the request: this is the version that the client accepted last, which does not show the
 * resources it still has.
 *
 * <p>Owned by the thread that calls its {@link XdsStream}.
 */
final class SotwSubscription extends ResourceSubscription<DiscoveryRequest, DiscoveryResponse> {
    private final boolean wrapsResources;
    private boolean hasSubscribedByName;

    /**
     * Creates the state of one type.
     *
     * @param wrapsResources whether the client accepts resources wrapped in a Resource message, which carries their
     *     lifetime
     */
    SotwSubscription(ResourceType type, String noncePrefix, boolean wrapsResources) {
        super(type, noncePrefix);
        this.wrapsResources = wrapsResources;
    }

    @Override
    boolean isMeaningful(Map<String, Resource> resources, Set<String> absent) {
        return type.isCompleteInSotw() || !resources.isEmpty();
    }

    /** Returns true: a client handles responses in order, and it would have rejected an earlier response separately. */
    @Override
    boolean acknowledgesCumulatively() {
        return true;
    }

    @Override
    boolean sendsCompleteState() {
        return type.isCompleteInSotw();
    }

    @Override
    void onRequest(DiscoveryRequest request) {
        String nonce = request.getResponseNonce();
        if (isOpened() && !nonce.isEmpty()) {
            boolean latest = isLatestNonce(nonce);
            onAcknowledged(nonce, request.hasErrorDetail() ? request.getErrorDetail() : null);
            if (!latest) {
                // Stale: another request, for the latest response, follows (xDS protocol, "ACK and resource updates").
                return;
            }
        }
        List<String> requested = request.getResourceNamesList();
        // An empty list of names subscribes to all resources only if no earlier request of the stream held a name (xDS
        // protocol, "How the client specifies what resources to return").
        hasSubscribedByName |= !requested.isEmpty();
        boolean all = requested.stream().anyMatch(ResourceSubscription::isWildcardName)
                || type.isCompleteInSotw() && !hasSubscribedByName;
        if (!isOpened()) {
            open();
        }
        if (all != isWildcard()) {
            setWildcard(all);
        }
        Set<String> wanted = new HashSet<>(requested);
        wanted.removeIf(ResourceSubscription::isWildcardName);
        List.copyOf(names()).stream().filter(name -> !wanted.contains(name)).forEach(this::unsubscribe);
        requested.stream()
                .filter(name -> !isWildcardName(name) && !names().contains(name))
                .forEach(this::subscribe);
    }

    @Override
    DiscoveryResponse response(
            String nonce, ConfigSnapshot snapshot, Map<String, Resource> resources, Set<String> absent) {
        DiscoveryResponse.Builder response = builder(nonce, snapshot);
        for (Resource each : resources.values()) {
            response.addResources(
                    wrapsResources && each.ttlMs() > 0
                            ? Any.pack(wrapper(each, response.getVersionInfo())
                                    .setResource(each.body())
                                    .build())
                            : each.body());
        }
        return response.build();
    }

    @Override
    DiscoveryResponse renewal(String nonce, ConfigSnapshot snapshot, List<Resource> resources) {
        DiscoveryResponse.Builder response = builder(nonce, snapshot);
        resources.forEach(each -> response.addResources(
                Any.pack(wrapper(each, response.getVersionInfo()).build())));
        return response.build();
    }

    private DiscoveryResponse.Builder builder(String nonce, ConfigSnapshot snapshot) {
        return DiscoveryResponse.newBuilder()
                .setTypeUrl(type.url())
                .setNonce(nonce)
                .setVersionInfo(version(snapshot));
    }

    private static io.envoyproxy.envoy.service.discovery.v3.Resource.Builder wrapper(
            Resource resource, String version) {
        return io.envoyproxy.envoy.service.discovery.v3.Resource.newBuilder()
                .setName(resource.name())
                .setVersion(version)
                .setTtl(resource.ttl());
    }

    /** Returns a version of the set of subscribed resources that depends only on the versions of these resources. */
    private String version(ConfigSnapshot snapshot) {
        long sum = 0;
        if (isWildcard()) {
            for (Resource each : snapshot.resources(type).values()) {
                sum += each.versionNumber();
            }
        } else {
            for (String name : names()) {
                Resource each = snapshot.resource(type, name);
                sum += each == null ? 0 : each.versionNumber();
            }
        }
        return String.format("%016x", sum);
    }
}
