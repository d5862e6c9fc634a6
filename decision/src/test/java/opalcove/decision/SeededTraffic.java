package opalcove.decision;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Sends a seeded sequence of events to the decision module and computes a digest of all its actions, in order. The
 * sequence depends only on the seed and the actions of the module: timers, outcomes and endpoint lists follow from the
 * actions.
 */
final class SeededTraffic implements DecisionActions {
    /** The parameters of a run other than its seed. */
    record Scenario(
            String name,
            int gateways,
            double meterPeriodMs,
            boolean unitsAreEstimates,
            boolean mayHedge,
            boolean mayCancel,
            boolean mayProbe,
            boolean listOnRequest,
            double initialShare) {}

    private static final int REQUESTS = 600;
    private static final String[] ZONES = {"east", "west"};
    private static final String[] KINDS = {"small", "large", "rented"};
    private static final List<DecisionSettings.RequestClass> CLASSES = List.of(
            requestClass("look", 2, 1000, 4000, Idempotency.SAFE, DeduplicationScope.ALL, 0, false),
            requestClass("mark", 3, 800, 4000, Idempotency.KEYED, DeduplicationScope.ZONE, 1500, false),
            requestClass("book", 4, 900, 3000, Idempotency.KEYED, DeduplicationScope.CELL, 2000, false),
            requestClass("note", 1, 600, 3000, Idempotency.KEYED, DeduplicationScope.ALL, 2000, false),
            requestClass("buy", 5, 1000, 5000, Idempotency.UNSAFE, DeduplicationScope.ALL, 0, false),
            requestClass("hear", 1, 500, 2000, Idempotency.SAFE, DeduplicationScope.ALL, 0, true));
    private static final List<DecisionSettings.Plan> PLANS = List.of(
            new DecisionSettings.Plan("plain", 2, 6, 0, 1, 0, 1, 0, 0, 0),
            new DecisionSettings.Plan("soft", 3, 8, 0, 1.5, 0.8, 0.3, 0, 0, 0),
            new DecisionSettings.Plan("capped", 20, 30, 0, 1, 0, 1, 3, 12, 1),
            new DecisionSettings.Plan("open", 0, 0, 3, 0.7, 0, 1, 0, 0, 0),
            new DecisionSettings.Plan("free", 0, 0, 0, 0.5, 0, 0, 0, 0, 0));

    private record Due(double timeMs, long serial, Runnable event) {}

    private final Scenario scenario;
    private final SplittableRandom random;
    private final AdmissionController module;
    private final PriorityQueue<Due> due = new PriorityQueue<>(
            (a, b) -> a.timeMs != b.timeMs ? Double.compare(a.timeMs, b.timeMs) : Long.compare(a.serial, b.serial));
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<String, Integer> attempts = new TreeMap<>();
    private final Map<String, AdmissionRequest> requests = new TreeMap<>();
    private final Set<String> finished = new HashSet<>();
    private final Set<String> endedAttempts = new HashSet<>();
    private final Set<Long> cancelledTimers = new HashSet<>();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final MessageDigest digest;
    private double nowMs = 1000;
    private long serial;
    private boolean underPressure;

    private SeededTraffic(Scenario scenario, long seed) {
        this.scenario = scenario;
        random = new SplittableRandom(seed);
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        module = new AdmissionController(nowMs, settings(), seed * 31, this);
    }

    /** Runs a scenario and returns the number of actions by kind and a digest of all actions. */
    static String run(Scenario scenario, long seed) {
        SeededTraffic traffic = new SeededTraffic(scenario, seed);
        traffic.run();
        String hash = HexFormat.of().formatHex(traffic.digest.digest()).substring(0, 24);
        return scenario.name + " " + seed + " " + traffic.counts + " " + hash;
    }

    private static DecisionSettings.RequestClass requestClass(
            String name,
            double weight,
            double objectiveMs,
            double deadlineMs,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            double windowMs,
            boolean stream) {
        return new DecisionSettings.RequestClass(
                name, weight, 0, objectiveMs, deadlineMs, idempotency, deduplicationScope, windowMs, stream);
    }

    private DecisionSettings settings() {
        return new DecisionSettings(
                0,
                scenario.gateways,
                "east",
                2,
                scenario.meterPeriodMs,
                scenario.unitsAreEstimates,
                CLASSES,
                PLANS,
                new DecisionSettings.Limits(
                        4, scenario.mayHedge, scenario.mayCancel, scenario.mayProbe, true, 1500, 3000, false),
                new DecisionSettings.Obligations(
                        8, scenario.initialShare, 6000, 2.5, 2000, scenario.listOnRequest, 4000),
                new DecisionSettings.Costs(0.05, 0.03, 0.01, 0.1),
                LoadReportSource.NONE,
                List.of());
    }

    private void run() {
        for (int i = 0; i < 8; i++) {
            endpoints.add(
                    new Endpoint("h" + i, ZONES[i % 2], KINDS[i % 3], i / 3, EndpointState.UP, 1 + i % 3 * 0.5, 0));
        }
        module.endpointsChanged(nowMs, true, List.copyOf(endpoints));
        for (int i = 0; i < REQUESTS; i++) {
            underPressure = i > REQUESTS / 3 && i < REQUESTS / 2;
            advanceTo(nowMs + random.nextDouble(underPressure ? 12 : 30));
            submit("r" + i);
            if (i % 40 == 39) {
                changeEndpoints();
            }
            if (i % 97 == 96) {
                stall();
            }
            if (i % 25 == 24) {
                recordCapacityShares();
            }
            if (i % 60 == 59) {
                module.loadReported(
                        nowMs,
                        "h" + random.nextInt(9),
                        random.nextInt(20),
                        random.nextInt(3),
                        random.nextInt(400) - 20);
            }
        }
        advanceTo(nowMs + 12_000);
        recordCapacityShares();
    }

    /** Advances the time and delivers each event that is due until then, at its own time. */
    private void advanceTo(double timeMs) {
        while (!due.isEmpty() && due.peek().timeMs <= timeMs) {
            Due next = due.poll();
            nowMs = Math.max(nowMs, next.timeMs);
            next.event.run();
        }
        nowMs = timeMs;
    }

    /** Stalls the gateway: events that are due during the stall are delivered late. */
    private void stall() {
        nowMs += 40 + random.nextDouble(200);
    }

    private void schedule(double afterMs, Runnable event) {
        due.add(new Due(nowMs + afterMs, serial++, event));
    }

    private void submit(String id) {
        DecisionSettings.RequestClass requestClass = CLASSES.get(random.nextInt(CLASSES.size()));
        String plan = random.nextInt(50) == 0
                ? "nosuch"
                : PLANS.get(random.nextInt(PLANS.size())).name();
        boolean isRetry = random.nextInt(6) == 0;
        double budgetMs = requestClass.deadlineMs() * (isRetry ? 0.2 + random.nextDouble(0.7) : 0.9);
        AdmissionRequest request = new AdmissionRequest(
                id,
                requestClass.name(),
                plan,
                plan + random.nextInt(6),
                1 + random.nextInt(5),
                budgetMs,
                1 + random.nextInt(scenario.gateways),
                isRetry && random.nextBoolean());
        requests.put(id, request);
        module.requestArrived(nowMs, request);
        if (random.nextInt(20) == 0) {
            schedule(random.nextDouble(600), () -> {
                finished.add(id);
                module.requestCancelled(nowMs, id);
            });
        }
    }

    private void changeEndpoints() {
        int index = random.nextInt(endpoints.size());
        Endpoint endpoint = endpoints.get(index);
        switch (random.nextInt(5)) {
            case 0 -> endpoints.set(index, with(endpoint, EndpointState.DRAINING, endpoint.startedMs()));
            case 1 -> endpoints.set(index, with(endpoint, EndpointState.UP, nowMs));
            case 2 -> endpoints.set(index, with(endpoint, EndpointState.REMOVED, endpoint.startedMs()));
            case 3 -> endpoints.add(new Endpoint("n" + serial, "west", "large", 7, EndpointState.UP, 2, nowMs - 100));
            default -> endpoints.set(index, with(endpoint, EndpointState.UP, endpoint.startedMs()));
        }
        boolean complete = random.nextInt(3) == 0;
        if (scenario.listOnRequest && random.nextInt(3) == 0) {
            module.endpointListFailed(nowMs);
        } else {
            module.endpointsChanged(
                    nowMs,
                    complete,
                    complete ? List.copyOf(endpoints) : List.of(endpoints.get(Math.min(index, endpoints.size() - 1))));
        }
    }

    private static Endpoint with(Endpoint endpoint, EndpointState state, double startedMs) {
        return new Endpoint(
                endpoint.id(), endpoint.zone(), endpoint.kind(), endpoint.cell(), state, endpoint.size(), startedMs);
    }

    /** Draws the outcome of an attempt, which depends on its backend and on whether the backends are under pressure. */
    private void scheduleOutcome(String id, int attempt, String backend) {
        double elapsedMs = 20 + random.nextDouble(backend.endsWith("3") ? 400 : 150) + (underPressure ? 500 : 0);
        int draw = random.nextInt(100);
        AttemptStatus status;
        if (backend.endsWith("5") && draw < 40) {
            status = AttemptStatus.UNREACHABLE;
        } else if (draw < 80) {
            status = AttemptStatus.SERVED;
        } else if (draw < 84) {
            status = AttemptStatus.ERROR;
        } else if (draw < 89) {
            status = AttemptStatus.REJECTED;
        } else if (draw < 92) {
            status = AttemptStatus.UNREACHABLE;
        } else if (draw < 95) {
            status = AttemptStatus.BROKEN;
        } else if (draw < 96) {
            status = AttemptStatus.NOT_SENT;
        } else {
            status = AttemptStatus.TIMED_OUT;
            elapsedMs += 1200;
        }
        AdmissionRequest request = requests.get(id);
        if (request.requestClass().equals("hear") && status == AttemptStatus.SERVED) {
            schedule(elapsedMs / 2, () -> module.responseStarted(nowMs, id, attempt));
        }
        double totalMs = elapsedMs;
        schedule(elapsedMs, () -> end(id, attempt, backend, status, totalMs));
    }

    private void end(String id, int attempt, String backend, AttemptStatus status, double elapsedMs) {
        if (!endedAttempts.add(id + "/" + attempt)) {
            return;
        }
        if (status == AttemptStatus.SERVED) {
            finished.add(id);
        }
        boolean hasResponse = status == AttemptStatus.SERVED || status == AttemptStatus.ERROR;
        int usedPercent = hasResponse && scenario.meterPeriodMs > 0 && random.nextInt(3) > 0 ? random.nextInt(300) : -1;
        double trueUnits = hasResponse && scenario.unitsAreEstimates ? 1 + random.nextInt(8) : 0;
        module.attemptEnded(
                nowMs,
                new AttemptOutcome(
                        id, backend, attempt, status, elapsedMs, finished.contains(id), usedPercent, trueUnits, null));
        if (hasResponse && random.nextInt(30) == 0) {
            module.usageReported(nowMs, requests.get(id), random.nextInt(200), 1 + random.nextInt(4));
        }
    }

    private void recordCapacityShares() {
        for (CapacityShare share : module.capacityShares(nowMs)) {
            record("room", share.backend(), share.share());
        }
    }

    /** Adds an action to the digest. The kinds are part of the recorded digests, so their names must not change. */
    private void record(String kind, Object... parts) {
        counts.merge(kind, 1, Integer::sum);
        StringBuilder line = new StringBuilder(kind).append('@').append(rounded(nowMs));
        for (Object part : parts) {
            line.append(' ').append(part instanceof Double number ? rounded(number) : part);
        }
        digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Rounds to millionths, because Math.exp and Math.pow may differ in the last place between platforms. */
    private static long rounded(double number) {
        return Math.round(number * 1e6);
    }

    @Override
    public void startAttempt(String id, String backend, double timeoutMs) {
        int attempt = attempts.merge(id, 1, Integer::sum) - 1;
        record("send", id, backend, timeoutMs);
        scheduleOutcome(id, attempt, backend);
    }

    @Override
    public void shed(String id, double retryAfterMs) {
        record("refuse", id, retryAfterMs);
        finished.add(id);
    }

    @Override
    public void fail(String id) {
        record("fail", id);
        finished.add(id);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        record("cancel", id, attempt);
        double afterMs = 1 + random.nextDouble(5);
        schedule(afterMs, () -> end(id, attempt, "", AttemptStatus.CANCELLED, afterMs));
    }

    @Override
    public void setTimer(long token, double afterMs) {
        record("wake", token, afterMs);
        schedule(afterMs, () -> {
            if (!cancelledTimers.remove(token)) {
                module.timerExpired(nowMs, token);
            }
        });
    }

    @Override
    public void cancelTimer(long token) {
        record("forget", token);
        cancelledTimers.add(token);
    }

    @Override
    public void checkHealth(String backend) {
        record("probe", backend);
        ProbeStatus status = ProbeStatus.values()[random.nextInt(3)];
        schedule(30, () -> module.healthCheckEnded(nowMs, backend, status, 30, null));
    }

    @Override
    public void subscribeToEndpoints() {
        record("follow");
        schedule(20, () -> {
            if (random.nextInt(3) == 0) {
                module.endpointListFailed(nowMs);
            } else {
                module.endpointsChanged(nowMs, true, List.copyOf(endpoints));
            }
        });
    }

    @Override
    public void log(String line) {
        record("log", line);
    }
}
