package opalcove.laboratory.coldstart;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import opalcove.decision.AdmissionRequest;
import opalcove.decision.DecisionSettings;
import opalcove.decision.DecisionSettings.Costs;
import opalcove.decision.DecisionSettings.Limits;
import opalcove.decision.DecisionSettings.Obligations;
import opalcove.decision.DecisionSettings.RequestClass;
import opalcove.decision.DeduplicationScope;
import opalcove.decision.Endpoint;
import opalcove.decision.Idempotency;
import opalcove.decision.LoadReportSource;

/**
 * One seeded run of the model. In a fleet under uneven load, a part of the backends crashes and returns in slow
 * start, or a part is drained and replaced by new backends. Other backends join, the load rises in a burst, the
 * traffic shifts among the gateways, and a part of the gateways restarts in the middle of the ramp.
 * Sizes, loads and times are drawn from the seed: the same seed and plan give the same run.
 */
final class SlowStartModel {
    private static final double FIRST_CRASH_MS = 10_000;
    private static final double TICK_MS = 2;
    private static final double LATENCY_OBJECTIVE_MS = 2000;
    static final double DEADLINE_MS = 6000;
    /** The maximum delay, in ms, after which a change of the endpoint list reaches a gateway. */
    private static final double MAX_LIST_DELAY_MS = 1000;
    /** The time for which a restarted gateway is down, in ms. */
    private static final double RESTART_MS = 1500;
    /** The time over which gateways that restart one after another are spread, in ms. */
    private static final double STAGGERED_RESTARTS_MS = 6000;

    private static final String[] ZONES = {"zone-1", "zone-2", "zone-3"};
    static final String PLAN = "open";
    static final String[] CLASSES = {"read", "update", "record"};
    private static final double[] VALUE = {2, 2, 6};
    static final ModelBackend.Shape LARGE = new ModelBackend.Shape(3, 1, 15);
    private static final ModelBackend.Shape SMALL = new ModelBackend.Shape(2, 0.6, 15);

    private final SlowStartPlan plan;
    private final SplittableRandom random;
    private final VirtualClock clock = new VirtualClock();
    private final Map<String, ModelBackend> backends = new HashMap<>();
    private final List<ModelBackend> backendsInOrder = new ArrayList<>();
    private final List<ModelGateway> gateways = new ArrayList<>();
    private final double meanWorkMs;
    private final boolean mixedSizes;
    private final double warmRatePerMs;
    private final double utilization;
    private final double endMs;
    private double burstFactor = 1;
    private double[] weights;
    private long requests;
    private long servedInTime;

    private SlowStartModel(SlowStartPlan plan, long seed) {
        this.plan = plan;
        random = new SplittableRandom(seed);
        meanWorkMs = between(110, 280);
        mixedSizes = random.nextBoolean();
        utilization = between(0.4, 0.65);
        endMs = FIRST_CRASH_MS + MAX_OUTAGE_MS + MAX_JOIN_DELAY_MS + plan.rule().warmAfterMs();
        int count = 10 + random.nextInt(11);
        IntStream.range(0, count).forEach(i -> addBackend().startWarm());
        warmRatePerMs =
                backendsInOrder.stream().mapToDouble(ModelBackend::capacity).sum() / meanWorkMs;
    }

    private static final double MIN_OUTAGE_MS = 2000;
    private static final double MAX_OUTAGE_MS = 8000;
    private static final double MAX_JOIN_DELAY_MS = 5000;

    /** Runs the model with one seed. */
    static SlowStartReport play(SlowStartPlan plan, long seed) {
        SlowStartModel model = new SlowStartModel(plan, seed);
        model.schedule();
        model.clock.runUntil(model.endMs);
        return model.report(seed);
    }

    private double between(double min, double max) {
        return min + (max - min) * random.nextDouble();
    }

    private ModelBackend addBackend() {
        int number = backendsInOrder.size();
        ModelBackend.Shape shape = mixedSizes && number % 2 == 1 ? SMALL : LARGE;
        String zone = ZONES[number % ZONES.length];
        ModelBackend backend = new ModelBackend(clock, plan.rule(), "backend-" + number, zone, shape, meanWorkMs);
        backends.put(backend.name(), backend);
        backendsInOrder.add(backend);
        return backend;
    }

    private void schedule() {
        drawWeights();
        for (int i = 0; i < plan.gateways(); i++) {
            DecisionSettings settings = settings(plan, i);
            ModelGateway gateway = new ModelGateway(clock, settings, backends, random.split(), this::served);
            gateways.add(gateway);
            clock.after(between(0, 250), () -> gateway.start(endpointList()));
        }
        clock.after(500, this::nextRequest);
        double outageMs = between(MIN_OUTAGE_MS, MAX_OUTAGE_MS);
        double returnMs = FIRST_CRASH_MS + outageMs;
        if (random.nextInt(3) == 0) {
            scheduleReplacements(returnMs);
        } else {
            scheduleCrashes(outageMs);
        }
        int joining = 1 + random.nextInt(3);
        for (int i = 0; i < joining; i++) {
            clock.after(returnMs + between(0, MAX_JOIN_DELAY_MS), this::addStartingBackend);
        }
        double rampHalfMs = plan.rule().warmAfterMs() / 2;
        double burstMs = returnMs + between(0, rampHalfMs);
        double factor = between(1.5, 2);
        clock.after(burstMs, () -> burstFactor = factor);
        clock.after(burstMs + between(4000, 10_000), () -> burstFactor = 1);
        clock.after(returnMs + between(0, rampHalfMs), this::drawWeights);
        scheduleRestarts(returnMs + between(300, rampHalfMs));
    }

    private void scheduleCrashes(double outageMs) {
        double part = between(0.1, 0.35);
        for (ModelBackend backend : List.copyOf(backendsInOrder)) {
            if (random.nextDouble() < part || backend == backendsInOrder.get(0)) {
                clock.after(FIRST_CRASH_MS, () -> {
                    backend.crash();
                    announce(backend);
                });
                clock.after(FIRST_CRASH_MS + outageMs, () -> {
                    backend.startInSlowStart();
                    announce(backend);
                });
            }
        }
    }

    /** Drains a part of the backends and replaces each by a new one, all within {@link #MAX_JOIN_DELAY_MS}. */
    private void scheduleReplacements(double atMs) {
        double part = between(0.3, 0.6);
        for (ModelBackend backend : List.copyOf(backendsInOrder)) {
            if (random.nextDouble() < part) {
                clock.after(atMs + between(0, MAX_JOIN_DELAY_MS), () -> {
                    backend.drain();
                    announce(backend);
                    addStartingBackend();
                });
            }
        }
    }

    private void addStartingBackend() {
        ModelBackend backend = addBackend();
        backend.startInSlowStart();
        announce(backend);
    }

    /** Schedules the restarts of gateways: a part of them at the same time, or all of them one after another. */
    private void scheduleRestarts(double firstMs) {
        boolean atOnce = random.nextBoolean();
        double part = atOnce ? between(0.3, 1) : 1;
        for (int i = 0; i < plan.gateways(); i++) {
            ModelGateway gateway = gateways.get(i);
            if (random.nextDouble() < part) {
                double atMs = firstMs + (atOnce ? 0 : STAGGERED_RESTARTS_MS * i / plan.gateways());
                clock.after(atMs, gateway::kill);
                clock.after(atMs + RESTART_MS + between(0, 50), () -> gateway.start(endpointList()));
            }
        }
    }

    private List<Endpoint> endpointList() {
        return backendsInOrder.stream().map(this::endpoint).toList();
    }

    private Endpoint endpoint(ModelBackend backend) {
        return backend.endpoint(LARGE.capacity());
    }

    /** Delivers the changed entry to each gateway, after a delay that is drawn separately for each. */
    private void announce(ModelBackend backend) {
        Endpoint entry = endpoint(backend);
        for (ModelGateway gateway : gateways) {
            clock.after(between(0, MAX_LIST_DELAY_MS), () -> {
                // Without this check, an entry that a later change has replaced could overwrite the newer one.
                if (entry.equals(endpoint(backend))) {
                    gateway.endpointsChanged(List.of(entry));
                }
            });
        }
    }

    /**
     * Draws the traffic shares from a log-normal distribution, so that some gateways receive several times the mean.
     */
    private void drawWeights() {
        weights = IntStream.range(0, plan.gateways())
                .mapToDouble(i -> Math.exp(0.8 * gaussian()))
                .toArray();
    }

    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private void nextRequest() {
        ModelGateway gateway = drawGateway();
        if (gateway != null) {
            int kind = random.nextInt(CLASSES.length);
            String id = "r" + requests++;
            double workMs = meanWorkMs * (kind == 0 ? logNormal() : exponential());
            gateway.request(
                    new AdmissionRequest(
                            id, CLASSES[kind], PLAN, "c" + requests % 200, 1, DEADLINE_MS, plan.gateways(), false),
                    workMs);
        }
        clock.after(exponential() / (warmRatePerMs * utilization * burstFactor), this::nextRequest);
    }

    /** Draws a log-normal value with mean 1 and a coefficient of variation of 1. */
    private double logNormal() {
        double variance = Math.log(2);
        return Math.exp(Math.sqrt(variance) * gaussian() - variance / 2);
    }

    private ModelGateway drawGateway() {
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            sum += gateways.get(i).isUp() ? weights[i] : 0;
        }
        double drawn = random.nextDouble() * sum;
        for (int i = 0; i < weights.length; i++) {
            drawn -= gateways.get(i).isUp() ? weights[i] : 0;
            if (drawn < 0) {
                return gateways.get(i);
            }
        }
        return null;
    }

    private void served(double latencyMs) {
        servedInTime += latencyMs <= LATENCY_OBJECTIVE_MS ? 1 : 0;
    }

    private SlowStartReport report(long seed) {
        List<SlowStartPeriod> periods = backendsInOrder.stream()
                .flatMap(each -> each.slowStartPeriods().stream())
                .toList();
        return new SlowStartReport(
                seed,
                periods.size(),
                countAboveOne(periods, SlowStartPeriod::worstRatio),
                countAboveOne(periods, SlowStartPeriod::worstWorkRatio),
                maximum(periods, SlowStartPeriod::worstRatio),
                maximum(periods, SlowStartPeriod::worstWorkRatio),
                periods.stream()
                        .mapToDouble(SlowStartPeriod::usedShare)
                        .average()
                        .orElse(0),
                (double) servedInTime / Math.max(1, requests));
    }

    private static int countAboveOne(List<SlowStartPeriod> periods, ToDoubleFunction<SlowStartPeriod> ratio) {
        return (int)
                periods.stream().filter(each -> ratio.applyAsDouble(each) > 1).count();
    }

    private static double maximum(List<SlowStartPeriod> periods, ToDoubleFunction<SlowStartPeriod> ratio) {
        return periods.stream().mapToDouble(ratio).max().orElse(0);
    }

    /** Returns the settings with which the decision module of the gateway with this index starts. */
    static DecisionSettings settings(SlowStartPlan plan, int gateway) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < CLASSES.length; i++) {
            classes.add(new RequestClass(
                    CLASSES[i],
                    VALUE[i],
                    0,
                    LATENCY_OBJECTIVE_MS,
                    DEADLINE_MS,
                    Idempotency.SAFE,
                    DeduplicationScope.ALL,
                    0,
                    false));
        }
        SlowStartRule rule = plan.rule();
        return new DecisionSettings(
                gateway,
                plan.gateways(),
                ZONES[gateway % ZONES.length],
                TICK_MS,
                0,
                false,
                classes,
                List.of(new DecisionSettings.Plan(PLAN, 0, 0, 0, 1, 0, 0, 0, 0, 0)),
                new Limits(6, false, true, false, true, LATENCY_OBJECTIVE_MS, 30_000, false),
                new Obligations(
                        8,
                        rule.slowStartShare(),
                        rule.warmAfterMs(),
                        rule.overloadFactor(),
                        rule.windowMs(),
                        false,
                        10_000),
                new Costs(0.01, 0.03, 0, 0.08),
                LoadReportSource.NONE,
                List.of());
    }
}
