package opalcove.control.cluster;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import opalcove.config.Backend;
import opalcove.decision.EndpointState;

/**
 * The endpoint list as far as it is trusted. Guards proxies against a source that is empty, torn or new: a complete list that
 * lacks more than a set share of the backends at once is applied as far as it adds and changes, and what it lacks stays until
 * the operators override this, or the list has it again. What a list says of a backend by name (draining, removed, moved) is
 * always applied.
 *
 * <p>Owned by the thread of its {@link ClusterState}.
 */
final class EndpointListValidator {
    private final double maxShrink;
    private final Map<String, Backend> backends = new LinkedHashMap<>();
    private Set<String> missing = Set.of();

    /**
     * Starts with an empty list.
     *
     * @param maxShrink the share of the backends that a complete list may lack at once, 0 to 1
     */
    EndpointListValidator(double maxShrink) {
        if (!(maxShrink >= 0 && maxShrink <= 1)) {
            throw new IllegalArgumentException("the share " + maxShrink + " is not from 0 to 1");
        }
        this.maxShrink = maxShrink;
    }

    /** Applies an update and returns the list after it. */
    List<Backend> apply(EndpointUpdate update) {
        Set<String> named = update.backends().stream().map(Backend::name).collect(Collectors.toSet());
        if (update.complete()) {
            dropMissing(named, update.overridesShrinkLimit());
        }
        for (Backend backend : update.backends()) {
            if (backend.endpoint().state() == EndpointState.REMOVED) {
                backends.remove(backend.name());
            } else {
                backends.put(backend.name(), backend);
            }
        }
        if (!missing.isEmpty()) {
            Set<String> stillMissing = new HashSet<>(missing);
            stillMissing.retainAll(backends.keySet());
            stillMissing.removeAll(named);
            missing = Set.copyOf(stillMissing);
        }
        return new ArrayList<>(backends.values());
    }

    private void dropMissing(Set<String> named, boolean overridesShrinkLimit) {
        Set<String> lacking = new HashSet<>(backends.keySet());
        lacking.removeAll(named);
        // One backend of a few may always leave, but never the last.
        double maxLacking = Math.max(Math.min(1, backends.size() - 1), maxShrink * backends.size());
        if (overridesShrinkLimit || lacking.size() <= maxLacking) {
            backends.keySet().removeAll(lacking);
            missing = Set.of();
        } else {
            missing = Set.copyOf(lacking);
        }
    }

    /** The backends that the last complete list lacked and that stay nonetheless, for the operators to look at. */
    Set<String> missing() {
        return missing;
    }
}
