package opalcove.control.server;

import io.envoyproxy.envoy.config.core.v3.Node;
import java.util.Set;

/**
 * The identity that a proxy states in the first request of a stream (xDS protocol, "node"); later requests may omit it.
 *
 * @param proxyId identifier of the proxy; empty if it states none
 * @param cluster the group of proxies that the proxy belongs to
 * @param zone the zone that the proxy runs in
 * @param features the client features that the proxy supports
 */
record ProxyIdentity(String proxyId, String cluster, String zone, Set<String> features) {
    /**
     * Feature of clients that accept state-of-the-world resources wrapped in a Resource message, which carries a
     * lifetime.
     */
    private static final String RESOURCE_IN_SOTW = "xds.config.resource-in-sotw";

    static ProxyIdentity from(Node node) {
        return new ProxyIdentity(
                node.getId(),
                node.getCluster(),
                node.getLocality().getZone(),
                Set.copyOf(node.getClientFeaturesList()));
    }

    boolean supportsWrappedResources() {
        return features.contains(RESOURCE_IN_SOTW);
    }
}
