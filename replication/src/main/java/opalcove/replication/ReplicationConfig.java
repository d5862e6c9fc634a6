package opalcove.replication;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;

/**
 * The section {@code agreement}: where this gateway listens for datagrams, the address that it tells the others, the voters by
 * name, how long a confirmed version may be acted on, where a voter keeps its vote, where what is known is kept over a power loss (null: nowhere, and there is no recovery), and
 * whether changes are told as events.
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

    /** Reads the section for the gateway of that name; what is wrong is told with its key. */
    static ReplicationConfig read(String name, JsonFields f) {
        for (String key : f.names()) {
            if (!KEYS.contains(key)) {
                throw new InvalidConfigurationException("field agreement." + key + " is not known");
            }
        }
        Map<String, String> voters = new LinkedHashMap<>();
        for (JsonFields each : f.objects("voters")) {
            HostAndPort.read(each.text("address"), each.path() + ".address");
            if (voters.put(each.text("name"), each.text("address")) != null) {
                throw new InvalidConfigurationException("field " + each.path() + ".name names a voter twice");
            }
        }
        if (voters.isEmpty() || voters.size() > 9 || voters.size() % 2 == 0) {
            throw new InvalidConfigurationException("field agreement.voters must name 1, 3, 5, 7 or 9 gateways");
        }
        int leaseMs = f.wholeOr("lease_ms", 2000);
        if (leaseMs < 200 || leaseMs > 60_000) {
            throw new InvalidConfigurationException("field agreement.lease_ms must be from 200 to 60000");
        }
        String file = f.textOr("state_file", "");
        if (voters.containsKey(name) && file.isEmpty()) {
            throw new InvalidConfigurationException(
                    "field agreement.state_file must name a file: a voter must not forget its vote");
        }
        String snapshot = f.textOr("snapshot_file", "");
        String advertise = f.textOr("advertise", "");
        if (!advertise.isEmpty()) {
            HostAndPort.read(advertise, "agreement.advertise");
        }
        return new ReplicationConfig(
                HostAndPort.read(f.text("listen"), "agreement.listen"),
                advertise,
                voters,
                leaseMs,
                file.isEmpty() ? null : Path.of(file),
                snapshot.isEmpty() ? null : Path.of(snapshot),
                f.flag("events"));
    }
}
