package opalcove.control.cluster;

import java.util.Set;
import opalcove.decision.Endpoint;

/**
 * A cluster of the endpoints of certain kinds and pods.
 *
 * @param name its name
 * @param kinds the kinds of machine in the cluster; empty: all
 * @param pods the pods in the cluster; empty: all
 * @param leaseMs lifetime of its endpoints without renewal, ms; 0: unlimited
 */
public record ClusterDefinition(String name, Set<String> kinds, Set<Integer> pods, long leaseMs) {
    boolean includes(Endpoint endpoint) {
        return (kinds.isEmpty() || kinds.contains(endpoint.kind()))
                && (pods.isEmpty() || pods.contains(endpoint.cell()));
    }
}
