package opalcove.laboratory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import opalcove.decision.AdmissionController;
import opalcove.decision.AdmissionRequest;
import opalcove.decision.AttemptOutcome;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionActions;
import opalcove.decision.DecisionSettings;
import opalcove.decision.DeduplicationScope;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.decision.Idempotency;
import opalcove.decision.LoadReportSource;

/**
 * Simulates in virtual time how gateways enforce the hard ceiling of a plan. Each gateway runs the real decision module. The
 * traffic of the accounts is uneven and moves between the gateways, the usage meter reports late, and gateways are killed and
 * restarted. Backends serve all requests. The model compares the gateways with exact token buckets of each account's quota
 * and ceiling: {@link Result} holds by how much the ceiling was exceeded and how much work inside the quota was forwarded.
 * Times are in ms. The same seed gives the same result, and the same traffic whatever the gateways do.
 */
final class CeilingModel {
    static final int GATEWAYS = 4;
    private static final int BACKENDS = 20;
    private static final double DAY_MS = 50_000;
    private static final double METER_PERIOD_MS = 2000;
    private static final int LARGEST_UNITS = 8;
    private static final double HAND_OVER_MS = 500;

    /** How gateways are restarted. */
    enum Restarts {
        NONE,
        /** One gateway after another is killed and starts again at once. */
        ROLLING,
        /** One gateway after another starts a second process, and both take requests for 500 ms. */
        HANDED_OVER,
        /** A random gateway is killed every 0.5 to 8 s and is down for up to 2 s. */
        RANDOM
    }

    /**
     * The result of a simulated day.
     *
     * @param insideUnits units requested inside the quotas, as a single gateway that received all requests would admit
     * @param forwardedInsideUnits units forwarded inside the quotas
     * @param lowestCeiling the lowest level of a ceiling's exact token bucket, as a multiple of the slack that the rule
     *     allows; a value below -1 violates the rule
     */
    record Result(double insideUnits, double forwardedInsideUnits, double lowestCeiling) {}

    /** A token bucket of units that starts full and refills at a constant rate. */
    private static final class TokenBucket {
        private final double rate;
        private final double burst;
        private double level;
        private double filledAt;

        TokenBucket(double ratePerSecond, double burst) {
            rate = ratePerSecond;
            this.burst = burst;
            level = burst;
        }

        double level(double now) {
            level = Math.min(burst, level + (now - filledAt) / 1000 * rate);
            filledAt = now;
            return level;
        }

        boolean takeIfAvailable(double now, double units) {
            boolean available = level(now) >= units;
            level -= available ? units : 0;
            return available;
        }
    }

    /** An account with the exact token buckets of its traffic, its quota and its ceiling. */
    private final class Account {
        final String name;
        final int firstGateway;
        final int spread;
        final TokenBucket offered = new TokenBucket(plan.rate(), plan.burst());
        final TokenBucket quota = new TokenBucket(plan.rate(), plan.burst());
        final TokenBucket ceiling = new TokenBucket(plan.ceilingRate(), plan.ceilingBurst());
        final Map<Long, Double> usedByPeriod = new HashMap<>();

        Account(int number) {
            name = "account-" + number;
            spread = 2 + trafficRandom.nextInt(GATEWAYS - 1);
            firstGateway = trafficRandom.nextInt(GATEWAYS);
        }
    }

    /** A request of the traffic; {@code entry} selects the gateway among those that are up. */
    private record Arrival(double at, Account account, int units, double[] weights, double entry) {}

    private record Event(double at, long order, Runnable action) {}

    /** One process of a gateway, with its decision module and the requests that it has received. */
    private final class Process implements DecisionActions {
        private final Map<String, Arrival> requests = new HashMap<>();
        private final Map<String, Integer> attempts = new HashMap<>();
        private final AdmissionController policy;
        boolean killed;

        Process(int gateway, long seed) {
            policy = new AdmissionController(now, settings(gateway), seed, this);
            List<Endpoint> hosts = new ArrayList<>();
            for (int i = 0; i < BACKENDS; i++) {
                hosts.add(new Endpoint("backend-" + i, "room", "kind", 0, EndpointState.UP, 1, 0));
            }
            policy.endpointsChanged(now, true, hosts);
        }

        void take(Arrival arrival, String id) {
            requests.put(id, arrival);
            policy.requestArrived(
                    now,
                    new AdmissionRequest(
                            id,
                            "lookup",
                            plan.name(),
                            arrival.account.name,
                            arrival.units,
                            6000,
                            arrival.account.spread,
                            false));
        }

        private void end(String id, int attempt, AttemptStatus result) {
            if (killed) return;
            Account account = requests.get(id).account;
            policy.attemptEnded(
                    now,
                    new AttemptOutcome(
                            id,
                            "",
                            attempt,
                            result,
                            serviceMs,
                            result == AttemptStatus.SERVED,
                            reportedUsagePercent(account),
                            0,
                            null));
        }

        @Override
        public void startAttempt(String id, String host, double timeoutMs) {
            int attempt = attempts.merge(id, 1, Integer::sum) - 1;
            if (attempt == 0) recordForwarded(requests.get(id));
            schedule(now + serviceMs, () -> end(id, attempt, AttemptStatus.SERVED));
        }

        @Override
        public void setTimer(long token, double afterMs) {
            schedule(now + afterMs, () -> {
                if (!killed) policy.timerExpired(now, token);
            });
        }

        @Override
        public void shed(String id, double retryAfterMs) {}

        @Override
        public void fail(String id) {}

        @Override
        public void cancelAttempt(String id, int attempt) {}

        @Override
        public void checkHealth(String host) {}

        @Override
        public void subscribeToEndpoints() {}

        @Override
        public void log(String line) {}
    }

    private final SplittableRandom trafficRandom;
    private final SplittableRandom processRandom;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final DecisionSettings.Plan plan;
    private final boolean ceilingEnforced;
    private final Process[] processes = new Process[GATEWAYS];
    /** The process of each gateway that takes requests beside its successor during a hand-over, or null. */
    private final Process[] outgoing = new Process[GATEWAYS];

    private final double meterDelayMs;
    private final double serviceMs;
    private double now;
    private long scheduled;
    private double insideUnits;
    private double forwardedInsideUnits;
    private double lowestCeiling = Double.MAX_VALUE;

    private CeilingModel(long seed, boolean ceilingEnforced) {
        trafficRandom = new SplittableRandom(seed);
        processRandom = trafficRandom.split();
        this.ceilingEnforced = ceilingEnforced;
        double rate = trafficRandom.nextDouble(18, 32);
        double burst = Math.max(4 * LARGEST_UNITS, rate * trafficRandom.nextDouble(1.6, 2.6));
        double multiple = trafficRandom.nextDouble(1.6, 2.5);
        double slack = Math.max(LARGEST_UNITS, 0.1 * multiple * burst);
        plan = new DecisionSettings.Plan(
                "capped", rate, burst, 0, 1.6, 0.3, 0, multiple * rate, multiple * burst, slack);
        meterDelayMs = trafficRandom.nextDouble(350, 1500);
        serviceMs = trafficRandom.nextDouble(120, 250);
    }

    /** Simulates a day. If the ceiling is not enforced, the gateways get a plan without a ceiling. */
    static Result play(long seed, int accounts, Restarts restarts, boolean ceilingEnforced) {
        CeilingModel model = new CeilingModel(seed, ceilingEnforced);
        for (int i = 0; i < GATEWAYS; i++) {
            model.start(i);
        }
        for (int i = 0; i < accounts; i++) {
            model.drawTraffic(model.new Account(i));
        }
        model.drawRestarts(restarts);
        model.run();
        return new Result(model.insideUnits, model.forwardedInsideUnits, model.lowestCeiling);
    }

    private DecisionSettings settings(int gateway) {
        DecisionSettings.Plan effective = ceilingEnforced
                ? plan
                : new DecisionSettings.Plan(
                        plan.name(), plan.rate(), plan.burst(), 0, plan.price(), plan.overQuotaWeight(), 0, 0, 0, 0);
        return new DecisionSettings(
                gateway,
                GATEWAYS,
                "room",
                2,
                METER_PERIOD_MS,
                false,
                List.of(new DecisionSettings.RequestClass(
                        "lookup", 1, 0, 1500, 6000, Idempotency.SAFE, DeduplicationScope.ALL, 0, false)),
                List.of(effective),
                new DecisionSettings.Limits(5, true, true, false, true, 2000, 15_000, true),
                new DecisionSettings.Obligations(8, 0.18, 17_000, 3, 1000, false, 0),
                new DecisionSettings.Costs(0, 0.077, 0.01, 0.05),
                LoadReportSource.NONE,
                List.of());
    }

    private void schedule(double at, Runnable action) {
        events.add(new Event(at, scheduled++, action));
    }

    private void run() {
        while (!events.isEmpty() && events.peek().at <= DAY_MS) {
            Event event = events.remove();
            now = Math.max(now, event.at);
            event.action.run();
        }
    }

    private void start(int gateway) {
        processes[gateway] = new Process(gateway, processRandom.nextLong());
    }

    private void restart(int gateway, double outageMs) {
        if (processes[gateway] == null) return;
        processes[gateway].killed = true;
        processes[gateway] = null;
        schedule(now + outageMs, () -> start(gateway));
    }

    private void handOver(int gateway) {
        outgoing[gateway] = processes[gateway];
        start(gateway);
        schedule(now + HAND_OVER_MS, () -> outgoing[gateway] = null);
    }

    private void drawRestarts(Restarts restarts) {
        if (restarts == Restarts.ROLLING || restarts == Restarts.HANDED_OVER) {
            for (int i = 0; i < GATEWAYS; i++) {
                int gateway = i;
                boolean killed = restarts == Restarts.ROLLING;
                schedule(20_000 + 1000 * i, () -> {
                    if (killed) restart(gateway, 0);
                    else handOver(gateway);
                });
            }
        }
        if (restarts == Restarts.RANDOM) {
            for (double at = 5000; at < DAY_MS; at += processRandom.nextDouble(500, 8000)) {
                int gateway = processRandom.nextInt(GATEWAYS);
                double outageMs = processRandom.nextDouble(0, 2000);
                schedule(at, () -> restart(gateway, outageMs));
            }
        }
    }

    /** Draws an account's requests: their units, the weights of the gateways, and when the load and the weights change. */
    private void drawTraffic(Account account) {
        double kind = trafficRandom.nextDouble();
        double heavy = trafficRandom.nextDouble(1.9, 5);
        double full = trafficRandom.nextDouble(0.9, 1);
        double calm = trafficRandom.nextDouble(0.16, 0.39);
        boolean spiky = kind >= 0.27 && kind < 0.45;
        double base = kind < 0.09 ? heavy : kind < 0.27 ? full : calm;
        double spike = trafficRandom.nextDouble(2.6, 6.4);
        double skew = trafficRandom.nextDouble(0.22, 1.1);
        double shiftEveryMs = trafficRandom.nextDouble(5700, 17_000);
        double spikeFrom = trafficRandom.nextDouble(2000, 20_000);
        double spikeUntil = spikeFrom + trafficRandom.nextDouble(1500, 5000);
        double shiftAt = 0;
        double[] weights = {};
        double at = 0;
        while (true) {
            double use = spiky && at >= spikeFrom && at < spikeUntil ? spike : base;
            double meanUnits = 2.5;
            at -= Math.log(1 - trafficRandom.nextDouble()) * 1000 / (use * plan.rate() / meanUnits);
            if (at > DAY_MS) return;
            if (at > spikeUntil) {
                spikeFrom = spikeUntil + trafficRandom.nextDouble(13_000, 22_000);
                spikeUntil = spikeFrom + trafficRandom.nextDouble(1500, 5000);
            }
            if (at >= shiftAt) {
                shiftAt = at + shiftEveryMs;
                weights = drawWeights(account.spread, skew);
            }
            int units = (int) Math.min(LARGEST_UNITS, 1 - 2 * Math.log(1 - trafficRandom.nextDouble()));
            Arrival arrival = new Arrival(at, account, units, weights, trafficRandom.nextDouble());
            schedule(at, () -> arrive(arrival));
        }
    }

    /** Returns the weights of the gateways, 1 / rank^skew; the gateway of the first rank is drawn at random. */
    private double[] drawWeights(int gateways, double skew) {
        double[] weights = new double[gateways];
        int from = trafficRandom.nextInt(gateways);
        for (int rank = 0; rank < gateways; rank++) {
            weights[(from + rank) % gateways] = Math.pow(rank + 1, -skew);
        }
        return weights;
    }

    private void arrive(Arrival arrival) {
        Account account = arrival.account;
        if (account.offered.takeIfAvailable(now, arrival.units)) insideUnits += arrival.units;
        double sum = 0;
        for (int i = 0; i < account.spread; i++) {
            sum += up(account, i) ? arrival.weights[i] : 0;
        }
        double remaining = arrival.entry * sum;
        for (int i = 0; i < account.spread; i++) {
            if (!up(account, i)) continue;
            remaining -= arrival.weights[i];
            if (remaining >= 0) continue;
            int gateway = (account.firstGateway + i) % GATEWAYS;
            Process outgoingProcess = outgoing[gateway];
            boolean useOutgoing = outgoingProcess != null && scheduled % 2 == 0;
            (useOutgoing ? outgoingProcess : processes[gateway]).take(arrival, "r" + scheduled++);
            return;
        }
    }

    private boolean up(Account account, int position) {
        return processes[(account.firstGateway + position) % GATEWAYS] != null;
    }

    private void recordForwarded(Arrival arrival) {
        Account account = arrival.account;
        if (account.quota.takeIfAvailable(now, arrival.units)) forwardedInsideUnits += arrival.units;
        double ceiling = account.ceiling.level(now) - arrival.units;
        account.ceiling.level = ceiling;
        lowestCeiling = Math.min(lowestCeiling, ceiling / plan.ceilingSlack());
        account.usedByPeriod.merge((long) (now / METER_PERIOD_MS), (double) arrival.units, Double::sum);
    }

    /** Returns the usage in the last period that the meter has reported, in percent of the rate, or -1 before the first. */
    private int reportedUsagePercent(Account account) {
        long period = (long) Math.floor((now - meterDelayMs) / METER_PERIOD_MS) - 1;
        if (period < 0) return -1;
        double used = account.usedByPeriod.getOrDefault(period, 0.0);
        return (int) Math.round(100 * used / (plan.rate() * METER_PERIOD_MS / 1000));
    }
}
