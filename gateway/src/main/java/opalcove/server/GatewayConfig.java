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
 * The configuration of a gateway: its file and the environment.
 *
 * @param name the gateway's own name, which may be empty
 * @param listen where clients connect
 * @param console where administrators connect; null for nowhere
 * @param discovery where discovery is called
 * @param seed of the gateway's random draws
 * @param sockets the descriptors that the process may hold
 * @param known the endpoint list known from before the start; empty for none
 * @param knownIndex its version
 * @param warmUpMs how long the start may warm up; 0 for not at all
 * @param membership null where membership is off
 * @param agreement the section {@code agreement}, unread; null where it is absent
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
     * How long the warm-up may take with all its waits; it ends sooner on a whole core. A start has 6 s to become ready, of
     * which the machine may take a part first.
     */
    private static final int DEFAULT_WARM_UP_MS = 2500;

    private static final int MAX_WARM_UP_MS = 60_000;

    private static final int DEFAULT_SOCKETS = 1024;

    /** With fewer descriptors no share of them remains for connections to clients and backends. */
    private static final int MIN_SOCKETS = 16;

    /**
     * Reads the file that GW_CONFIG names. The other variables take precedence over it, except for discovery: they are as
     * old as the process, and the file may have been replaced since.
     *
     * @throws InvalidConfigurationException with every problem of the file, each by file, key and reason
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
                validator.valueOr(() -> known(fields), List.of()),
                validator.valueOr(() -> knownIndex(fields), DiscoveryClient.NO_INDEX),
                validator.valueOr(() -> SettingsReader.checked(fields.object("settings")), null),
                validator.valueOr(() -> warmUpMs(fields), 0),
                validator.valueOr(() -> membership(fields), null),
                validator.valueOr(() -> fields.has("agreement") ? fields.object("agreement") : null, null));
        validator.throwIfInvalid();
        return config;
    }

    private static HostAndPort listen(JsonFields fields, Map<String, String> environment) {
        return HostAndPort.read(environment.getOrDefault("GW_LISTEN", fields.textOr("listen", "")), "listen");
    }

    private static HostAndPort console(JsonFields fields, Map<String, String> environment) {
        String address = environment.getOrDefault("GW_CONSOLE", fields.textOr("console", ""));
        return address.isEmpty() ? null : HostAndPort.read(address, "console");
    }

    private static HostAndPort discovery(JsonFields fields, Map<String, String> environment) {
        HostAndPort discovery = HostAndPort.read(
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
        long sockets = fields.object("limits").serial("sockets");
        if (sockets < MIN_SOCKETS || sockets > Integer.MAX_VALUE / 2) {
            throw new InvalidConfigurationException(
                    "limits.sockets", "must be a whole number from " + MIN_SOCKETS + " on");
        }
        return (int) sockets;
    }

    private static List<Backend> known(JsonFields fields) {
        return fields.has("known") ? EndpointCodec.read(fields.object("known").objects("endpoints")) : List.of();
    }

    private static long knownIndex(JsonFields fields) {
        return fields.has("known") && fields.object("known").has("index")
                ? fields.object("known").serial("index")
                : DiscoveryClient.NO_INDEX;
    }

    private static int warmUpMs(JsonFields fields) {
        int warmUpMs = fields.wholeOr("rehearsal_ms", DEFAULT_WARM_UP_MS);
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
