package opalcove.control.server;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import opalcove.config.ConfigValidator;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.control.cluster.ClusterState;
import opalcove.decision.DecisionSettings;

/**
 * The settings file of the control service, checked whole before anything opens.
 *
 * @param listen where proxies connect
 * @param status where its state is told; a loopback address
 * @param nodes the file with the node list, in discovery's form; relative to the settings file
 * @param mostShrink share of the nodes that a whole list may lack at once, 0 to 1
 * @param admit the clusters of proxies that are admitted; none: all are
 * @param listeners what proxyless clients may ask for, each led to one cluster
 */
public record ControlConfig(
        String name,
        HostAndPort listen,
        HostAndPort status,
        Path nodes,
        double mostShrink,
        Set<String> admit,
        List<ClusterState.Cluster> clusters,
        List<Listener> listeners,
        DecisionSettings settings) {
    /** A listener of that name leads all to that cluster. */
    public record Listener(String name, String cluster) {}

    private static final Set<String> KEYS =
            Set.of("name", "listen", "status", "nodes", "most_shrink", "admit", "clusters", "listeners", "settings");

    /** Reads and checks the file; a wrong one is refused with every problem found, each by file, key and reason. */
    public static ControlConfig read(Path file) {
        ConfigValidator check = new ConfigValidator(file);
        JsonFields fields = check.fields(KEYS);
        String name = check.valueOr(() -> fields.textOr("name", "control"), "");
        HostAndPort listen = check.valueOr(() -> HostAndPort.read(fields.text("listen"), "listen"), null);
        HostAndPort status = check.valueOr(() -> status(fields), null);
        Path nodes = check.valueOr(() -> file.toAbsolutePath().resolveSibling(fields.text("nodes")), null);
        double shrink = check.valueOr(() -> share(fields), 0.0);
        Set<String> admit = check.valueOr(() -> Set.copyOf(fields.texts("admit")), Set.of());
        List<ClusterState.Cluster> clusters = check.valueOr(() -> clusters(fields), List.of());
        List<Listener> listeners = check.valueOr(() -> listeners(fields, clusters), List.of());
        DecisionSettings settings = check.valueOr(() -> SettingsReader.checked(fields.object("settings")), null);
        check.throwIfInvalid();
        return new ControlConfig(name, listen, status, nodes, shrink, admit, clusters, listeners, settings);
    }

    private static HostAndPort status(JsonFields fields) {
        HostAndPort status = HostAndPort.read(fields.text("status"), "status");
        if (!status.address().startsWith("127.")) {
            throw new InvalidConfigurationException("field status must be a loopback address, not " + status.address());
        }
        return status;
    }

    private static double share(JsonFields fields) {
        double share = fields.numberOr("most_shrink", 0.5);
        if (!(share >= 0 && share <= 1)) {
            throw new InvalidConfigurationException("field most_shrink must be from 0 to 1");
        }
        return share;
    }

    private static List<ClusterState.Cluster> clusters(JsonFields fields) {
        List<ClusterState.Cluster> clusters = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonFields each : fields.objects("clusters")) {
            String name = each.text("name");
            if (name.isEmpty() || !names.add(name)) {
                throw new InvalidConfigurationException(
                        "field " + each.path() + ".name is empty or there twice: " + name);
            }
            double[] pods = each.row("pods");
            Set<Integer> numbers = pods == null
                    ? Set.of()
                    : IntStream.range(0, pods.length)
                            .mapToObj(i -> (int) pods[i])
                            .collect(Collectors.toSet());
            long lease = each.wholeOr("lease_ms", 0);
            if (lease < 0 || lease > 0 && lease < 1000) {
                throw new InvalidConfigurationException(
                        "field " + each.path() + ".lease_ms must be 0 or at least 1000");
            }
            clusters.add(new ClusterState.Cluster(name, Set.copyOf(each.texts("kinds")), numbers, lease));
        }
        if (clusters.isEmpty()) {
            throw new InvalidConfigurationException("field clusters names no cluster");
        }
        return clusters;
    }

    private static List<Listener> listeners(JsonFields fields, List<ClusterState.Cluster> clusters) {
        List<Listener> listeners = new ArrayList<>();
        for (JsonFields each : fields.has("listeners") ? fields.objects("listeners") : List.<JsonFields>of()) {
            Listener listener = new Listener(each.text("name"), each.text("cluster"));
            if (clusters.stream().noneMatch(cluster -> cluster.name().equals(listener.cluster()))) {
                throw new InvalidConfigurationException(
                        "field " + each.path() + ".cluster is not among the clusters: " + listener.cluster());
            }
            listeners.add(listener);
        }
        return listeners;
    }
}
