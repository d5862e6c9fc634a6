package opalcove.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import opalcove.decision.Admission;

/**
 * The one reader of a deployment's settings, for the simulator's adapter and for the gateway with all its fronts.
 * {@code docs/settings.md} lists every key with its unit, its use and what is refused.
 */
public final class SettingsReader {
    private static final Map<String, Admission.Gauge> GAUGES = Map.of(
            "busy_reqs",
            Admission.Gauge.IN_HAND,
            "pending",
            Admission.Gauge.WAITING,
            "cpu_share",
            Admission.Gauge.BUSY_SHARE,
            "svc_ms",
            Admission.Gauge.SERVICE_MS,
            "served_ps",
            Admission.Gauge.SERVED_PER_S,
            "failed_ps",
            Admission.Gauge.ERRORS_PER_S);

    /** The words for whether a class's requests may run more than once. */
    private static final Map<String, Admission.Effect> IDEMPOTENCY =
            Map.of("safe", Admission.Effect.SAFE, "keyed", Admission.Effect.KEYED, "unsafe", Admission.Effect.UNSAFE);

    /** The words for which backends drop repeats of a request with a key. */
    private static final Map<String, Admission.Reach> GROUP =
            Map.of("all", Admission.Reach.ALL, "zone", Admission.Reach.ZONE, "cell", Admission.Reach.CELL);

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
     * @throws BadSettings with every value that cannot be served, each by its key and the reason
     */
    public static Admission.Settings checked(Fields fields) {
        List<BadSettings.Problem> problems = new ArrayList<>();
        Admission.Settings settings = settings(new RangedFields(fields, problems));
        if (!problems.isEmpty()) {
            throw new BadSettings(problems);
        }
        try {
            settings.check();
        } catch (IllegalArgumentException e) {
            throw new BadSettings(fields.path(), "contradicts itself: " + e.getMessage());
        }
        return settings;
    }

    private static Admission.Settings settings(RangedFields fields) {
        RangedFields specifics = fields.object("specifics");
        RangedFields feedback = fields.object("feedback");
        int gateways = fields.whole("balancers", COUNT);
        int self = fields.whole("me", INDEX);
        if (fields.sound("me", "balancers") && self >= gateways) {
            fields.refuse("me", "must be below balancers, " + gateways);
        }
        return new Admission.Settings(
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

    private static List<Admission.RequestClass> classes(List<RangedFields> profiles) {
        Set<String> names = new HashSet<>();
        List<Admission.RequestClass> classes = new ArrayList<>();
        for (RangedFields profile : profiles) {
            classes.add(new Admission.RequestClass(
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

    private static List<Admission.Plan> plans(List<RangedFields> tiers) {
        Set<String> names = new HashSet<>();
        List<Admission.Plan> plans = new ArrayList<>();
        for (RangedFields tier : tiers) {
            Admission.Plan plan = new Admission.Plan(
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

    private static Admission.Limits limits(RangedFields ceilings, RangedFields specifics) {
        return new Admission.Limits(
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

    private static Admission.Duties duties(RangedFields obligations, String discovery) {
        return new Admission.Duties(
                obligations.numberOr("answer_slack_ms", 0, Range.NOT_NEGATIVE),
                obligations.numberOr("cold_from", 0, Range.SHARE),
                obligations.numberOr("warm_after_ms", 0, Range.NOT_NEGATIVE),
                obligations.numberOr("overload_factor", 1, Range.POSITIVE),
                obligations.numberOr("fall_ms", 0, Range.NOT_NEGATIVE),
                discovery.equals("on_request"),
                obligations.numberOr("ask_within_ms", 0, Range.NOT_NEGATIVE),
                obligations.numberOr(
                        "stop_sending_within_ms", Admission.Duties.DEFAULT_DRAIN_GRACE_MS, Range.NOT_NEGATIVE));
    }

    private static Admission.Prices prices(RangedFields costs) {
        return new Admission.Prices(
                costs.numberOr("cross_zone", 0, Range.NOT_NEGATIVE),
                costs.numberOr("waste", 0, Range.NOT_NEGATIVE),
                costs.numberOr("probe", 0, Range.NOT_NEGATIVE),
                costs.numberOr("late_fail", 0, Range.NOT_NEGATIVE));
    }

    private static Admission.Reports reports(String word) {
        return switch (word) {
            case "inline" -> Admission.Reports.IN_ANSWERS;
            case "on_probe" -> Admission.Reports.ON_PROBES;
            default -> Admission.Reports.NONE;
        };
    }

    /** The value of a load report that a name stands for. */
    public static Admission.Gauge gauge(String name) {
        return GAUGES.getOrDefault(name, Admission.Gauge.UNKNOWN);
    }
}
