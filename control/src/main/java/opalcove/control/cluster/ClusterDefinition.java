package opalcove.control.cluster;

import java.util.Set;
import opalcove.decision.Endpoint;

/**
 * A cluster as proxies know it: the endpoints of some kinds and pods.
 *
 * @param name its name
 * @param kinds the kinds of machine that are in it; empty: all
 * @param pods the pods that are in it; empty: all
 * @param leaseMs lifetime of its endpoints unless it is renewed, ms; 0: unlimited
 */
public record ClusterDefinition(String name, Set<String> kinds, Set<Integer> pods, long leaseMs) {
    boolean includes(Endpoint endpoint) {
        return (kinds.isEmpty() || kinds.contains(endpoint.kind()))
                && (pods.isEmpty() || pods.contains(endpoint.cell()));
    }
}
