package opalcove.control.xds;

import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The incremental variant: only what changed is told, with a version for each resource, and what is gone by its name. */
final class DeltaSubscription extends ResourceSubscription<DeltaDiscoveryRequest, DeltaDiscoveryResponse> {
    private static final String ALL = "*";

    DeltaSubscription(ResourceType type, String noncePrefix) {
        super(type, noncePrefix);
    }

    /** Each response has an answer of its own (xDS protocol, "Incremental xDS"). */
    @Override
    boolean answersForEarlier() {
        return false;
    }

    @Override
    boolean whole() {
        return false;
    }

    @Override
    void request(DeltaDiscoveryRequest request) {
        if (!request.getResponseNonce().isEmpty()) {
            answered(request.getResponseNonce(), request.hasErrorDetail() ? request.getErrorDetail() : null);
        }
        boolean first = !opened;
        if (first) {
            open();
            // What the proxy kept from an earlier stream is not told again in the version it has.
            request.getInitialResourceVersionsMap().forEach(this::has);
            if (request.getResourceNamesSubscribeCount() == 0 && type.whole()) {
                wildcard(true);
            }
        }
        for (String name : request.getResourceNamesUnsubscribeList()) {
            if (!name.equals(ALL)) {
                unsubscribe(name);
            } else if (wildcard) {
                wildcard(false);
            }
        }
        for (String name : request.getResourceNamesSubscribeList()) {
            if (name.equals(ALL)) {
                wildcard(true);
            } else if (first && request.containsInitialResourceVersions(name)) {
                names.add(name);
            } else {
                subscribe(name);
            }
        }
    }

    @Override
    boolean says(Map<String, Resource> resources, Set<String> absent) {
        return wildcard || !resources.isEmpty() || !absent.isEmpty();
    }

    @Override
    DeltaDiscoveryResponse heartbeat(String nonce, ConfigSnapshot view, List<Resource> resources) {
        DeltaDiscoveryResponse.Builder response =
                DeltaDiscoveryResponse.newBuilder().setTypeUrl(type.url()).setNonce(nonce);
        resources.forEach(each -> response.addResourcesBuilder()
                .setName(each.name())
                .setVersion(each.version())
                .setTtl(each.ttl()));
        return response.build();
    }

    @Override
    DeltaDiscoveryResponse response(
            String nonce, ConfigSnapshot view, Map<String, Resource> resources, Set<String> absent) {
        DeltaDiscoveryResponse.Builder response = DeltaDiscoveryResponse.newBuilder()
                .setTypeUrl(type.url())
                .setNonce(nonce)
                .addAllRemovedResources(absent);
        for (Resource each : resources.values()) {
            io.envoyproxy.envoy.service.discovery.v3.Resource.Builder resource = response.addResourcesBuilder()
                    .setName(each.name())
                    .setVersion(each.version())
                    .setResource(each.body());
            if (each.ttlMs() > 0) {
                resource.setTtl(each.ttl());
            }
        }
        return response.build();
    }
}
