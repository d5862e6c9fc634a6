package opalcove.control.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import opalcove.config.Backend;
import opalcove.control.xds.ConfigSnapshot;
import opalcove.control.xds.Resource;
import opalcove.control.xds.ResourceFactory;
import opalcove.decision.AdmissionController;
import opalcove.decision.DecisionSettings;

/**
 * Decides what proxies see of the backends. Free of I/O: endpoint list, load reports and time go in, a snapshot for each zone
 * comes out. Which backend takes new work, and how much of its capacity, is decided by the decision module alone; this turns it
 * into weights and priorities.
 *
 * <p>A starting backend has a weight that is a part of a warm one's. Each proxy sends it that part of what it sends anyhow, so
 * the sum is independent of how many proxies there are, and of who joins.
 *
 * <p>Times are milliseconds of one monotonic clock. Owned by the thread that calls it.
 */
public final class ClusterState {
    /** The zone under which proxies of a zone without backends have their snapshot. */
    private static final String NO_ZONE = "";

    private final AdmissionController module;
    private final DecisionTimers timers;
    private final List<ClusterDefinition> clusters;
    private final EndpointListValidator validator;
    private final Map<String, Backend> backends = new LinkedHashMap<>();
    private final Map<String, String> backendByAddress = new HashMap<>();
    private final EndpointWeights weights = new EndpointWeights();
    private final Map<String, ConfigSnapshot> snapshots = new TreeMap<>();
    private final Set<String> zones = new TreeSet<>();
    private final DrainTracker drains = new DrainTracker();
    /** What all proxies see whatever the backends do: routing, and the clusters without their endpoints. */
    private final List<Resource> staticResources;

    /**
     * Starts without backends.
     *
     * @param seed of the decision module's random draws
     * @param maxShrink the share of the backends that a complete list may lack at once, 0 to 1
     * @param routing listeners and routes that all proxies see beside the clusters
     */
    public ClusterState(
            double nowMs,
            DecisionSettings settings,
            long seed,
            double maxShrink,
            List<ClusterDefinition> clusters,
            List<Resource> routing) {
        this.clusters = List.copyOf(clusters);
        List<Resource> resources = new ArrayList<>(routing);
        clusters.forEach(each -> resources.add(ResourceFactory.cluster(each.name())));
        staticResources = List.copyOf(resources);
        validator = new EndpointListValidator(maxShrink);
        timers = new DecisionTimers(nowMs);
        module = new AdmissionController(nowMs, settings, seed, timers);
    }

    /** Applies an update of the endpoint list. */
    public void onEndpoints(double timeMs, EndpointUpdate update) {
        double nowMs = timers.advance(timeMs);
        List<Backend> trusted = validator.apply(update);
        backends.clear();
        backendByAddress.clear();
        trusted.forEach(backend -> {
            backends.put(backend.name(), backend);
            backendByAddress.put(backend.address(), backend.name());
        });
        module.endpointsChanged(
                nowMs, true, trusted.stream().map(Backend::endpoint).toList());
        updateWeights();
        updateSnapshots();
        updateDrains();
    }

    /** The source of the endpoint list failed; what is known stays. */
    public void onSourceFailed(double timeMs) {
        module.endpointListFailed(timers.advance(timeMs));
    }

    /** Applies a proxy's report of one endpoint; one whose address is not in the list has no effect. */
    public void onLoadReport(double timeMs, String proxyId, EndpointLoad load) {
        double nowMs = timers.advance(timeMs);
        String backend = backendByAddress.get(load.address());
        if (backend != null) {
            module.loadReported(nowMs, backend, load.succeeded(), load.failed(), -1);
            drains.onLoadReport(nowMs, proxyId, backend, load);
        }
    }

    /** Runs the timers due by now and updates the snapshots. Returns whether a snapshot has changed. */
    public boolean advance(double timeMs) {
        double nowMs = timers.advance(timeMs);
        boolean anyDue = false;
        while (timers.isDue()) {
            module.timerExpired(nowMs, timers.poll());
            anyDue = true;
        }
        if (!anyDue) {
            return false;
        }
        boolean changed = updateWeights() && updateSnapshots();
        updateDrains();
        return changed;
    }

    /** When {@link #advance} has something to do next; positive infinity: not before something else happens. */
    public double nextTimerMs() {
        return timers.nextDueMs();
    }

    /** The drains under way, oldest first. */
    public List<DrainTracker.Drain> drains() {
        return drains.all();
    }

    /** The zone under which proxies of this zone have their snapshot. */
    public String snapshotZone(String zone) {
        return zones.contains(zone) ? zone : NO_ZONE;
    }

    /** What a proxy in this zone sees. In a zone without backends it sees all others at one priority. */
    public ConfigSnapshot snapshot(String zone) {
        return snapshots.computeIfAbsent(snapshotZone(zone), this::firstSnapshot);
    }

    /** The names of the backends that the last complete list lacked and that stay nonetheless. */
    public Set<String> missingBackendNames() {
        return validator.missing();
    }

    /** The names of all backends of the list, as far as it is trusted. */
    public Set<String> backendNames() {
        return new HashSet<>(backends.keySet());
    }

    private boolean updateWeights() {
        return weights.update(module.capacityShares(timers.nowMs()), backends.keySet());
    }

    private boolean updateSnapshots() {
        zones.clear();
        backends.values().forEach(backend -> zones.add(backend.endpoint().zone()));
        snapshots.keySet().removeIf(zone -> !zone.equals(NO_ZONE) && !zones.contains(zone));
        boolean changed = false;
        for (Map.Entry<String, ConfigSnapshot> each : snapshots.entrySet()) {
            ConfigSnapshot next = backends.isEmpty() && each.getValue() == ConfigSnapshot.EMPTY
                    ? ConfigSnapshot.EMPTY
                    : each.getValue().with(resources(each.getKey()), Map.of());
            changed |= next != each.getValue();
            each.setValue(next);
        }
        return changed;
    }

    private void updateDrains() {
        Map<String, Long> revisions = new HashMap<>();
        snapshots.forEach((zone, snapshot) -> revisions.put(zone, snapshot.revision()));
        drains.update(timers.nowMs(), backends, revisions);
    }

    private ConfigSnapshot firstSnapshot(String zone) {
        return backends.isEmpty() ? ConfigSnapshot.EMPTY : ConfigSnapshot.EMPTY.with(resources(zone), Map.of());
    }

    private List<Resource> resources(String zone) {
        List<Resource> resources = new ArrayList<>(staticResources);
        for (ClusterDefinition cluster : clusters) {
            resources.add(endpoints(cluster, zone));
        }
        return resources;
    }

    /** A cluster's endpoints as a proxy in this zone sees them: its own zone first, the others after it. */
    private Resource endpoints(ClusterDefinition cluster, String zone) {
        Map<String, List<ResourceFactory.WeightedEndpoint>> byZone = new TreeMap<>();
        for (Backend backend : backends.values()) {
            if (cluster.includes(backend.endpoint())) {
                byZone.computeIfAbsent(backend.endpoint().zone(), any -> new ArrayList<>())
                        .add(weights.weighted(backend));
            }
        }
        boolean hasOwnZone = byZone.containsKey(zone);
        Set<String> order = new LinkedHashSet<>();
        if (hasOwnZone) {
            order.add(zone);
        }
        order.addAll(byZone.keySet());
        List<ResourceFactory.Locality> localities = new ArrayList<>();
        for (String each : order) {
            List<ResourceFactory.WeightedEndpoint> endpoints = byZone.get(each);
            int priority = each.equals(zone) || !hasOwnZone ? 0 : 1;
            localities.add(new ResourceFactory.Locality(each, priority, weight(endpoints), endpoints));
        }
        return ResourceFactory.endpoints(cluster.name(), cluster.leaseMs(), localities);
    }

    private static int weight(List<ResourceFactory.WeightedEndpoint> endpoints) {
        return Math.max(
                1,
                endpoints.stream()
                        .filter(endpoint -> !endpoint.draining())
                        .mapToInt(ResourceFactory.WeightedEndpoint::weight)
                        .sum());
    }
}
