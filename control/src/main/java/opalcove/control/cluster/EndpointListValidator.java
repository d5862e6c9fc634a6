package opalcove.control.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import opalcove.config.Backend;
import opalcove.decision.EndpointState;

/**
 * The node list as it may be believed. Guards proxies against a source that is empty, torn or new: a whole list that lacks more
 * than a set share of the nodes at once is taken in as far as it adds and changes, and what it lacks stays until the operators
 * override, or the nodes come back. What a list says of a node by name (drained, removed, moved) is always obeyed.
 */
public final class EndpointListValidator {
    private final double mostShrink;
    private final Map<String, Backend> nodes = new LinkedHashMap<>();
    private Set<String> missing = Set.of();

    /** Most: the share of the nodes that may vanish from a whole list at once, 0 to 1. */
    public EndpointListValidator(double mostShrink) {
        if (!(mostShrink >= 0 && mostShrink <= 1)) {
            throw new IllegalArgumentException("the share " + mostShrink + " is not from 0 to 1");
        }
        this.mostShrink = mostShrink;
    }

    /** Takes in a whole list, or changed lines; override: nodes that it lacks are gone, however many. Gives the list. */
    public List<Backend> told(boolean whole, boolean override, List<Backend> lines) {
        Map<String, Backend> told = new HashMap<>();
        lines.forEach(line -> told.put(line.name(), line));
        if (whole) {
            Set<String> lacking = new HashSet<>(nodes.keySet());
            lacking.removeAll(told.keySet());
            // One node of a few may always leave, but never the last.
            double most = Math.max(Math.min(1, nodes.size() - 1), mostShrink * nodes.size());
            if (override || lacking.size() <= most) {
                nodes.keySet().removeAll(lacking);
                missing = Set.of();
            } else {
                missing = Set.copyOf(lacking);
            }
        }
        for (Backend line : lines) {
            if (line.host().state() == EndpointState.REMOVED) {
                nodes.remove(line.name());
            } else {
                nodes.put(line.name(), line);
            }
        }
        if (!missing.isEmpty()) {
            Set<String> still = new HashSet<>(missing);
            still.retainAll(nodes.keySet());
            still.removeAll(told.keySet());
            missing = Set.copyOf(still);
        }
        return new ArrayList<>(nodes.values());
    }

    /** The nodes that the last whole list lacked and that are kept nonetheless, for the operators to look at. */
    public Set<String> missing() {
        return missing;
    }
}
