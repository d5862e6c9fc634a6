package opalcove.cluster;

import java.util.List;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.membership.SwimConfig;

/**
 * The section {@code membership} of the configuration: where this member listens for datagrams, the address that it tells
 * the others ({@code advertise}, where that is another), some members to join through, the protocol's figures, and whether
 * each change is written to standard output as a JSON line ({@code events}).
 */
public record MembershipConfig(
        HostAndPort listen, String advertise, List<String> seeds, SwimConfig figures, boolean events) {
    private static final int LEAST_PROBE_MS = 20;

    /** Reads the section; what is wrong is told with its key. */
    public static MembershipConfig read(JsonFields fields) {
        HostAndPort listen = HostAndPort.read(fields.text("listen"), "membership.listen");
        String advertise = fields.textOr("advertise", "");
        if (!advertise.isEmpty()) {
            HostAndPort.read(advertise, "membership.advertise");
        }
        List<String> seeds = fields.texts("seeds");
        seeds.forEach(seed -> HostAndPort.read(seed, "membership.seeds"));
        int probeMs = fields.wholeOr("probe_ms", 500);
        if (probeMs < LEAST_PROBE_MS || probeMs > 60_000) {
            throw new InvalidConfigurationException(
                    "membership.probe_ms", "must be from " + LEAST_PROBE_MS + " to 60000");
        }
        return new MembershipConfig(listen, advertise, seeds, SwimConfig.of(probeMs), fields.flag("events"));
    }
}
