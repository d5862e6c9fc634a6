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
 * What the platform tells a gateway at its start; console is null where no operators' door is named, membership and
 * agreement (read by who has a part for it) where the gateways do not talk, as on the platform. rehearsalMs is how long the start may rehearse, 0 for not at all.
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
        int rehearsalMs,
        MembershipConfig membership,
        JsonFields agreement) {
    /**
     * How long the rehearsal may take with all its waits, ms; it is over sooner on a whole core. The platform allows a
     * start 6 s to its yes, of which the machine may take its part first.
     */
    private static final int REHEARSAL_MS = 2500;

    private static final int MOST_REHEARSAL_MS = 60_000;

    private static final int SOCKETS = 1024;

    /** With fewer descriptors no share of them is left for connections to clients and backends. */
    private static final int LEAST_SOCKETS = 16;

    /**
     * Reads the file that GW_CONFIG names. The other variables go before what it says, but for discovery: they are as
     * old as the process, and the file may have been replaced under it.
     *
     * @throws InvalidConfigurationException with every problem of the file, each by file, key and reason
     */
    public static GatewayConfig read(Map<String, String> environment) {
        String file = environment.get("GW_CONFIG");
        if (file == null) {
            throw new InvalidConfigurationException("GW_CONFIG is not set");
        }
        ConfigValidator check = new ConfigValidator(Path.of(file));
        JsonFields fields = check.fields();
        GatewayConfig config = new GatewayConfig(
                check.valueOr(() -> environment.getOrDefault("GW_NAME", fields.textOr("name", "")), ""),
                check.valueOr(() -> listen(fields, environment), null),
                check.valueOr(() -> console(fields, environment), null),
                check.valueOr(() -> discovery(fields, environment), null),
                check.valueOr(() -> seed(fields), 0L),
                check.valueOr(() -> sockets(fields), SOCKETS),
                check.valueOr(() -> known(fields), List.of()),
                check.valueOr(() -> knownIndex(fields), DiscoveryClient.NO_INDEX),
                check.valueOr(() -> SettingsReader.read(fields.object("settings")), null),
                check.valueOr(() -> rehearsalMs(fields), 0),
                check.valueOr(() -> membership(fields), null),
                check.valueOr(() -> fields.has("agreement") ? fields.object("agreement") : null, null));
        check.throwIfInvalid();
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
            return SOCKETS;
        }
        long sockets = fields.object("limits").serial("sockets");
        if (sockets < LEAST_SOCKETS || sockets > Integer.MAX_VALUE / 2) {
            throw new InvalidConfigurationException(
                    "limits.sockets", "must be a whole number from " + LEAST_SOCKETS + " on");
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

    private static int rehearsalMs(JsonFields fields) {
        int rehearsalMs = fields.wholeOr("rehearsal_ms", REHEARSAL_MS);
        if (rehearsalMs < 0 || rehearsalMs > MOST_REHEARSAL_MS) {
            throw new InvalidConfigurationException("rehearsal_ms", "must be from 0 to " + MOST_REHEARSAL_MS);
        }
        return rehearsalMs;
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
