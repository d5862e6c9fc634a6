package opalcove.control.xds;

import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The incremental variant of the protocol: a response holds only changed resources, each with its own version, and the
 * names of removed resources.
 *
 * <p>Owned by the thread that calls its {@link XdsStream}.
 */
final class DeltaSubscription extends ResourceSubscription<DeltaDiscoveryRequest, DeltaDiscoveryResponse> {
    DeltaSubscription(ResourceType type, String noncePrefix) {
        super(type, noncePrefix);
    }

    /** Returns false: each response is acknowledged separately (xDS protocol, "Incremental xDS"). */
    @Override
    boolean acknowledgesCumulatively() {
        return false;
    }

    @Override
    boolean sendsCompleteState() {
        return false;
    }

    @Override
    void onRequest(DeltaDiscoveryRequest request) {
        if (!request.getResponseNonce().isEmpty()) {
            onAcknowledged(request.getResponseNonce(), request.hasErrorDetail() ? request.getErrorDetail() : null);
        }
        boolean first = !isOpened();
        if (first) {
            open();
            // A resource that the client retained from an earlier stream is not sent again in the same version.
            request.getInitialResourceVersionsMap().forEach(this::onInitialVersion);
            if (request.getResourceNamesSubscribeCount() == 0 && type.isCompleteInSotw()) {
                setWildcard(true);
            }
        }
        for (String name : request.getResourceNamesUnsubscribeList()) {
            if (!isWildcardName(name)) {
                unsubscribe(name);
            } else if (isWildcard()) {
                setWildcard(false);
            }
        }
        for (String name : request.getResourceNamesSubscribeList()) {
            if (isWildcardName(name)) {
                setWildcard(true);
            } else if (first && request.containsInitialResourceVersions(name)) {
                resume(name);
            } else {
                subscribe(name);
            }
        }
    }

    @Override
    boolean isMeaningful(Map<String, Resource> resources, Set<String> absent) {
        return isWildcard() || !resources.isEmpty() || !absent.isEmpty();
    }

    @Override
    DeltaDiscoveryResponse renewal(String nonce, ConfigSnapshot snapshot, List<Resource> resources) {
        DeltaDiscoveryResponse.Builder response = builder(nonce);
        resources.forEach(each -> addWrapper(response, each).setTtl(each.ttl()));
        return response.build();
    }

    @Override
    DeltaDiscoveryResponse response(
            String nonce, ConfigSnapshot snapshot, Map<String, Resource> resources, Set<String> absent) {
        DeltaDiscoveryResponse.Builder response = builder(nonce).addAllRemovedResources(absent);
        for (Resource each : resources.values()) {
            io.envoyproxy.envoy.service.discovery.v3.Resource.Builder resource =
                    addWrapper(response, each).setResource(each.body());
            if (each.ttlMs() > 0) {
                resource.setTtl(each.ttl());
            }
        }
        return response.build();
    }

    private DeltaDiscoveryResponse.Builder builder(String nonce) {
        return DeltaDiscoveryResponse.newBuilder().setTypeUrl(type.url()).setNonce(nonce);
    }

    private static io.envoyproxy.envoy.service.discovery.v3.Resource.Builder addWrapper(
            DeltaDiscoveryResponse.Builder response, Resource resource) {
        return response.addResourcesBuilder().setName(resource.name()).setVersion(resource.version());
    }
}
