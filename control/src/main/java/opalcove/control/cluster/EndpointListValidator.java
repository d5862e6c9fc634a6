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
 * Validates updates of the endpoint list. Guards proxies against a source that is empty, truncated or newly started: if
 * a complete list lacks more than a configured share of the backends, its additions and changes are applied, but the
 * missing backends stay until an operator overrides the limit or a list contains them again. Changes to a backend that
 * a list names (draining, removed, moved) are always applied.
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
     * @param maxShrink the share of the backends that one complete list may omit, 0 to 1
     */
    EndpointListValidator(double maxShrink) {
        if (!(maxShrink >= 0 && maxShrink <= 1)) {
            throw new IllegalArgumentException("maxShrink " + maxShrink + " is not from 0 to 1");
        }
        this.maxShrink = maxShrink;
    }

    /** Applies an update and returns the resulting list. */
    List<Backend> apply(EndpointUpdate update) {
        Set<String> named = update.backends().stream().map(Backend::name).collect(Collectors.toSet());
        if (update.complete()) {
            removeMissing(named, update.overridesShrinkLimit());
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

    private void removeMissing(Set<String> named, boolean overridesShrinkLimit) {
        Set<String> lacking = new HashSet<>(backends.keySet());
        lacking.removeAll(named);
        // One missing backend is within the limit even if it exceeds the share of a small list, but not the last
        // backend.
        double maxLacking = Math.max(Math.min(1, backends.size() - 1), maxShrink * backends.size());
        if (overridesShrinkLimit || lacking.size() <= maxLacking) {
            backends.keySet().removeAll(lacking);
            missing = Set.of();
        } else {
            missing = Set.copyOf(lacking);
        }
    }

    /**
     * Returns the backends that the last complete list lacked and that were not removed, for inspection by operators.
     */
    Set<String> missing() {
        return missing;
    }
}
