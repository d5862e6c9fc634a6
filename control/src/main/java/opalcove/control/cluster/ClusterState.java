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
 * Computes what proxies see of the backends, without I/O: it takes the endpoint list, load reports and the time, and
 * returns a snapshot for each zone. The decision module alone decides which backend takes new requests and for which
 * share of its capacity; this class converts the shares into weights and priorities.
 *
 * <p>The weight of a backend in slow start is a fraction of its full weight. Each proxy sends it that fraction of its
 * own requests, so the total load does not depend on the number of proxies or on proxies that join.
 *
 * <p>Times are milliseconds of one monotonic clock. Owned by the thread that calls it.
 */
public final class ClusterState {
    /** The key of the snapshot for proxies in a zone without backends. */
    private static final String NO_ZONE = "";

    private final AdmissionController admissionController;
    private final DecisionTimers timers;
    private final List<ClusterDefinition> clusters;
    private final EndpointListValidator validator;
    private final Map<String, Backend> backends = new LinkedHashMap<>();
    private final Map<String, String> backendByAddress = new HashMap<>();
    private final EndpointWeights weights = new EndpointWeights();
    private final Map<String, ConfigSnapshot> snapshots = new TreeMap<>();
    private final Set<String> zones = new TreeSet<>();
    private final DrainTracker drains = new DrainTracker();
    /** The resources that do not depend on the backends: routing, and the clusters without their endpoints. */
    private final List<Resource> staticResources;

    /**
     * Starts without backends.
     *
     * @param seed seed of the decision module's random numbers
     * @param maxShrink the share of the backends that one complete list may omit, 0 to 1
     * @param routing listeners and routes that all proxies receive in addition to the clusters
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
        admissionController = new AdmissionController(nowMs, settings, seed, timers);
    }

    /** Applies an update of the endpoint list. */
    public void onEndpoints(double timeMs, EndpointUpdate update) {
        double nowMs = timers.advance(timeMs);
        List<Backend> validated = validator.apply(update);
        backends.clear();
        backendByAddress.clear();
        validated.forEach(backend -> {
            backends.put(backend.name(), backend);
            backendByAddress.put(backend.address(), backend.name());
        });
        admissionController.endpointsChanged(
                nowMs, true, validated.stream().map(Backend::endpoint).toList());
        updateWeights();
        updateSnapshots();
        updateDrains();
    }

    /** Reports a failure of the source of the endpoint list; the known backends stay. */
    public void onSourceFailed(double timeMs) {
        admissionController.endpointListFailed(timers.advance(timeMs));
    }

    /**
     * Applies a proxy's load report for one endpoint. A report for an address that is not in the list has no effect.
     */
    public void onLoadReport(double timeMs, String proxyId, EndpointLoad load) {
        double nowMs = timers.advance(timeMs);
        String backend = backendByAddress.get(load.address());
        if (backend != null) {
            admissionController.loadReported(nowMs, backend, load.succeeded(), load.failed(), -1);
            drains.onLoadReport(nowMs, proxyId, backend, load);
        }
    }

    /** Runs the timers that are due and updates the snapshots. Returns whether a snapshot has changed. */
    public boolean advance(double timeMs) {
        double nowMs = timers.advance(timeMs);
        boolean anyDue = false;
        while (timers.isDue()) {
            admissionController.timerExpired(nowMs, timers.poll());
            anyDue = true;
        }
        if (!anyDue) {
            return false;
        }
        boolean changed = updateWeights() && updateSnapshots();
        updateDrains();
        return changed;
    }

    /** Returns when the next timer of {@link #advance} is due, ms; positive infinity if there is none. */
    public double nextTimerMs() {
        return timers.nextDueMs();
    }

    /** Returns the drains in progress, oldest first. */
    public List<DrainTracker.Drain> drains() {
        return drains.all();
    }

    /** Returns the key of the snapshot for proxies in this zone. */
    public String snapshotZone(String zone) {
        return zones.contains(zone) ? zone : NO_ZONE;
    }

    /** Returns the snapshot for proxies in a zone. In a zone without backends all backends have the same priority. */
    public ConfigSnapshot snapshot(String zone) {
        return snapshots.computeIfAbsent(snapshotZone(zone), this::firstSnapshot);
    }

    /** Returns the names of the backends that the last complete list lacked and that were not removed. */
    public Set<String> missingBackendNames() {
        return validator.missing();
    }

    /** Returns the names of all backends in the validated list. */
    public Set<String> backendNames() {
        return new HashSet<>(backends.keySet());
    }

    private boolean updateWeights() {
        return weights.update(admissionController.capacityShares(timers.nowMs()), backends.keySet());
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

    /** Builds the endpoints of a cluster for proxies in a zone: endpoints in this zone first, then all others. */
    private Resource endpoints(ClusterDefinition cluster, String zone) {
        Map<String, List<ResourceFactory.WeightedEndpoint>> byZone = new TreeMap<>();
        for (Backend backend : backends.values()) {
            if (cluster.includes(backend.endpoint())) {
                byZone.computeIfAbsent(backend.endpoint().zone(), key -> new ArrayList<>())
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
