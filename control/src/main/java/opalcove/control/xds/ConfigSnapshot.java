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
 * What proxies of one kind are to know, as it stands after some number of changes. Immutable; the next view is made of this
 * one and what changed. It remembers which names its last changes touched, so that telling a proxy costs what has changed.
 */
public final class ConfigSnapshot {
    /** So many changes back it knows what they touched; a stream that is further behind compares all. */
    private static final int REMEMBERED = 128;
    /** The view before any change. */
    public static final ConfigSnapshot EMPTY = new ConfigSnapshot(null, 0, Map.of());

    /** A type's resources, and the names touched by its last changes, oldest first. */
    private record Kind(Map<String, Resource> all, List<Touched> recent, long since) {
        static final Kind NONE = new Kind(Map.of(), List.of(), 0);
    }

    private record Touched(long serial, Set<String> names) {}

    /** All views made of one another have the same; serials of others are not to be compared. */
    private final Object line;

    private final long serial;
    private final Map<ResourceType, Kind> kinds;

    private ConfigSnapshot(Object line, long serial, Map<ResourceType, Kind> kinds) {
        this.line = line;
        this.serial = serial;
        this.kinds = kinds;
    }

    /** Counts the changes that led here; never told to proxies. */
    public long serial() {
        return serial;
    }

    Object line() {
        return line;
    }

    /** The resource with that name, or null. */
    public Resource get(ResourceType type, String name) {
        return kind(type).all.get(name);
    }

    /** All resources of a type, by name. */
    public Map<String, Resource> all(ResourceType type) {
        return kind(type).all;
    }

    private Kind kind(ResourceType type) {
        return kinds.getOrDefault(type, Kind.NONE);
    }

    /** The names of a type that were touched after that serial, or null where that is too long ago to tell. */
    Set<String> touchedSince(ResourceType type, long since) {
        Kind kind = kind(type);
        if (since < kind.since) {
            return null;
        }
        List<Touched> recent = kind.recent;
        int from = recent.size();
        while (from > 0 && recent.get(from - 1).serial > since) {
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

    /** The view with these resources set and these names removed by type; this one where that changes nothing. */
    public ConfigSnapshot with(Collection<Resource> set, Map<ResourceType, ? extends Collection<String>> removed) {
        Map<ResourceType, Set<String>> touched = new EnumMap<>(ResourceType.class);
        Map<ResourceType, Map<String, Resource>> changed = new EnumMap<>(ResourceType.class);
        for (Resource each : set) {
            Resource before = get(each.type(), each.name());
            if (before == null || !before.version().equals(each.version())) {
                changed.computeIfAbsent(each.type(), type -> new HashMap<>(all(type)))
                        .put(each.name(), each);
                touched.computeIfAbsent(each.type(), type -> new LinkedHashSet<>())
                        .add(each.name());
            }
        }
        removed.forEach((type, names) -> names.forEach(name -> {
            if (get(type, name) != null) {
                changed.computeIfAbsent(type, any -> new HashMap<>(all(any))).remove(name);
                touched.computeIfAbsent(type, any -> new LinkedHashSet<>()).add(name);
            }
        }));
        if (changed.isEmpty()) {
            return this;
        }
        Map<ResourceType, Kind> next = new EnumMap<>(ResourceType.class);
        next.putAll(kinds);
        changed.forEach((type, all) -> {
            Kind before = kind(type);
            List<Touched> recent = new ArrayList<>(before.recent);
            long since = before.since;
            if (recent.size() == REMEMBERED) {
                since = recent.remove(0).serial;
            }
            recent.add(new Touched(serial + 1, Collections.unmodifiableSet(touched.get(type))));
            next.put(type, new Kind(Collections.unmodifiableMap(all), List.copyOf(recent), since));
        });
        return new ConfigSnapshot(line == null ? new Object() : line, serial + 1, next);
    }

    /** This view with what an earlier one has of a type beside; this one where there is nothing to keep. */
    ConfigSnapshot keeping(ConfigSnapshot earlier, ResourceType type) {
        Kind now = kind(type);
        if (earlier.kind(type) == now
                || now.all.keySet().containsAll(earlier.all(type).keySet())) {
            return this;
        }
        Map<String, Resource> all = new HashMap<>(earlier.all(type));
        all.putAll(now.all);
        Map<ResourceType, Kind> next = new EnumMap<>(ResourceType.class);
        next.putAll(kinds);
        next.put(type, new Kind(Collections.unmodifiableMap(all), now.recent, now.since));
        return new ConfigSnapshot(line, serial, next);
    }
}
