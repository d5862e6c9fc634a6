package opalcove.replication;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;

/**
 * The section {@code agreement} of the configuration file.
 *
 * @param listen the address at which this gateway listens for datagrams
 * @param advertise the address that other gateways use for this one; empty for the address at which it listens
 * @param voters the voters' addresses by name, in the order of the section
 * @param leaseMs the length of a lease on a version, in ms
 * @param stateFile the file in which a voter stores its vote and its log; null if the section names none, which only a
 *     gateway that is not a voter may do
 * @param snapshotFile the file in which the gateway stores its snapshot, for a recovery after a power loss; null for no
 *     recovery
 * @param events whether the gateway writes events
 */
record ReplicationConfig(
        HostAndPort listen,
        String advertise,
        Map<String, String> voters,
        int leaseMs,
        Path stateFile,
        Path snapshotFile,
        boolean events) {
    private static final Set<String> KEYS =
            Set.of("listen", "advertise", "voters", "lease_ms", "state_file", "snapshot_file", "events");
    private static final int MAX_VOTERS = 9;
    private static final int MIN_LEASE_MS = 200;
    private static final int MAX_LEASE_MS = 60_000;
    private static final int DEFAULT_LEASE_MS = 2000;

    /**
     * Reads the section for the gateway with the given name.
     *
     * @throws InvalidConfigurationException with the key of the invalid field
     */
    static ReplicationConfig read(String name, JsonFields fields) {
        for (String key : fields.names()) {
            if (!KEYS.contains(key)) {
                throw new InvalidConfigurationException("field agreement." + key + " is not known");
            }
        }
        Map<String, String> voters = voters(fields);
        int leaseMs = fields.integerOr("lease_ms", DEFAULT_LEASE_MS);
        if (leaseMs < MIN_LEASE_MS || leaseMs > MAX_LEASE_MS) {
            throw new InvalidConfigurationException(
                    "field agreement.lease_ms must be from " + MIN_LEASE_MS + " to " + MAX_LEASE_MS);
        }
        String stateFile = fields.textOr("state_file", "");
        if (voters.containsKey(name) && stateFile.isEmpty()) {
            throw new InvalidConfigurationException(
                    "field agreement.state_file must name a file: a voter stores its vote in it");
        }
        String snapshotFile = fields.textOr("snapshot_file", "");
        String advertise = fields.textOr("advertise", "");
        if (!advertise.isEmpty()) {
            HostAndPort.parse(advertise, "agreement.advertise");
        }
        return new ReplicationConfig(
                HostAndPort.parse(fields.text("listen"), "agreement.listen"),
                advertise,
                voters,
                leaseMs,
                stateFile.isEmpty() ? null : Path.of(stateFile),
                snapshotFile.isEmpty() ? null : Path.of(snapshotFile),
                fields.flag("events"));
    }

    private static Map<String, String> voters(JsonFields fields) {
        Map<String, String> voters = new LinkedHashMap<>();
        for (JsonFields each : fields.objects("voters")) {
            HostAndPort.parse(each.text("address"), each.path() + ".address");
            if (voters.put(each.text("name"), each.text("address")) != null) {
                throw new InvalidConfigurationException("field " + each.path() + ".name names a voter twice");
            }
        }
        if (voters.isEmpty() || voters.size() > MAX_VOTERS || voters.size() % 2 == 0) {
            throw new InvalidConfigurationException("field agreement.voters must name 1, 3, 5, 7 or 9 gateways");
        }
        return voters;
    }
}
