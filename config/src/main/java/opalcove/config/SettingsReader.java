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
 * The one reader of a deployment's settings, for the simulator's adapter and for the gateway with all its fronts.
 * {@code docs/settings.md} lists every key with its unit, its use and what is refused.
 */
public final class SettingsReader {
    private static final Map<String, LoadMetric> GAUGES = Map.of(
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

    /** The words for whether a class's requests may run more than once. */
    private static final Map<String, Idempotency> IDEMPOTENCY =
            Map.of("safe", Idempotency.SAFE, "keyed", Idempotency.KEYED, "unsafe", Idempotency.UNSAFE);

    /** The words for which backends drop repeats of a request with a key. */
    private static final Map<String, DeduplicationScope> GROUP =
            Map.of("all", DeduplicationScope.ALL, "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);

    /** The words for who learns of a changed node list by itself; the first holds where the key is absent. */
    private static final List<String> DISCOVERY = List.of("pushed", "on_request");

    /** The words for where load reports come from; the first holds where the key is absent. */
    private static final List<String> REPORTS = List.of("off", "inline", "on_probe");

    /** More gateways, attempts or open requests than any deployment has. */
    private static final Range COUNT = Range.of(1, 1_000_000);

    private static final Range INDEX = Range.of(0, 1_000_000);

    /** How long a client or a connection may be waited for, ms; a day at most. */
    private static final Range WAIT_MS = Range.of(1, 86_400_000);

    /** A step of the simulator's clock; longer ones would be longer than requests, ms. */
    private static final Range TICK_MS = Range.of(0.001, 60_000);

    private static final double DIAL_TIMEOUT_MS = 250;
    private static final int MAX_OPEN = 20_000;

    private SettingsReader() {}

    /**
     * Reads the settings object; keys it does not know are passed over, as the wire's page asks.
     *
     * @throws InvalidConfigurationException with every value that cannot be served, each by its key and the reason
     */
    public static DecisionSettings checked(JsonFields fields) {
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
        int gateways = fields.whole("balancers", COUNT);
        int self = fields.whole("me", INDEX);
        if (fields.sound("me", "balancers") && self >= gateways) {
            fields.refuse("me", "must be below balancers, " + gateways);
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
                duties(fields.object("obligations"), fields.oneOf("discovery", DISCOVERY)),
                prices(fields.object("costs")),
                reports(feedback.oneOf("how", REPORTS)),
                feedback.texts("columns").stream().map(SettingsReader::gauge).toList());
    }

    private static List<DecisionSettings.RequestClass> classes(List<RangedJsonFields> profiles) {
        Set<String> names = new HashSet<>();
        List<DecisionSettings.RequestClass> classes = new ArrayList<>();
        for (RangedJsonFields profile : profiles) {
            classes.add(new DecisionSettings.RequestClass(
                    profile.uniqueName("name", names),
                    profile.number("value", Range.NOT_NEGATIVE),
                    profile.numberOr("late_value", 0, Range.SHARE),
                    profile.number("aim_ms", WAIT_MS),
                    profile.number("deadline_ms", WAIT_MS),
                    profile.choice("idempotency", IDEMPOTENCY),
                    profile.choice("group", GROUP),
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
                    tier.wholeOr("max_out", 0, INDEX),
                    tier.numberOr("value_factor", 1, Range.NOT_NEGATIVE),
                    tier.numberOr("excess_worth", 0, Range.NOT_NEGATIVE),
                    tier.numberOr("overrun_cost", 0, Range.NOT_NEGATIVE),
                    tier.numberOr("cap_rate", 0, Range.NOT_NEGATIVE),
                    tier.numberOr("hard_burst", 0, Range.NOT_NEGATIVE),
                    tier.numberOr("tolerance", 0, Range.NOT_NEGATIVE));
            if (tier.sound("cap_rate", "hard_burst") && plan.ceilingRate() > 0 && plan.ceilingBurst() == 0) {
                tier.refuse("hard_burst", "must be over 0 where cap_rate is: no request would ever pass");
            }
            plans.add(plan);
        }
        return plans;
    }

    private static DecisionSettings.Limits limits(RangedJsonFields ceilings, RangedJsonFields specifics) {
        return new DecisionSettings.Limits(
                ceilings.wholeOr("max_attempts", 1, COUNT),
                ceilings.flag("second_copies"),
                ceilings.flag("may_cancel"),
                ceilings.flag("may_probe"),
                ceilings.flag("retry_after"),
                ceilings.numberOr("max_retry_after_ms", 0, Range.NOT_NEGATIVE),
                ceilings.numberOr("idle_close_ms", 0, Range.NOT_NEGATIVE),
                specifics.flag("counter"),
                ceilings.numberOr("dial_timeout_ms", DIAL_TIMEOUT_MS, WAIT_MS),
                ceilings.wholeOr("max_open", MAX_OPEN, COUNT),
                specifics.numberOr("largest", Double.MAX_VALUE, Range.POSITIVE));
    }

    private static DecisionSettings.Obligations duties(RangedJsonFields obligations, String discovery) {
        return new DecisionSettings.Obligations(
                obligations.numberOr("answer_slack_ms", 0, Range.NOT_NEGATIVE),
                obligations.numberOr("cold_from", 0, Range.SHARE),
                obligations.numberOr("warm_after_ms", 0, Range.NOT_NEGATIVE),
                obligations.numberOr("overload_factor", 1, Range.POSITIVE),
                obligations.numberOr("fall_ms", 0, Range.NOT_NEGATIVE),
                discovery.equals("on_request"),
                obligations.numberOr("ask_within_ms", 0, Range.NOT_NEGATIVE),
                obligations.numberOr(
                        "stop_sending_within_ms",
                        DecisionSettings.Obligations.DEFAULT_DRAIN_GRACE_MS,
                        Range.NOT_NEGATIVE));
    }

    private static DecisionSettings.Costs prices(RangedJsonFields costs) {
        return new DecisionSettings.Costs(
                costs.numberOr("cross_zone", 0, Range.NOT_NEGATIVE),
                costs.numberOr("waste", 0, Range.NOT_NEGATIVE),
                costs.numberOr("probe", 0, Range.NOT_NEGATIVE),
                costs.numberOr("late_fail", 0, Range.NOT_NEGATIVE));
    }

    private static LoadReportSource reports(String word) {
        return switch (word) {
            case "inline" -> LoadReportSource.IN_RESPONSES;
            case "on_probe" -> LoadReportSource.ON_HEALTH_CHECKS;
            default -> LoadReportSource.NONE;
        };
    }

    /** The value of a load report that a name stands for. */
    public static LoadMetric gauge(String name) {
        return GAUGES.getOrDefault(name, LoadMetric.UNKNOWN);
    }
}
