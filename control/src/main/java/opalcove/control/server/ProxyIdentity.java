package opalcove.control.server;

import io.envoyproxy.envoy.config.core.v3.Node;
import java.util.Set;

/**
 * How a proxy identifies itself in the first request of a stream (xDS protocol, "node"); later ones may leave that out.
 *
 * @param proxyId identifies one proxy; empty if it gives none
 * @param cluster the group of proxies that it belongs to
 * @param zone the zone that it runs in
 * @param features the client features that it supports
 */
record ProxyIdentity(String proxyId, String cluster, String zone, Set<String> features) {
    /** It takes resources of state-of-the-world responses in an envelope with a lifetime. */
    private static final String RESOURCE_IN_SOTW = "xds.config.resource-in-sotw";

    static ProxyIdentity from(Node node) {
        return new ProxyIdentity(
                node.getId(),
                node.getCluster(),
                node.getLocality().getZone(),
                Set.copyOf(node.getClientFeaturesList()));
    }

    boolean takesEnvelopes() {
        return features.contains(RESOURCE_IN_SOTW);
    }
}
