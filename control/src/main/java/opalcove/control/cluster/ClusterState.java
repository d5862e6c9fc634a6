package opalcove.control.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import opalcove.config.Backend;
import opalcove.control.xds.ConfigSnapshot;
import opalcove.control.xds.Resource;
import opalcove.control.xds.ResourceFactory;
import opalcove.decision.AdmissionController;
import opalcove.decision.CapacityShare;
import opalcove.decision.DecisionActions;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;

/**
 * Decides what proxies see of the app nodes. Free of I/O: node list, load reports and time go in, a view for each room comes
 * out. Which node takes new work, and how much of its room, is the decision module's word alone; this turns it into
 * weights and priorities.
 *
 * <p>A starting node has a weight, a part of a warm node's. Each proxy sends it that part of what it sends anyhow, so the sum is
 * independent of how many proxies there are, and of who joins.
 */
public final class ClusterState {
    /** Weights are whole numbers; a warm node of size 1 has this one. */
    static final int FULL = 100;
    /** A share that moved by less than this part of it is not told. */
    private static final double STEP = 0.1;
    /** From this share on it is all. */
    private static final double ALL = 0.99;

    /**
     * A cluster of proxies: the nodes of some kinds and pods (none named: all).
     *
     * @param leaseMs lifetime of its endpoints, ms; 0: none
     */
    public record Cluster(String name, Set<String> kinds, Set<Integer> pods, long leaseMs) {
        boolean holds(Endpoint host) {
            return (kinds.isEmpty() || kinds.contains(host.kind())) && (pods.isEmpty() || pods.contains(host.cell()));
        }
    }

    private record Alarm(double at, long token) {}

    private final AdmissionController module;
    private final List<Cluster> clusters;
    private final PriorityQueue<Alarm> alarms = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
    private final EndpointListValidator guard;
    private final Map<String, Backend> nodes = new LinkedHashMap<>();
    /** By node, as told; those of nodes that left go with them. */
    private final Map<String, Double> shares = new HashMap<>();

    private final Map<String, ConfigSnapshot> views = new TreeMap<>();
    private final Set<String> rooms = new TreeSet<>();
    private final DrainTracker drains = new DrainTracker();
    private final Map<String, String> byAddress = new HashMap<>();
    /** What all proxies see whatever the nodes do: routing, and the clusters without their endpoints. */
    private final List<Resource> fixed;

    private double now;

    /** Routing: listeners and routes that all proxies see beside the clusters. */
    public ClusterState(
            double now,
            DecisionSettings settings,
            long seed,
            double mostShrink,
            List<Cluster> clusters,
            List<Resource> routing) {
        this.now = now;
        this.clusters = List.copyOf(clusters);
        List<Resource> all = new ArrayList<>(routing);
        clusters.forEach(each -> all.add(ResourceFactory.cluster(each.name())));
        fixed = List.copyOf(all);
        guard = new EndpointListValidator(mostShrink);
        module = new AdmissionController(now, settings, seed, new Alarms());
    }

    /** The module hands choices on here, and is not asked for single requests: of its actions only alarms can come. */
    private final class Alarms implements DecisionActions {
        @Override
        public void setTimer(long token, double afterMs) {
            alarms.add(new Alarm(now + afterMs, token));
        }

        @Override
        public void startAttempt(String id, String host, double timeoutMs) {
            throw new IllegalStateException("no request was given to the module");
        }

        @Override
        public void shed(String id, double retryAfterMs) {
            throw new IllegalStateException("no request was given to the module");
        }

        @Override
        public void fail(String id) {
            throw new IllegalStateException("no request was given to the module");
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            throw new IllegalStateException("no request was given to the module");
        }

        @Override
        public void checkHealth(String host) {
            // Never asked for: settings of a control service do not allow probes.
        }

        @Override
        public void subscribeToEndpoints() {
            // Whoever owns the source follows it from the start.
        }

        @Override
        public void log(String line) {
            // The module writes of single requests alone.
        }
    }

    /** Takes in a whole node list or changed lines, with the operators' override of the guard against shrinking. */
    public void told(double time, boolean whole, boolean override, List<Backend> lines) {
        now = Math.max(now, time);
        List<Backend> believed = guard.told(whole, override, lines);
        nodes.clear();
        byAddress.clear();
        believed.forEach(node -> {
            nodes.put(node.name(), node);
            byAddress.put(node.address(), node.name());
        });
        module.endpointsChanged(now, true, believed.stream().map(Backend::host).toList());
        weigh();
        look();
        noteDrains();
    }

    /** Takes in that a source of the node list failed; what was known stays. */
    public void sourceFailed(double time) {
        now = Math.max(now, time);
        module.endpointListFailed(now);
    }

    /**
     * Takes in what a proxy reports of the node at an address since its last report: work it sent, work that was served
     * and failed, and what it has in hand there. Where no node of the list has that address, nothing.
     */
    public void reported(
            double time, String proxy, String address, long issued, long served, long failed, long inProgress) {
        now = Math.max(now, time);
        String node = byAddress.get(address);
        if (node != null) {
            module.loadReported(now, node, served, failed, -1);
            drains.used(now, proxy, node, issued, inProgress);
        }
    }

    /** Lets the module's alarms due by now go off, and looks at the views anew. True where a view has changed. */
    public boolean advance(double time) {
        now = Math.max(now, time);
        boolean any = false;
        while (!alarms.isEmpty() && alarms.peek().at <= now) {
            module.timerExpired(now, alarms.poll().token);
            any = true;
        }
        if (!any) {
            return false;
        }
        boolean changed = weigh() && look();
        noteDrains();
        return changed;
    }

    /** When {@link #advance} has something to do next. */
    public double nextAlarm() {
        return alarms.isEmpty() ? Double.POSITIVE_INFINITY : alarms.peek().at;
    }

    /** Drains under way. */
    public List<DrainTracker.Drain> drains() {
        return drains.all();
    }

    /** The name under which a proxy of that room has its view. */
    public String viewOf(String room) {
        return rooms.contains(room) ? room : "";
    }

    /** What a proxy in that room sees. A room without nodes sees all others at one priority. */
    public ConfigSnapshot view(String room) {
        return views.computeIfAbsent(viewOf(room), this::made);
    }

    /** Nodes that the last whole list lacked and that are kept nonetheless. */
    public Set<String> missing() {
        return guard.missing();
    }

    private boolean look() {
        rooms.clear();
        nodes.values().forEach(node -> rooms.add(node.host().zone()));
        views.keySet().removeIf(room -> !room.isEmpty() && !rooms.contains(room));
        boolean changed = false;
        for (Map.Entry<String, ConfigSnapshot> each : views.entrySet()) {
            ConfigSnapshot next = nodes.isEmpty() && each.getValue() == ConfigSnapshot.EMPTY
                    ? ConfigSnapshot.EMPTY
                    : each.getValue().with(resources(each.getKey()), Map.of());
            changed |= next != each.getValue();
            each.setValue(next);
        }
        return changed;
    }

    private void noteDrains() {
        Map<String, Long> serials = new HashMap<>();
        views.forEach((room, view) -> serials.put(room, view.serial()));
        drains.look(now, nodes, serials);
    }

    private ConfigSnapshot made(String room) {
        return nodes.isEmpty() ? ConfigSnapshot.EMPTY : ConfigSnapshot.EMPTY.with(resources(room), Map.of());
    }

    private List<Resource> resources(String room) {
        List<Resource> resources = new ArrayList<>(fixed);
        for (Cluster cluster : clusters) {
            resources.add(endpoints(cluster, room));
        }
        return resources;
    }

    private Resource endpoints(Cluster cluster, String room) {
        Map<String, List<ResourceFactory.Target>> byRoom = new TreeMap<>();
        for (Backend node : nodes.values()) {
            if (cluster.holds(node.host())) {
                byRoom.computeIfAbsent(node.host().zone(), any -> new ArrayList<>())
                        .add(target(node));
            }
        }
        Set<String> order = new LinkedHashSet<>();
        if (byRoom.containsKey(room)) {
            order.add(room);
        }
        order.addAll(byRoom.keySet());
        List<ResourceFactory.Group> groups = new ArrayList<>();
        for (String each : order) {
            List<ResourceFactory.Target> targets = byRoom.get(each);
            int weight = Math.max(
                    1,
                    targets.stream()
                            .filter(target -> !target.draining())
                            .mapToInt(ResourceFactory.Target::weight)
                            .sum());
            groups.add(new ResourceFactory.Group(
                    each, each.equals(room) || !byRoom.containsKey(room) ? 0 : 1, weight, targets));
        }
        return ResourceFactory.endpoints(cluster.name(), cluster.leaseMs(), groups);
    }

    private ResourceFactory.Target target(Backend node) {
        double share = shares.getOrDefault(node.name(), 0.0);
        boolean takesNew = share > 0 && node.host().state() == EndpointState.UP;
        int colon = node.address().lastIndexOf(':');
        return new ResourceFactory.Target(
                node.address().substring(0, colon),
                Integer.parseInt(node.address().substring(colon + 1)),
                takesNew ? Math.max(1, (int) (FULL * share * node.host().size())) : 1,
                !takesNew);
    }

    /**
     * Takes in what the module says. A share that moved by less than a tenth stays as it was told, so that a ramp changes
     * what proxies are told some twenty times, and noise in reports does not at all. A growing share is never ahead of
     * what the module allows. True where any has moved.
     */
    private boolean weigh() {
        boolean any = false;
        shares.keySet().retainAll(nodes.keySet());
        for (CapacityShare each : module.capacityShares(now)) {
            double share = each.share() >= ALL ? 1 : each.share();
            double told = shares.getOrDefault(each.backend(), 0.0);
            boolean moved = share != told && (Math.abs(share - told) > STEP * told || share == 1);
            if (nodes.containsKey(each.backend()) && moved) {
                shares.put(each.backend(), share);
                any = true;
            }
        }
        return any;
    }

    /** All nodes that are believed to be there. */
    public Set<String> nodes() {
        return new HashSet<>(nodes.keySet());
    }
}
