package opalcove.cluster;

import java.util.List;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.membership.SwimConfig;

/**
 * The section {@code membership} of the configuration.
 *
 * @param listen the address at which this member listens for datagrams
 * @param advertise the address that this member announces to other members; empty for the address at which it listens
 * @param seeds the addresses of members through which this member joins the fleet
 * @param protocol the times and limits of the protocol
 * @param events whether each change of a member is written to standard output as a JSON line
 */
public record MembershipConfig(
        HostAndPort listen, String advertise, List<String> seeds, SwimConfig protocol, boolean events) {
    private static final int MIN_PROBE_PERIOD_MS = 20;
    private static final int MAX_PROBE_PERIOD_MS = 60_000;
    private static final int DEFAULT_PROBE_PERIOD_MS = 500;

    /**
     * Reads the section.
     *
     * @throws InvalidConfigurationException with the key of the first invalid value
     */
    public static MembershipConfig read(JsonFields fields) {
        HostAndPort listen = HostAndPort.parse(fields.text("listen"), "membership.listen");
        String advertise = fields.textOr("advertise", "");
        if (!advertise.isEmpty()) {
            HostAndPort.parse(advertise, "membership.advertise");
        }
        List<String> seeds = fields.texts("seeds");
        seeds.forEach(seed -> HostAndPort.parse(seed, "membership.seeds"));
        int probePeriodMs = fields.integerOr("probe_ms", DEFAULT_PROBE_PERIOD_MS);
        if (probePeriodMs < MIN_PROBE_PERIOD_MS || probePeriodMs > MAX_PROBE_PERIOD_MS) {
            throw new InvalidConfigurationException(
                    "membership.probe_ms", "must be from " + MIN_PROBE_PERIOD_MS + " to " + MAX_PROBE_PERIOD_MS);
        }
        return new MembershipConfig(listen, advertise, seeds, SwimConfig.of(probePeriodMs), fields.flag("events"));
    }
}
