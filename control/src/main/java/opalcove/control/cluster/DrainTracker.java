package opalcove.control.cluster;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.Backend;
import opalcove.decision.EndpointState;

/**
 * The drains under way: since when each backend drains, and what proxies have reported of it since. A drain is kept for a while
 * after its backend has left the list, and ends at once if the backend takes new work again.
 *
 * <p>Owned by the thread of its {@link ClusterState}.
 */
public final class DrainTracker {
    /** How long a drain is kept after it began if its backend has left the list. */
    private static final double RETENTION_MS = 60_000;
    /** Beyond this many proxies for one drain the report of the oldest is dropped. */
    private static final int MAX_CLIENTS = 10_000;

    /**
     * What a proxy reported of a draining backend.
     *
     * @param lastIssuedMs when it last reported new work there; negative infinity: never since the drain began
     * @param inProgress requests in flight there at its last report
     */
    public record ClientUse(double lastIssuedMs, long inProgress) {}

    /**
     * A backend that takes no new work.
     *
     * @param backend its name
     * @param sinceMs when the drain began
     * @param revisions by zone, the revision of the first snapshot that shows the drain; a zone that is not there: 1
     * @param uses by the identifier of the proxy
     */
    public record Drain(String backend, double sinceMs, Map<String, Long> revisions, Map<String, ClientUse> uses) {
        /** The snapshot revision that a proxy of this zone must have acknowledged to know of the drain. */
        public long requiredRevision(String zone) {
            return revisions.getOrDefault(zone, 1L);
        }
    }

    private final Map<String, Drain> drains = new LinkedHashMap<>();

    /** All drains, oldest first. */
    List<Drain> all() {
        return List.copyOf(drains.values());
    }

    /**
     * Applies the endpoint list as it is now.
     *
     * @param backends by name
     * @param revisions the revisions of the snapshots that show this list, by zone
     */
    void update(double nowMs, Map<String, Backend> backends, Map<String, Long> revisions) {
        drains.values()
                .removeIf(drain -> backends.containsKey(drain.backend())
                        ? backends.get(drain.backend()).endpoint().state() == EndpointState.UP
                        : nowMs - drain.sinceMs() > RETENTION_MS);
        backends.values().stream()
                .filter(backend -> backend.endpoint().state() == EndpointState.DRAINING)
                .forEach(backend -> drains.computeIfAbsent(
                        backend.name(), name -> new Drain(name, nowMs, Map.copyOf(revisions), boundedUses())));
    }

    private static Map<String, ClientUse> boundedUses() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, ClientUse> eldest) {
                return size() > MAX_CLIENTS;
            }
        };
    }

    /** Applies a proxy's report of a backend; without a drain of that backend it has no effect. */
    void onLoadReport(double nowMs, String proxyId, String backend, EndpointLoad load) {
        Drain drain = drains.get(backend);
        if (drain != null) {
            ClientUse before = drain.uses().get(proxyId);
            double lastIssuedMs = before == null ? Double.NEGATIVE_INFINITY : before.lastIssuedMs();
            drain.uses().put(proxyId, new ClientUse(load.issued() > 0 ? nowMs : lastIssuedMs, load.inProgress()));
        }
    }
}
