package opalcove.control.xds;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All resources for one group of proxies at one revision. Immutable; the next snapshot is built from this one and the
 * changes. A snapshot records the resource names that its most recent changes affected, so that the cost of an update
 * to a proxy depends on the number of changes and not on the number of resources.
 */
public final class ConfigSnapshot {
    /** Number of recorded changes per type; a stream that is further behind compares all resources. */
    private static final int MAX_RECORDED_CHANGES = 128;
    /** The snapshot before any change. */
    public static final ConfigSnapshot EMPTY = new ConfigSnapshot(null, 0, Map.of());

    /**
     * The resources of one type and their recent changes.
     *
     * @param resources by name
     * @param recent the most recent changes, oldest first
     * @param comparableSince the lowest revision since which {@code recent} holds all changes
     */
    private record TypeState(Map<String, Resource> resources, List<Change> recent, long comparableSince) {
        static final TypeState NONE = new TypeState(Map.of(), List.of(), 0);
    }

    private record Change(long revision, Set<String> names) {}

    private final Object lineage;
    private final long revision;
    private final Map<ResourceType, TypeState> types;

    private ConfigSnapshot(Object lineage, long revision, Map<ResourceType, TypeState> types) {
        this.lineage = lineage;
        this.revision = revision;
        this.types = types;
    }

    /**
     * Returns the number of changes since the empty snapshot. Comparable only within one {@link #lineage}; not sent to
     * proxies.
     */
    public long revision() {
        return revision;
    }

    /** Returns an object that all snapshots built from one another share. */
    Object lineage() {
        return lineage;
    }

    /** Returns the resource with this name, or null if there is none. */
    public Resource resource(ResourceType type, String name) {
        return state(type).resources.get(name);
    }

    /** Returns all resources of a type, by name. */
    public Map<String, Resource> resources(ResourceType type) {
        return state(type).resources;
    }

    private TypeState state(ResourceType type) {
        return types.getOrDefault(type, TypeState.NONE);
    }

    /**
     * Returns the names of a type that changed after a revision, or null if the recorded changes do not reach back that
     * far.
     */
    Set<String> namesChangedSince(ResourceType type, long since) {
        TypeState state = state(type);
        if (since < state.comparableSince) {
            return null;
        }
        List<Change> recent = state.recent;
        int from = recent.size();
        while (from > 0 && recent.get(from - 1).revision > since) {
            from--;
        }
        if (from == recent.size()) {
            return Set.of();
        }
        if (from == recent.size() - 1) {
            return recent.get(from).names;
        }
        Set<String> names = new LinkedHashSet<>();
        recent.subList(from, recent.size()).forEach(each -> names.addAll(each.names));
        return names;
    }

    /**
     * Returns the next snapshot, or this one if nothing changes.
     *
     * @param set resources to add; each replaces the resource of the same type and name, if any
     * @param removed names of the resources to remove, by type
     */
    public ConfigSnapshot with(Collection<Resource> set, Map<ResourceType, ? extends Collection<String>> removed) {
        Map<ResourceType, Set<String>> changedNames = new EnumMap<>(ResourceType.class);
        Map<ResourceType, Map<String, Resource>> changed = new EnumMap<>(ResourceType.class);
        for (Resource each : set) {
            Resource before = resource(each.type(), each.name());
            if (before == null || !before.version().equals(each.version())) {
                copyOnFirstChange(changed, each.type()).put(each.name(), each);
                namesOfType(changedNames, each.type()).add(each.name());
            }
        }
        removed.forEach((type, names) -> names.forEach(name -> {
            if (resource(type, name) != null) {
                copyOnFirstChange(changed, type).remove(name);
                namesOfType(changedNames, type).add(name);
            }
        }));
        if (changed.isEmpty()) {
            return this;
        }
        Map<ResourceType, TypeState> next = copyOfTypes();
        changed.forEach((type, resources) -> next.put(type, stateAfterChange(type, resources, changedNames.get(type))));
        return new ConfigSnapshot(lineage == null ? new Object() : lineage, revision + 1, next);
    }

    private Map<String, Resource> copyOnFirstChange(
            Map<ResourceType, Map<String, Resource>> changed, ResourceType type) {
        return changed.computeIfAbsent(type, key -> new HashMap<>(resources(key)));
    }

    private static Set<String> namesOfType(Map<ResourceType, Set<String>> changedNames, ResourceType type) {
        return changedNames.computeIfAbsent(type, key -> new LinkedHashSet<>());
    }

    private Map<ResourceType, TypeState> copyOfTypes() {
        Map<ResourceType, TypeState> copy = new EnumMap<>(ResourceType.class);
        copy.putAll(types);
        return copy;
    }

    private TypeState stateAfterChange(ResourceType type, Map<String, Resource> resources, Set<String> names) {
        TypeState before = state(type);
        List<Change> recent = new ArrayList<>(before.recent);
        long comparableSince = before.comparableSince;
        if (recent.size() == MAX_RECORDED_CHANGES) {
            comparableSince = recent.remove(0).revision;
        }
        recent.add(new Change(revision + 1, Collections.unmodifiableSet(names)));
        return new TypeState(Collections.unmodifiableMap(resources), List.copyOf(recent), comparableSince);
    }

    /**
     * Returns this snapshot plus the resources of a type that only the earlier snapshot has; this snapshot if there are
     * none.
     */
    ConfigSnapshot withRetained(ConfigSnapshot earlier, ResourceType type) {
        TypeState now = state(type);
        if (earlier.state(type) == now
                || now.resources.keySet().containsAll(earlier.resources(type).keySet())) {
            return this;
        }
        Map<String, Resource> resources = new HashMap<>(earlier.resources(type));
        resources.putAll(now.resources);
        Map<ResourceType, TypeState> next = copyOfTypes();
        next.put(type, new TypeState(Collections.unmodifiableMap(resources), now.recent, now.comparableSince));
        return new ConfigSnapshot(lineage, revision, next);
    }
}
