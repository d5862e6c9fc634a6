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

/**
 * The document of a version, with methods that derive the restricted configurations from it.
 *
 * @param settings the settings, in the format of the configuration file
 * @param backends the endpoint list; null if the list comes from discovery
 */
record ConfigDocument(DecisionSettings settings, List<Backend> backends) {
    private static final Set<String> KEYS = Set.of("settings", "nodes");

    /**
     * Parses and validates a document.
     *
     * @throws InvalidConfigurationException with key and reason, if the document is invalid
     */
    static ConfigDocument read(String text) {
        JsonFields fields = JsonFields.parse(text);
        for (String name : fields.names()) {
            if (!KEYS.contains(name)) {
                throw new InvalidConfigurationException(
                        "field " + name + " is not known; there are settings and nodes");
            }
        }
        Set<String> names = new HashSet<>();
        List<Backend> backends = fields.has("nodes") ? EndpointCodec.read(fields.objects("nodes")) : null;
        for (Backend each : backends == null ? List.<Backend>of() : backends) {
            if (!names.add(each.name())) {
                throw new InvalidConfigurationException("field nodes names " + each.name() + " twice");
            }
        }
        return new ConfigDocument(SettingsReader.read(fields.object("settings")), backends);
    }

    /** Returns this document for one gateway, with the index and the zone of the gateway's own settings. */
    ConfigDocument forGateway(DecisionSettings own) {
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
                backends);
    }

    /**
     * Returns the part that cannot conflict with another version, as far as this version and the previous one show: one
     * attempt per request, the lower limits of each plan, and only backends that take new requests in both versions.
     */
    ConfigDocument strict(ConfigDocument previous) {
        Map<String, DecisionSettings.Plan> previousPlans = previous.settings.plans().stream()
                .collect(Collectors.toMap(DecisionSettings.Plan::name, plan -> plan, (one, other) -> one));
        List<DecisionSettings.Plan> plans = new ArrayList<>();
        for (DecisionSettings.Plan plan : settings.plans()) {
            plans.add(stricter(plan, previousPlans.getOrDefault(plan.name(), plan)));
        }
        DecisionSettings.Limits current = settings.limits();
        DecisionSettings.Limits limits = new DecisionSettings.Limits(
                1,
                false,
                current.mayCancel(),
                current.mayProbe(),
                current.retryAfter(),
                current.maxRetryAfterMs(),
                current.idleCloseMs(),
                current.counter(),
                current.connectTimeoutMs(),
                current.maxOpen(),
                current.maxUnits());
        Set<String> drained = previous.backends == null
                ? Set.of()
                : previous.backends.stream()
                        .filter(backend -> backend.endpoint().state() != EndpointState.UP)
                        .map(Backend::name)
                        .collect(Collectors.toSet());
        return new ConfigDocument(
                with(plans, limits),
                backends == null
                        ? null
                        : backends.stream()
                                .filter(backend -> !drained.contains(backend.name()))
                                .toList());
    }

    private static DecisionSettings.Plan stricter(DecisionSettings.Plan plan, DecisionSettings.Plan previous) {
        return new DecisionSettings.Plan(
                plan.name(),
                lowerLimit(plan.rate(), previous.rate()),
                lowerLimit(plan.burst(), previous.burst()),
                (int) lowerLimit(plan.maxInFlight(), previous.maxInFlight()),
                plan.price(),
                plan.overQuotaWeight(),
                plan.overQuotaCost(),
                lowerLimit(plan.ceilingRate(), previous.ceilingRate()),
                lowerLimit(plan.ceilingBurst(), previous.ceilingBurst()),
                plan.ceilingSlack());
    }

    /** Returns this document without any backend, if the document contains the endpoint list. */
    ConfigDocument withoutBackends() {
        return backends == null ? this : new ConfigDocument(settings, List.of());
    }

    /** Returns this document with each plan's burst reduced to the share of one gateway. */
    ConfigDocument withBurstShares() {
        int gateways = Math.max(1, settings.gateways());
        List<DecisionSettings.Plan> plans = settings.plans().stream()
                .map(plan -> new DecisionSettings.Plan(
                        plan.name(),
                        plan.rate(),
                        plan.burst() / gateways,
                        plan.maxInFlight(),
                        plan.price(),
                        plan.overQuotaWeight(),
                        plan.overQuotaCost(),
                        plan.ceilingRate(),
                        plan.ceilingBurst() / gateways,
                        plan.ceilingSlack()))
                .toList();
        return new ConfigDocument(with(plans, settings.limits()), backends);
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

    /** Returns the lower of two limits, where 0 means no limit. */
    private static double lowerLimit(double one, double other) {
        return one <= 0 || other <= 0 ? Math.max(one, other) : Math.min(one, other);
    }
}
