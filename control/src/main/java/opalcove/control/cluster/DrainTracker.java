package opalcove.control.cluster;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.Backend;
import opalcove.decision.EndpointState;

/**
 * The drains in progress: when the drain of each backend began, and the load that proxies have reported for it since
 * then. A drain whose backend was removed from the list is retained for {@link #RETENTION_MS} after its start; a drain
 * ends at once when its backend takes new requests again.
 *
 * <p>Owned by the thread of its {@link ClusterState}.
 */
public final class DrainTracker {
    /** How long a drain whose backend was removed from the list is retained after the drain began, ms. */
    private static final double RETENTION_MS = 60_000;
    /** Maximum number of proxies per drain; beyond it the entry of the proxy that reported first is discarded. */
    private static final int MAX_CLIENTS = 10_000;

    /**
     * The load that a proxy reported for a draining backend.
     *
     * @param lastIssuedMs when the proxy last reported new requests to the backend, ms; negative infinity: never since
     *     the drain began
     * @param inProgress the proxy's requests in flight at the backend in its last report
     */
    public record ClientUse(double lastIssuedMs, long inProgress) {}

    /**
     * The drain of a backend, which takes no new requests.
     *
     * @param backend name of the backend
     * @param sinceMs when the drain began, ms
     * @param revisions revision of the first snapshot that shows the drain, by zone; 1 for a zone that is not in the
     *     map
     * @param uses reported load, by proxy identifier
     */
    public record Drain(String backend, double sinceMs, Map<String, Long> revisions, Map<String, ClientUse> uses) {
        /** Returns the lowest snapshot revision that shows the drain to proxies of this zone. */
        public long requiredRevision(String zone) {
            return revisions.getOrDefault(zone, 1L);
        }
    }

    private final Map<String, Drain> drains = new LinkedHashMap<>();

    /** Returns all drains, oldest first. */
    List<Drain> all() {
        return List.copyOf(drains.values());
    }

    /**
     * Starts and ends drains according to the current endpoint list.
     *
     * @param backends the backends of the list, by name
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

    /** Applies a proxy's load report for a backend. A report for a backend without a drain has no effect. */
    void onLoadReport(double nowMs, String proxyId, String backend, EndpointLoad load) {
        Drain drain = drains.get(backend);
        if (drain != null) {
            ClientUse before = drain.uses().get(proxyId);
            double lastIssuedMs = before == null ? Double.NEGATIVE_INFINITY : before.lastIssuedMs();
            drain.uses().put(proxyId, new ClientUse(load.issued() > 0 ? nowMs : lastIssuedMs, load.inProgress()));
        }
    }
}
