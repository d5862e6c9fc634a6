package opalcove.server;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import opalcove.cluster.MembershipConfig;
import opalcove.config.Backend;
import opalcove.config.ConfigValidator;
import opalcove.config.EndpointCodec;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.DecisionSettings;
import opalcove.discovery.DiscoveryClient;

/**
 * The configuration of a gateway, read from its file and the environment. Immutable.
 *
 * @param name the gateway's own name, which may be empty
 * @param listen the address at which clients connect
 * @param console the address at which administrators connect; null if the admin server is off
 * @param discovery the address of discovery
 * @param seed the seed of the gateway's random numbers
 * @param sockets the number of descriptors that the process may hold
 * @param known the endpoint list that is known from before the start; empty if there is none
 * @param knownIndex the version of that list; {@link DiscoveryClient#NO_INDEX} if it has none
 * @param settings the settings of the deployment
 * @param warmUpMs the longest time of the warm-up, in ms; 0 for no warm-up
 * @param membership the section {@code membership}; null if membership is off
 * @param agreement the section {@code agreement}, not parsed yet; null if it is absent
 */
public record GatewayConfig(
        String name,
        HostAndPort listen,
        HostAndPort console,
        HostAndPort discovery,
        long seed,
        int sockets,
        List<Backend> known,
        long knownIndex,
        DecisionSettings settings,
        int warmUpMs,
        MembershipConfig membership,
        JsonFields agreement) {
    /**
     * The default time limit of the warm-up with all its waits; it ends sooner if it has an entire core. A process must
     * be ready within 6 s of its start, and the machine may take a part of that time first.
     */
    private static final int DEFAULT_WARM_UP_MS = 2500;

    private static final int MAX_WARM_UP_MS = 60_000;

    private static final int DEFAULT_SOCKETS = 1024;

    /** With fewer descriptors none would remain for connections to clients and backends. */
    private static final int MIN_SOCKETS = 16;

    /**
     * Reads the file that the environment variable GW_CONFIG names. The other variables take precedence over the file,
     * except for the address of discovery: the variables are as old as the process, and the file may have been replaced
     * since to move discovery.
     *
     * @throws InvalidConfigurationException with every problem of the file, each with the file, the key and the reason
     */
    public static GatewayConfig read(Map<String, String> environment) {
        String file = environment.get("GW_CONFIG");
        if (file == null) {
            throw new InvalidConfigurationException("GW_CONFIG is not set");
        }
        ConfigValidator validator = new ConfigValidator(Path.of(file));
        JsonFields fields = validator.fields();
        GatewayConfig config = new GatewayConfig(
                validator.valueOr(() -> environment.getOrDefault("GW_NAME", fields.textOr("name", "")), ""),
                validator.valueOr(() -> listen(fields, environment), null),
                validator.valueOr(() -> console(fields, environment), null),
                validator.valueOr(() -> discovery(fields, environment), null),
                validator.valueOr(() -> seed(fields), 0L),
                validator.valueOr(() -> sockets(fields), DEFAULT_SOCKETS),
                validator.valueOr(() -> knownBackends(fields), List.of()),
                validator.valueOr(() -> knownIndex(fields), DiscoveryClient.NO_INDEX),
                validator.valueOr(() -> SettingsReader.read(fields.object("settings")), null),
                validator.valueOr(() -> warmUpMs(fields), 0),
                validator.valueOr(() -> membership(fields), null),
                validator.valueOr(() -> fields.has("agreement") ? fields.object("agreement") : null, null));
        validator.throwIfInvalid();
        return config;
    }

    private static HostAndPort listen(JsonFields fields, Map<String, String> environment) {
        return HostAndPort.parse(environment.getOrDefault("GW_LISTEN", fields.textOr("listen", "")), "listen");
    }

    private static HostAndPort console(JsonFields fields, Map<String, String> environment) {
        String address = environment.getOrDefault("GW_CONSOLE", fields.textOr("console", ""));
        return address.isEmpty() ? null : HostAndPort.parse(address, "console");
    }

    private static HostAndPort discovery(JsonFields fields, Map<String, String> environment) {
        HostAndPort discovery = HostAndPort.parse(
                fields.has("discovery") ? fields.text("discovery") : environment.getOrDefault("GW_DISCOVERY", ""),
                "discovery");
        if (discovery.port() == 0) {
            throw new InvalidConfigurationException("discovery", "must name a port to call, not 0");
        }
        return discovery;
    }

    private static int sockets(JsonFields fields) {
        if (!fields.has("limits") || !fields.object("limits").has("sockets")) {
            return DEFAULT_SOCKETS;
        }
        long sockets = fields.object("limits").longInteger("sockets");
        if (sockets < MIN_SOCKETS || sockets > Integer.MAX_VALUE / 2) {
            throw new InvalidConfigurationException(
                    "limits.sockets", "must be a whole number from " + MIN_SOCKETS + " on");
        }
        return (int) sockets;
    }

    private static List<Backend> knownBackends(JsonFields fields) {
        return fields.has("known") ? EndpointCodec.read(fields.object("known").objects("endpoints")) : List.of();
    }

    private static long knownIndex(JsonFields fields) {
        return fields.has("known") && fields.object("known").has("index")
                ? fields.object("known").longInteger("index")
                : DiscoveryClient.NO_INDEX;
    }

    private static int warmUpMs(JsonFields fields) {
        int warmUpMs = fields.integerOr("rehearsal_ms", DEFAULT_WARM_UP_MS);
        if (warmUpMs < 0 || warmUpMs > MAX_WARM_UP_MS) {
            throw new InvalidConfigurationException("rehearsal_ms", "must be from 0 to " + MAX_WARM_UP_MS);
        }
        return warmUpMs;
    }

    private static MembershipConfig membership(JsonFields fields) {
        return fields.has("membership") ? MembershipConfig.read(fields.object("membership")) : null;
    }

    private static long seed(JsonFields fields) {
        try {
            return fields.has("seed") ? Long.parseUnsignedLong(fields.text("seed"), 16) : System.nanoTime();
        } catch (NumberFormatException e) {
            throw new InvalidConfigurationException("seed", "must be 16 hex digits");
        }
    }
}
