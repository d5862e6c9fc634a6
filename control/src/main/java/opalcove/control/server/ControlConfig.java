package opalcove.control.server;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import opalcove.config.ConfigValidator;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.control.cluster.ClusterDefinition;
import opalcove.decision.DecisionSettings;

/**
 * The settings file of the control service, checked completely before anything opens.
 *
 * @param name name of the service in its log and status
 * @param listen address that proxies connect to
 * @param status address of the status page; a loopback address
 * @param endpointFile file with the endpoint list in the JSON form of the discovery module; relative paths are
 *     resolved against the folder of the settings file
 * @param maxShrink the share of the backends that one complete list may omit, 0 to 1
 * @param admittedClusters the proxy clusters that are admitted; empty: all
 * @param clusters the backend clusters that proxies may send requests to
 * @param listeners the listeners that proxyless clients may request by name
 * @param settings the settings of the decision module
 */
public record ControlConfig(
        String name,
        HostAndPort listen,
        HostAndPort status,
        Path endpointFile,
        double maxShrink,
        Set<String> admittedClusters,
        List<ClusterDefinition> clusters,
        List<Listener> listeners,
        DecisionSettings settings) {
    /**
     * A listener for proxyless clients.
     *
     * @param name the name that clients request
     * @param cluster the cluster that receives all its requests
     */
    public record Listener(String name, String cluster) {}

    private static final double DEFAULT_MAX_SHRINK = 0.5;
    /** Minimum lifetime of a lease, ms; a lease is renewed three times in its lifetime, and each renewal takes time. */
    private static final long MIN_LEASE_MS = 1000;

    private static final Set<String> KEYS =
            Set.of("name", "listen", "status", "nodes", "most_shrink", "admit", "clusters", "listeners", "settings");

    /**
     * Reads and checks the file.
     *
     * @throws InvalidConfigurationException with every problem found, each with file, key and reason
     */
    public static ControlConfig read(Path file) {
        ConfigValidator validator = new ConfigValidator(file);
        JsonFields fields = validator.fields(KEYS);
        String name = validator.valueOr(() -> fields.textOr("name", "control"), "");
        HostAndPort listen = validator.valueOr(() -> HostAndPort.parse(fields.text("listen"), "listen"), null);
        HostAndPort status = validator.valueOr(() -> status(fields), null);
        Path endpointFile = validator.valueOr(() -> file.toAbsolutePath().resolveSibling(fields.text("nodes")), null);
        double maxShrink = validator.valueOr(() -> maxShrink(fields), 0.0);
        Set<String> admitted = validator.valueOr(() -> Set.copyOf(fields.texts("admit")), Set.of());
        List<ClusterDefinition> clusters = validator.valueOr(() -> clusters(fields), List.of());
        List<Listener> listeners = validator.valueOr(() -> listeners(fields, clusters), List.of());
        DecisionSettings settings = validator.valueOr(() -> SettingsReader.read(fields.object("settings")), null);
        validator.throwIfInvalid();
        return new ControlConfig(
                name, listen, status, endpointFile, maxShrink, admitted, clusters, listeners, settings);
    }

    private static HostAndPort status(JsonFields fields) {
        HostAndPort status = HostAndPort.parse(fields.text("status"), "status");
        if (!status.address().startsWith("127.")) {
            throw new InvalidConfigurationException("field status must be a loopback address, not " + status.address());
        }
        return status;
    }

    private static double maxShrink(JsonFields fields) {
        double share = fields.numberOr("most_shrink", DEFAULT_MAX_SHRINK);
        if (!(share >= 0 && share <= 1)) {
            throw new InvalidConfigurationException("field most_shrink must be from 0 to 1");
        }
        return share;
    }

    private static List<ClusterDefinition> clusters(JsonFields fields) {
        List<ClusterDefinition> clusters = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonFields each : fields.objects("clusters")) {
            String name = each.text("name");
            if (name.isEmpty() || !names.add(name)) {
                throw new InvalidConfigurationException(
                        "field " + each.path() + ".name is empty or there twice: " + name);
            }
            Set<Integer> pods = pods(each);
            long leaseMs = each.integerOr("lease_ms", 0);
            if (leaseMs < 0 || leaseMs > 0 && leaseMs < MIN_LEASE_MS) {
                throw new InvalidConfigurationException(
                        "field " + each.path() + ".lease_ms must be 0 or at least " + MIN_LEASE_MS);
            }
            clusters.add(new ClusterDefinition(name, Set.copyOf(each.texts("kinds")), pods, leaseMs));
        }
        if (clusters.isEmpty()) {
            throw new InvalidConfigurationException("field clusters names no cluster");
        }
        return clusters;
    }

    private static Set<Integer> pods(JsonFields cluster) {
        double[] pods = cluster.numbers("pods");
        return pods == null
                ? Set.of()
                : Arrays.stream(pods).mapToObj(pod -> (int) pod).collect(Collectors.toSet());
    }

    private static List<Listener> listeners(JsonFields fields, List<ClusterDefinition> clusters) {
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
