package opalcove.control.xds;

import com.google.protobuf.Any;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state-of-the-world variant. The first response on a stream holds all resources subscribed to, whatever version the
 * request names: that is the version the client accepted last, which does not say what it has kept since.
 *
 * <p>Owned by the thread of its {@link XdsStream}.
 */
final class SotwSubscription extends ResourceSubscription<DiscoveryRequest, DiscoveryResponse> {
    private final boolean enveloped;
    private boolean everNamed;

    /**
     * Opens a subscription.
     *
     * @param enveloped whether the client takes resources in an envelope that carries their lifetime
     */
    SotwSubscription(ResourceType type, String noncePrefix, boolean enveloped) {
        super(type, noncePrefix);
        this.enveloped = enveloped;
    }

    @Override
    boolean isMeaningful(Map<String, Resource> resources, Set<String> absent) {
        return type.isCompleteInSotw() || !resources.isEmpty();
    }

    /** A client handles responses in order, so one that acknowledges only the last would have rejected an earlier one. */
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
                // Stale: a request for the latest response is on its way (xDS protocol, "ACK and resource updates").
                return;
            }
        }
        List<String> requested = request.getResourceNamesList();
        // No names mean all, but only as long as the stream never named any (xDS protocol, "How the client specifies
        // what resources to return").
        everNamed |= !requested.isEmpty();
        boolean all = requested.stream().anyMatch(ResourceSubscription::isWildcardName)
                || type.isCompleteInSotw() && !everNamed;
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
                    enveloped && each.ttlMs() > 0
                            ? Any.pack(envelope(each, response.getVersionInfo())
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
                Any.pack(envelope(each, response.getVersionInfo()).build())));
        return response.build();
    }

    private DiscoveryResponse.Builder builder(String nonce, ConfigSnapshot snapshot) {
        return DiscoveryResponse.newBuilder()
                .setTypeUrl(type.url())
                .setNonce(nonce)
                .setVersionInfo(version(snapshot));
    }

    private static io.envoyproxy.envoy.service.discovery.v3.Resource.Builder envelope(
            Resource resource, String version) {
        return io.envoyproxy.envoy.service.discovery.v3.Resource.newBuilder()
                .setName(resource.name())
                .setVersion(version)
                .setTtl(resource.ttl());
    }

    /** A version of the set subscribed to, from the versions of the resources in it alone. */
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
