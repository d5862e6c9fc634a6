package opalcove.control.cluster;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.Backend;
import opalcove.decision.EndpointState;

/**
 * Drains under way: when each was told, and what proxies have reported of the node since. Those of a node that left the list
 * are kept for a minute, and one of a node that takes work again is called off.
 */
public final class DrainTracker {
    /** How long a drain is told of after its node has left the list, ms. */
    private static final double KEEP_MS = 60_000;
    /** Uses of more proxies than this are not kept for one drain; the eldest goes. */
    private static final int MOST_USES = 10_000;

    /**
     * What a proxy reported of a draining node.
     *
     * @param lastIssuedMs when it last told of new work there; negative infinity: never since the drain
     * @param inProgress what it had in hand there when it last reported
     */
    public record Use(double lastIssuedMs, long inProgress) {}

    /**
     * A node that was told to take nothing new.
     *
     * @param sinceMs when it was told
     * @param serials by room, the serial of the first view that says so; a room that is not there: 1
     * @param uses by proxy
     */
    public record Drain(String node, double sinceMs, Map<String, Long> serials, Map<String, Use> uses) {
        /** The serial that a proxy of that room must have answered for. */
        public long serial(String room) {
            return serials.getOrDefault(room, 1L);
        }
    }

    private final Map<String, Drain> drains = new LinkedHashMap<>();

    /** All drains, eldest first. */
    public List<Drain> all() {
        return List.copyOf(drains.values());
    }

    /** Takes in the list as it is now, and the serials of the views that say so, by room. */
    void look(double now, Map<String, Backend> nodes, Map<String, Long> serials) {
        drains.values()
                .removeIf(drain -> nodes.containsKey(drain.node())
                        ? nodes.get(drain.node()).host().state() == EndpointState.UP
                        : now - drain.sinceMs() > KEEP_MS);
        nodes.values().stream()
                .filter(node -> node.host().state() == EndpointState.DRAINING)
                .forEach(node -> drains.computeIfAbsent(
                        node.name(), name -> new Drain(name, now, Map.copyOf(serials), eldestOut())));
    }

    private static Map<String, Use> eldestOut() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Use> eldest) {
                return size() > MOST_USES;
            }
        };
    }

    /** Takes in a proxy's report of a node since its last one. */
    void used(double now, String proxy, String node, long issued, long inProgress) {
        Drain drain = drains.get(node);
        if (drain != null) {
            Use before = drain.uses().get(proxy);
            double last = issued > 0 ? now : before == null ? Double.NEGATIVE_INFINITY : before.lastIssuedMs();
            drain.uses().put(proxy, new Use(last, inProgress));
        }
    }
}
