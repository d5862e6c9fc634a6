package opalcove.decision;

import java.util.ArrayList;
import java.util.List;

/** A gateway that records the actions of its decision module. */
final class RecordingGateway implements DecisionActions {
    static final DecisionSettings.RequestClass SAFE = new DecisionSettings.RequestClass(
            "look", 2, 0, 1000, 4000, Idempotency.SAFE, DeduplicationScope.ALL, 0, false);

    static final DecisionSettings.RequestClass KEYED = new DecisionSettings.RequestClass(
            "mark", 3, 0, 1000, 8000, Idempotency.KEYED, DeduplicationScope.ZONE, 3000, false);

    static final DecisionSettings.RequestClass UNSAFE = new DecisionSettings.RequestClass(
            "buy", 5, 0, 1000, 8000, Idempotency.UNSAFE, DeduplicationScope.ALL, 0, false);

    static final DecisionSettings.Plan PLAIN = new DecisionSettings.Plan("plain", 2, 4, 0, 1, 0, 1, 0, 0, 0);

    static final DecisionSettings.Plan CAPPED = new DecisionSettings.Plan("capped", 100, 100, 0, 1, 0, 1, 4, 12, 1);

    static final DecisionSettings.Plan OPEN = new DecisionSettings.Plan("open", 100, 100, 2, 1, 0, 1, 0, 0, 0);

    /** The attempts that were started, each as request@backend. */
    final List<String> attempts = new ArrayList<>();

    final List<String> shed = new ArrayList<>();
    final List<Double> retryAfters = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> logs = new ArrayList<>();
    /** The pending timers: the time of expiry, ms, and the token. */
    final List<double[]> timers = new ArrayList<>();

    final DecisionSettings.Limits limits = new DecisionSettings.Limits(4, true, true, false, true, 2000, 15_000, false);
    AdmissionController module;
    double nowMs;

    /** Returns one of this number of gateways, started with this seed. */
    static RecordingGateway startedWith(int gateways, long seed) {
        RecordingGateway gateway = new RecordingGateway();
        gateway.start(gateway.limits, gateways, seed);
        return gateway;
    }

    void start(DecisionSettings.Limits limits, int gateways) {
        start(limits, gateways, 7);
    }

    private void start(DecisionSettings.Limits limits, int gateways, long seed) {
        module = new AdmissionController(
                nowMs,
                settings(limits, gateways, List.of(SAFE, KEYED, UNSAFE), List.of(PLAIN, CAPPED, OPEN)),
                seed,
                this);
    }

    void updateEndpoints(boolean complete, Endpoint... endpoints) {
        module.endpointsChanged(nowMs, complete, List.of(endpoints));
    }

    void submit(String id, String requestClass, String plan, double budgetMs) {
        module.requestArrived(nowMs, new AdmissionRequest(id, requestClass, plan, "c", 1, budgetMs, 2, false));
    }

    void endAttempt(String id, String backend, int attempt, AttemptStatus status) {
        module.attemptEnded(
                nowMs,
                new AttemptOutcome(id, backend, attempt, status, 50, status == AttemptStatus.SERVED, -1, 0, null));
    }

    /** Advances the time and delivers the timers that expire until then, in the order of their times. */
    void advanceTo(double timeMs) {
        while (true) {
            double[] next = null;
            for (double[] each : timers) {
                next = each[0] <= timeMs && (next == null || each[0] < next[0]) ? each : next;
            }
            if (next == null) {
                break;
            }
            timers.remove(next);
            nowMs = Math.max(nowMs, next[0]);
            module.timerExpired(nowMs, (long) next[1]);
        }
        nowMs = timeMs;
    }

    @Override
    public void startAttempt(String id, String backend, double timeoutMs) {
        attempts.add(id + "@" + backend);
    }

    @Override
    public void shed(String id, double retryAfterMs) {
        shed.add(id);
        retryAfters.add(retryAfterMs);
    }

    @Override
    public void fail(String id) {
        failed.add(id);
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        cancelled.add(id);
    }

    @Override
    public void setTimer(long token, double afterMs) {
        timers.add(new double[] {nowMs + afterMs, token});
    }

    @Override
    public void checkHealth(String backend) {
        throw new AssertionError("health checks are not allowed");
    }

    @Override
    public void subscribeToEndpoints() {
        throw new AssertionError("the endpoint list is pushed, not polled");
    }

    @Override
    public void log(String line) {
        logs.add(line);
    }

    /** Serves thirty requests immediately, so that the retry budget has tokens. */
    void fillRetryBudget() {
        for (int i = 0; i < 30; i++) {
            module.requestArrived(nowMs, new AdmissionRequest("w" + i, "look", "open", "w" + i, 1, 4000, 2, false));
            endAttempt("w" + i, "", 0, AttemptStatus.SERVED);
        }
        attempts.clear();
    }

    static DecisionSettings settings(
            DecisionSettings.Limits limits,
            int gateways,
            List<DecisionSettings.RequestClass> classes,
            List<DecisionSettings.Plan> plans) {
        return new DecisionSettings(
                0,
                gateways,
                "east",
                2,
                1000,
                false,
                classes,
                plans,
                limits,
                new DecisionSettings.Obligations(8, 0.2, 10_000, 2, 3000, false, 0),
                new DecisionSettings.Costs(0, 0, 0, 0),
                LoadReportSource.NONE,
                List.of());
    }

    static Endpoint endpoint(String id, String zone, EndpointState state, double startedMs) {
        return new Endpoint(id, zone, "any", 0, state, 1, startedMs);
    }

    static Endpoint up(String id) {
        return endpoint(id, "east", EndpointState.UP, 0);
    }
}
