package opalcove.decision;

import java.util.ArrayList;
import java.util.List;
import opalcove.decision.DecisionSettings.Plan;
import opalcove.decision.DecisionSettings.RequestClass;

/**
 * Measures the capacity that the backends have for this gateway. Capacity is unbounded while there is no sign of
 * pressure; once it is bounded, it is split among the classes with the method of the paper that {@link
 * CapacityAllocator} names. Owned by the thread that delivers the instance's events.
 */
final class CapacityController {
    private static final double INTERVAL_SECONDS = DecisionContext.INTERVAL_MS / 1000;

    /** Weight of the newest interval in a moving mean of a rate. */
    private static final double NEWEST_INTERVAL_WEIGHT = 0.25;

    /** Fraction of the backlog that counts as demand (alpha in the paper). */
    private static final double BACKLOG_SHARE = 0.5;

    /** A response that took more than this fraction of its latency objective is a sign of pressure. */
    private static final double LATE_OBJECTIVE_SHARE = 0.6;

    /** Factors of a bounded capacity after an interval with pressure, and after one without. */
    private static final double LOWER_FACTOR = 0.93;

    private static final double RAISE_FACTOR = 1.04;

    /** A bounded capacity above this multiple of the demand is unbounded after this time without pressure, ms. */
    private static final double UNBOUND_DEMAND_FACTOR = 1.3;

    private static final double UNBOUND_AFTER_MS = 2000;

    /** The maximum share of a class, as a multiple of its demand. */
    private static final double MAX_SHARE_OF_DEMAND = 1.3;

    private final DecisionContext context;
    private final BackendRegistry registry;
    private final PressureMonitor pressure;
    private final StallDetector stalls;
    private final ClassQueue[] queuesByWeight;
    private final ClassQueue[][] queues;
    private final double shortestObjectiveMs;
    private double servedUnits;
    private double servedRate;
    private double outcomesInInterval;
    private double meanOutcomes;

    /** Weight of an interval, 0.2 to 1; lower if few responses arrive, so that a few of them do not decide alone. */
    private double evidenceWeight = 1;

    private double lastPressureAtMs;
    private double meanUnits = 1;
    private double sampledAttempts = 1;

    /** The maximum number of attempts that were in flight without signs of pressure; it decays. */
    private double maxInFlightWithoutPressure;

    private double maxInFlightInInterval;
    private int inFlight;
    private boolean bounded;

    /** The capacity while it is bounded, units per second. */
    private double capacity;

    /** Units of capacity that the classes did not use of their shares; queued requests of any class may use them. */
    private double spareUnits;

    CapacityController(
            DecisionContext context, BackendRegistry registry, PressureMonitor pressure, StallDetector stalls) {
        this.context = context;
        this.registry = registry;
        this.pressure = pressure;
        this.stalls = stalls;
        lastPressureAtMs = context.nowMs;
        shortestObjectiveMs = shortestObjectiveMs(context.settings.classes());
        queues = queues(context.settings);
        queuesByWeight = byWeight(queues);
    }

    private static double shortestObjectiveMs(List<RequestClass> classes) {
        double shortestMs = Double.MAX_VALUE;
        for (RequestClass each : classes) {
            shortestMs = Math.min(shortestMs, each.objectiveMs());
        }
        return shortestMs;
    }

    /** Creates the queues by plan and, within a plan, by request class: one beyond the quota, and one within it. */
    private static ClassQueue[][] queues(DecisionSettings settings) {
        int classes = settings.classes().size();
        ClassQueue[][] queues = new ClassQueue[settings.plans().size() * classes][];
        for (int i = 0; i < queues.length; i++) {
            Plan plan = settings.plans().get(i / classes);
            double weight = settings.classes().get(i % classes).weight() * plan.price();
            double beyondQuota = Math.max(0, plan.overQuotaWeight() - plan.overQuotaCost());
            queues[i] = new ClassQueue[] {new ClassQueue(weight * beyondQuota, false), new ClassQueue(weight, true)};
        }
        return queues;
    }

    private static ClassQueue[] byWeight(ClassQueue[][] queues) {
        List<ClassQueue> all = new ArrayList<>();
        for (ClassQueue[] each : queues) {
            all.add(each[1]);
            all.add(each[0]);
        }
        all.sort((first, second) -> Double.compare(second.weight, first.weight));
        return all.toArray(new ClassQueue[0]);
    }

    /** The queue of the requests of this plan and request class. */
    ClassQueue queue(int planIndex, int classIndex, boolean withinQuota) {
        return queues[planIndex * context.settings.classes().size() + classIndex][withinQuota ? 1 : 0];
    }

    /** All queues, from the highest weight to the lowest. */
    ClassQueue[] queuesByWeight() {
        return queuesByWeight;
    }

    /** Whether the capacity is bounded because of signs of pressure. */
    boolean isBounded() {
        return bounded;
    }

    /** The mean units of an attempt; recent attempts weigh more. */
    double meanUnits() {
        return meanUnits;
    }

    /**
     * Takes the units of a request from the tokens of its class or, if the request was queued, from the spare units of
     * other classes.
     *
     * @return whether the request may be forwarded now; if not, no units were taken
     */
    boolean tryTake(RequestState state, boolean wasQueued) {
        ClassQueue queue = state.queue;
        double units = state.request.units();
        if (isInFlightLimitReached(state) || bounded && !wasQueued && !queue.requests.isEmpty()) {
            return false;
        }
        if (!bounded) {
            return true;
        }
        boolean hasOwnTokens = queue.tokens >= units * state.tokenShare;
        if (!hasOwnTokens && (!wasQueued || spareUnits < units)) {
            return false;
        }
        if (hasOwnTokens) {
            queue.tokens -= units;
        } else {
            spareUnits -= units;
        }
        return true;
    }

    /**
     * Whether another attempt would exceed the limit of attempts in flight. While capacity is bounded, the limit
     * prevents stale queues at the backends, whatever causes them: no more attempts are in flight than the capacity
     * serves within a fifth of the shortest latency objective, but enough to keep this gateway's part of the backends
     * busy. While capacity is unbounded, the limit prevents a surge from overrunning the backends: it is 1.3 times the
     * number of attempts that were in flight without signs of pressure.
     */
    private boolean isInFlightLimitReached(RequestState state) {
        int backends = registry.upCount();
        double backendsPerGateway = (double) backends / context.settings.gateways();
        double maxInFlight = bounded
                ? Math.max(capacity / meanUnits * 0.2 * shortestObjectiveMs / 1000, 2.5 * backendsPerGateway)
                : Math.max(1.3 * maxInFlightWithoutPressure, 3 * backendsPerGateway);
        return backends > 0 && inFlight + 1 > Math.max(bounded ? 2 : 3, maxInFlight) + state.tokenShare;
    }

    /** Records the start of an attempt. */
    void attemptStarted(double units) {
        inFlight++;
        maxInFlightInInterval = Math.max(maxInFlightInInterval, inFlight);
        meanUnits += Math.max(0.02, 1 / ++sampledAttempts) * (units - meanUnits);
    }

    /** Records the end of an attempt, whatever its outcome. */
    void attemptEnded() {
        inFlight--;
    }

    /** Records the served units and the signs of pressure in the outcome of an attempt. */
    void recordOutcome(AttemptOutcome outcome, RequestState state) {
        AttemptState attempt = state.attempts.get(outcome.attempt());
        double usualMs = context.responseTimes.meanMs(state.classIndex);
        double objectiveShare =
                (context.nowMs - attempt.startedAtMs - state.expectedMs() + usualMs) / state.requestClass.objectiveMs();
        boolean served = outcome.status() == AttemptStatus.SERVED;
        boolean rejected = outcome.status() == AttemptStatus.REJECTED;
        servedUnits += served ? state.request.units() : 0;
        outcomesInInterval++;
        if (stalls.isRecovering(context.nowMs) && !rejected) {
            return;
        }
        if (rejected
                || outcome.status() == AttemptStatus.TIMED_OUT
                || served && objectiveShare > LATE_OBJECTIVE_SHARE) {
            pressure.recordSign(attempt, context.nowMs);
        }
        if (!attempt.countedAsPressure) {
            pressure.recordResponse(served ? objectiveShare : 0);
        }
    }

    /**
     * Measures the capacity, bounds or unbounds it, and splits it among the classes while it is bounded. Called once an
     * interval.
     */
    void update() {
        meanOutcomes += 0.1 * (outcomesInInterval - meanOutcomes);
        outcomesInInterval = 0;
        evidenceWeight = Math.max(0.2, Math.min(1, meanOutcomes / 1.5));
        servedRate += NEWEST_INTERVAL_WEIGHT * evidenceWeight * (servedUnits / INTERVAL_SECONDS - servedRate);
        servedUnits = 0;
        recountBackends();
        boolean pressed = pressure.hasSign() && pressure.areResponsesSlow() && registry.isUnderPressure();
        double demand = updateDemand();
        if (pressed) {
            boundOrLower();
        } else if (bounded) {
            raiseOrUnbound(demand);
        }
        maxInFlightWithoutPressure = pressure.isLow()
                ? Math.max(0.99 * maxInFlightWithoutPressure, maxInFlightInInterval)
                : 0.97 * maxInFlightWithoutPressure;
        maxInFlightInInterval = inFlight;
        pressure.decay(evidenceWeight);
        if (bounded) {
            distribute();
        }
    }

    /** Recounts the backends after a change of the endpoint list, and once per interval. */
    void recountBackends() {
        registry.recount(evidenceWeight);
    }

    /** Updates the arrival rates of the classes and returns the demand of all classes, units per second. */
    private double updateDemand() {
        double demand = 0;
        for (ClassQueue queue : queuesByWeight) {
            queue.arrivalRate += NEWEST_INTERVAL_WEIGHT
                    * evidenceWeight
                    * (queue.arrivedUnits / INTERVAL_SECONDS - queue.arrivalRate);
            queue.arrivedUnits = 0;
            demand += demand(queue);
        }
        return demand;
    }

    /** The demand as the paper defines it: arrivals and a fraction of the backlog, units per second. */
    private static double demand(ClassQueue queue) {
        return queue.arrivalRate + BACKLOG_SHARE * queue.queuedUnits / INTERVAL_SECONDS;
    }

    /** Bounds the capacity at the served rate, or lowers a bounded capacity by a step but not below that rate. */
    private void boundOrLower() {
        lastPressureAtMs = context.nowMs;
        if (!bounded) {
            context.actions.log("room bounded at " + Math.round(servedRate) + " units/s");
            for (ClassQueue queue : queuesByWeight) {
                queue.tokens = 1;
            }
        }
        capacity = bounded ? Math.max(LOWER_FACTOR * capacity, servedRate) : servedRate;
        bounded = true;
    }

    /** Raises a bounded capacity by a step, and unbounds it once it exceeds the demand and pressure is long past. */
    private void raiseOrUnbound(double demand) {
        capacity = Math.max(capacity, Math.min(servedRate, demand)) * RAISE_FACTOR + 0.01;
        if (capacity > UNBOUND_DEMAND_FACTOR * demand
                && context.nowMs - lastPressureAtMs > UNBOUND_AFTER_MS / evidenceWeight) {
            bounded = false;
            context.actions.log("room unbounded again");
        }
    }

    private void distribute() {
        int classes = queuesByWeight.length;
        double[] weight = new double[classes];
        double[] demand = new double[classes];
        double[] floor = new double[classes];
        double[] max = new double[classes];
        for (int i = 0; i < classes; i++) {
            ClassQueue queue = queuesByWeight[i];
            weight[i] = queue.weight;
            demand[i] = demand(queue);
            floor[i] = queue.withinQuota ? queue.arrivalRate : 0;
            max[i] = Math.max(queue.arrivalRate, demand[i]) * MAX_SHARE_OF_DEMAND;
        }
        refill(CapacityAllocator.allocate(capacity, weight, demand, floor, max));
    }

    /** Refills the tokens of each class at its share, up to those of one interval; the overflow becomes spare units. */
    private void refill(double[] share) {
        double overflow = capacity * INTERVAL_SECONDS;
        for (int i = 0; i < share.length; i++) {
            double depth = Math.max(share[i] * INTERVAL_SECONDS, share[i] > 0 ? 1 : 0);
            double tokens = queuesByWeight[i].tokens + share[i] * INTERVAL_SECONDS;
            queuesByWeight[i].tokens = Math.min(depth, tokens);
            overflow += Math.max(0, tokens - depth) - share[i] * INTERVAL_SECONDS;
        }
        spareUnits = Math.min(capacity * INTERVAL_SECONDS, spareUnits + Math.max(0, overflow));
    }
}
