package opalcove.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import opalcove.decision.DecisionSettings;
import opalcove.decision.DeduplicationScope;
import opalcove.decision.Idempotency;
import opalcove.decision.LoadMetric;
import opalcove.decision.LoadReportSource;

/**
 * Reads the settings of a deployment, both for the simulator's adapter and for the gateway with all its protocols.
 * {@code docs/settings.md} lists every key with its unit, its use and the values that are rejected.
 */
public final class SettingsReader {
    private static final Map<String, LoadMetric> LOAD_METRICS = Map.of(
            "busy_reqs",
            LoadMetric.IN_FLIGHT,
            "pending",
            LoadMetric.QUEUED,
            "cpu_share",
            LoadMetric.CPU_SHARE,
            "svc_ms",
            LoadMetric.SERVICE_MS,
            "served_ps",
            LoadMetric.SERVED_PER_S,
            "failed_ps",
            LoadMetric.ERRORS_PER_S);

    /** Whether the requests of a class may be executed more than once. */
    private static final Map<String, Idempotency> IDEMPOTENCIES =
            Map.of("safe", Idempotency.SAFE, "keyed", Idempotency.KEYED, "unsafe", Idempotency.UNSAFE);

    /** Which backends discard repeated requests with the same key. */
    private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES =
            Map.of("all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);

    /** Whether changes of the endpoint list are pushed or must be polled; the first is the default. */
    private static final List<String> DISCOVERY_KINDS = List.of("pushed", "on_request");

    /** Where load reports come from; the first is the default. */
    private static final List<String> LOAD_REPORT_SOURCES = List.of("off", "inline", "on_probe");

    /** The upper bound exceeds the gateways, attempts and open requests of any deployment. */
    private static final Range COUNT = Range.of(1, 1_000_000);

    private static final Range COUNT_OR_ZERO = Range.of(0, 1_000_000);

    /** A time limit of a request or of opening a connection, in ms; one day at most. */
    private static final Range TIME_LIMIT_MS = Range.of(1, 86_400_000);

    /**
     * A step of the simulator's clock, in ms; a step above this maximum would be longer than the requests themselves.
     */
    private static final Range TICK_MS = Range.of(0.001, 60_000);

    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
    private static final int DEFAULT_MAX_OPEN_REQUESTS = 20_000;

    private SettingsReader() {}

    /**
     * Reads the settings object. Unknown keys are ignored, as the specification of the protocol requires.
     *
     * @throws InvalidConfigurationException with every invalid value, each by its key and the reason
     */
    public static DecisionSettings read(JsonFields fields) {
        List<InvalidConfigurationException.Problem> problems = new ArrayList<>();
        DecisionSettings settings = settings(new RangedJsonFields(fields, problems));
        if (!problems.isEmpty()) {
            throw new InvalidConfigurationException(problems);
        }
        try {
            settings.check();
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigurationException(fields.path(), "contradicts itself: " + e.getMessage());
        }
        return settings;
    }

    private static DecisionSettings settings(RangedJsonFields fields) {
        RangedJsonFields specifics = fields.object("specifics");
        RangedJsonFields feedback = fields.object("feedback");
        int gateways = fields.integer("balancers", COUNT);
        int self = fields.integer("me", COUNT_OR_ZERO);
        if (fields.areValid("me", "balancers") && self >= gateways) {
            fields.reject("me", "must be below balancers, " + gateways);
        }
        return new DecisionSettings(
                self,
                gateways,
                fields.textOr("locality", ""),
                fields.numberOr("tick_ms", 1, TICK_MS),
                specifics.numberOr("meter_period_ms", 0, Range.NOT_NEGATIVE),
                specifics.flag("cost_after"),
                classes(fields.objects("profiles")),
                plans(fields.objects("tiers_of_service")),
                limits(fields.object("ceilings"), specifics),
                obligations(fields.object("obligations"), fields.oneOf("discovery", DISCOVERY_KINDS)),
                costs(fields.object("costs")),
                loadReportSource(feedback.oneOf("how", LOAD_REPORT_SOURCES)),
                feedback.texts("columns").stream()
                        .map(SettingsReader::loadMetric)
                        .toList());
    }

    private static List<DecisionSettings.RequestClass> classes(List<RangedJsonFields> profiles) {
        Set<String> names = new HashSet<>();
        List<DecisionSettings.RequestClass> classes = new ArrayList<>();
        for (RangedJsonFields profile : profiles) {
            classes.add(new DecisionSettings.RequestClass(
                    profile.uniqueName("name", names),
                    profile.number("value", Range.NOT_NEGATIVE),
                    profile.numberOr("late_value", 0, Range.SHARE),
                    profile.number("aim_ms", TIME_LIMIT_MS),
                    profile.number("deadline_ms", TIME_LIMIT_MS),
                    profile.choice("idempotency", IDEMPOTENCIES),
                    profile.choice("group", DEDUPLICATION_SCOPES),
                    profile.numberOr("window_ms", 0, Range.NOT_NEGATIVE),
                    profile.flag("stream")));
        }
        return classes;
    }

    private static List<DecisionSettings.Plan> plans(List<RangedJsonFields> tiers) {
        Set<String> names = new HashSet<>();
        List<DecisionSettings.Plan> plans = new ArrayList<>();
        for (RangedJsonFields tier : tiers) {
            DecisionSettings.Plan plan = new DecisionSettings.Plan(
                    tier.uniqueName("name", names),
                    tier.numberOr("quota_rate", 0, Range.NOT_NEGATIVE),
                    tier.numberOr("peak_units", 0, Range.NOT_NEGATIVE),
                    tier.integerOr("max_out", 0, COUNT_OR_ZERO),
                    tier.numberOr("value_factor", 1, Range.NOT_NEGATIVE),
                    tier.numberOr("excess_worth", 0, Range.NOT_NEGATIVE),
                    tier.numberOr("overrun_cost", 0, Range.NOT_NEGATIVE),
                    tier.numberOr("cap_rate", 0, Range.NOT_NEGATIVE),
                    tier.numberOr("hard_burst", 0, Range.NOT_NEGATIVE),
                    tier.numberOr("tolerance", 0, Range.NOT_NEGATIVE));
            if (tier.areValid("cap_rate", "hard_burst") && plan.ceilingRate() > 0 && plan.ceilingBurst() == 0) {
                tier.reject("hard_burst", "must be over 0 where cap_rate is: no request would ever pass");
            }
            plans.add(plan);
        }
        return plans;
    }

    private static DecisionSettings.Limits limits(RangedJsonFields ceilings, RangedJsonFields specifics) {
        return new DecisionSettings.Limits(
                ceilings.integerOr("max_attempts", 1, COUNT),
                ceilings.flag("second_copies"),
                ceilings.flag("may_cancel"),
                ceilings.flag("may_probe"),
                ceilings.flag("retry_after"),
                ceilings.numberOr("max_retry_after_ms", 0, Range.NOT_NEGATIVE),
                ceilings.numberOr("idle_close_ms", 0, Range.NOT_NEGATIVE),
                specifics.flag("counter"),
                ceilings.numberOr("dial_timeout_ms", DEFAULT_CONNECT_TIMEOUT_MS, TIME_LIMIT_MS),
                ceilings.integerOr("max_open", DEFAULT_MAX_OPEN_REQUESTS, COUNT),
                specifics.numberOr("largest", Double.MAX_VALUE, Range.POSITIVE));
    }

    private static DecisionSettings.Obligations obligations(RangedJsonFields section, String discovery) {
        return new DecisionSettings.Obligations(
                section.numberOr("answer_slack_ms", 0, Range.NOT_NEGATIVE),
                section.numberOr("cold_from", 0, Range.SHARE),
                section.numberOr("warm_after_ms", 0, Range.NOT_NEGATIVE),
                section.numberOr("overload_factor", 1, Range.POSITIVE),
                section.numberOr("fall_ms", 0, Range.NOT_NEGATIVE),
                discovery.equals("on_request"),
                section.numberOr("ask_within_ms", 0, Range.NOT_NEGATIVE),
                section.numberOr(
                        "stop_sending_within_ms",
                        DecisionSettings.Obligations.DEFAULT_DRAIN_GRACE_MS,
                        Range.NOT_NEGATIVE));
    }

    private static DecisionSettings.Costs costs(RangedJsonFields section) {
        return new DecisionSettings.Costs(
                section.numberOr("cross_zone", 0, Range.NOT_NEGATIVE),
                section.numberOr("waste", 0, Range.NOT_NEGATIVE),
                section.numberOr("probe", 0, Range.NOT_NEGATIVE),
                section.numberOr("late_fail", 0, Range.NOT_NEGATIVE));
    }

    private static LoadReportSource loadReportSource(String option) {
        return switch (option) {
            case "inline" -> LoadReportSource.IN_RESPONSES;
            case "on_probe" -> LoadReportSource.ON_HEALTH_CHECKS;
            default -> LoadReportSource.NONE;
        };
    }

    /** Returns the load metric that a column of this name in load reports holds. */
    public static LoadMetric loadMetric(String name) {
        return LOAD_METRICS.getOrDefault(name, LoadMetric.UNKNOWN);
    }
}
