package opalcove.control.cluster;

import java.util.PriorityQueue;
import opalcove.decision.DecisionActions;

/**
 * The timers and the current time of the decision module. No other actions of the module occur here, because the
 * control service gives it no requests.
 *
 * <p>Owned by the thread of its {@link ClusterState}.
 */
final class DecisionTimers implements DecisionActions {
    private record Timer(double dueMs, long token) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((first, second) -> Double.compare(first.dueMs, second.dueMs));
    private double nowMs;

    DecisionTimers(double nowMs) {
        this.nowMs = nowMs;
    }

    /** Advances the time; an earlier time has no effect. Returns the current time, ms. */
    double advance(double timeMs) {
        nowMs = Math.max(nowMs, timeMs);
        return nowMs;
    }

    double nowMs() {
        return nowMs;
    }

    /** Whether a timer is due. */
    boolean isDue() {
        return !timers.isEmpty() && timers.peek().dueMs <= nowMs;
    }

    /** Removes the timer with the earliest due time and returns its token. */
    long poll() {
        return timers.poll().token;
    }

    /** Returns when the next timer is due, ms; positive infinity if there is none. */
    double nextDueMs() {
        return timers.isEmpty() ? Double.POSITIVE_INFINITY : timers.peek().dueMs;
    }

    @Override
    public void setTimer(long token, double afterMs) {
        timers.add(new Timer(nowMs + afterMs, token));
    }

    @Override
    public void startAttempt(String requestId, String backend, double timeoutMs) {
        throw unexpectedRequest();
    }

    @Override
    public void shed(String requestId, double retryAfterMs) {
        throw unexpectedRequest();
    }

    @Override
    public void fail(String requestId) {
        throw unexpectedRequest();
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        throw unexpectedRequest();
    }

    private static IllegalStateException unexpectedRequest() {
        return new IllegalStateException(
                "the decision module acts on a request, but the control service gives it none");
    }

    @Override
    public void checkHealth(String backend) {
        // Never called: the settings of a control service do not allow health checks.
    }

    @Override
    public void subscribeToEndpoints() {
        // Nothing to do: the endpoint file is watched from the start.
    }

    @Override
    public void log(String line) {
        // Nothing to do: the module logs only individual requests.
    }
}
