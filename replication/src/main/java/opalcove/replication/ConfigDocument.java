package opalcove.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import opalcove.config.Backend;
import opalcove.config.EndpointCodec;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.DecisionSettings;
import opalcove.decision.EndpointState;

/** A version's text read: {@code settings} as in the configuration file, and {@code nodes}, null where discovery has the list. */
record ConfigDocument(DecisionSettings settings, List<Backend> nodes) {
    private static final Set<String> KEYS = Set.of("settings", "nodes");

    /** Reads and checks a text, as a file is at SIGHUP: one that is broken is refused with key and reason. */
    static ConfigDocument read(String text) {
        JsonFields fields = JsonFields.parse(text);
        for (String name : fields.names()) {
            if (!KEYS.contains(name)) {
                throw new InvalidConfigurationException(
                        "field " + name + " is not known; there are settings and nodes");
            }
        }
        Set<String> names = new HashSet<>();
        List<Backend> nodes = fields.has("nodes") ? EndpointCodec.read(fields.objects("nodes")) : null;
        for (Backend each : nodes == null ? List.<Backend>of() : nodes) {
            if (!names.add(each.name())) {
                throw new InvalidConfigurationException("field nodes names " + each.name() + " twice");
            }
        }
        return new ConfigDocument(SettingsReader.checked(fields.object("settings")), nodes);
    }

    /** The same for one gateway: which one it is, and where, stays its own. */
    ConfigDocument at(DecisionSettings own) {
        return new ConfigDocument(
                new DecisionSettings(
                        own.self(),
                        settings.gateways(),
                        own.zone(),
                        settings.tickMs(),
                        settings.meterPeriodMs(),
                        settings.unitsAreEstimates(),
                        settings.classes(),
                        settings.plans(),
                        settings.limits(),
                        settings.obligations(),
                        settings.costs(),
                        settings.loadReportSource(),
                        settings.loadMetrics()),
                nodes);
    }

    /**
     * What cannot contradict, as far as a gateway can know that only knows this version and the one before: one attempt, each
     * plan's lesser quota, and only nodes that take new work by both.
     */
    ConfigDocument strict(ConfigDocument before) {
        Map<String, DecisionSettings.Plan> earlier = before.settings.plans().stream()
                .collect(Collectors.toMap(DecisionSettings.Plan::name, plan -> plan, (one, other) -> one));
        List<DecisionSettings.Plan> plans = new ArrayList<>();
        for (DecisionSettings.Plan plan : settings.plans()) {
            plans.add(lesser(plan, earlier.getOrDefault(plan.name(), plan)));
        }
        DecisionSettings.Limits l = settings.limits();
        DecisionSettings.Limits limits = new DecisionSettings.Limits(
                1,
                false,
                l.mayCancel(),
                l.mayProbe(),
                l.retryAfter(),
                l.maxRetryAfterMs(),
                l.idleCloseMs(),
                l.counter(),
                l.connectTimeoutMs(),
                l.maxOpen(),
                l.maxUnits());
        Set<String> closed = before.nodes == null
                ? Set.of()
                : before.nodes.stream()
                        .filter(node -> node.host().state() != EndpointState.UP)
                        .map(Backend::name)
                        .collect(Collectors.toSet());
        return new ConfigDocument(
                with(plans, limits),
                nodes == null
                        ? null
                        : nodes.stream()
                                .filter(node -> !closed.contains(node.name()))
                                .toList());
    }

    private static DecisionSettings.Plan lesser(DecisionSettings.Plan a, DecisionSettings.Plan b) {
        return new DecisionSettings.Plan(
                a.name(),
                least(a.rate(), b.rate()),
                least(a.burst(), b.burst()),
                (int) least(a.maxInFlight(), b.maxInFlight()),
                a.price(),
                a.overQuotaWeight(),
                a.overQuotaCost(),
                least(a.ceilingRate(), b.ceilingRate()),
                least(a.ceilingBurst(), b.ceilingBurst()),
                a.ceilingSlack());
    }

    /** The same with no node that takes new work, where the list is agreed on. */
    ConfigDocument closed() {
        return nodes == null ? this : new ConfigDocument(settings, List.of());
    }

    /** The same with each plan's burst cut to one gateway's part of it. */
    ConfigDocument held() {
        int gateways = Math.max(1, settings.gateways());
        List<DecisionSettings.Plan> plans = settings.plans().stream()
                .map(p -> new DecisionSettings.Plan(
                        p.name(),
                        p.rate(),
                        p.burst() / gateways,
                        p.maxInFlight(),
                        p.price(),
                        p.overQuotaWeight(),
                        p.overQuotaCost(),
                        p.ceilingRate(),
                        p.ceilingBurst() / gateways,
                        p.ceilingSlack()))
                .toList();
        return new ConfigDocument(with(plans, settings.limits()), nodes);
    }

    private DecisionSettings with(List<DecisionSettings.Plan> plans, DecisionSettings.Limits limits) {
        return new DecisionSettings(
                settings.self(),
                settings.gateways(),
                settings.zone(),
                settings.tickMs(),
                settings.meterPeriodMs(),
                settings.unitsAreEstimates(),
                settings.classes(),
                plans,
                limits,
                settings.obligations(),
                settings.costs(),
                settings.loadReportSource(),
                settings.loadMetrics());
    }

    /** 0 is no limit. */
    private static double least(double a, double b) {
        return a <= 0 || b <= 0 ? Math.max(a, b) : Math.min(a, b);
    }
}
