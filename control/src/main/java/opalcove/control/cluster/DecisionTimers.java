package opalcove.control.cluster;

import java.util.PriorityQueue;
import opalcove.decision.DecisionActions;

/**
 * The timers of the decision module, and the time as it knows it. Of the module's actions only timers can occur here, as it is
 * given no requests.
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

    /** Moves the time forward; it never goes back. Returns the time after it. */
    double advance(double timeMs) {
        nowMs = Math.max(nowMs, timeMs);
        return nowMs;
    }

    double nowMs() {
        return nowMs;
    }

    /** Whether a timer is due by now. */
    boolean isDue() {
        return !timers.isEmpty() && timers.peek().dueMs <= nowMs;
    }

    /** Removes the timer that is due next and returns its token. */
    long poll() {
        return timers.poll().token;
    }

    /** When the next timer is due; positive infinity if there is none. */
    double nextDueMs() {
        return timers.isEmpty() ? Double.POSITIVE_INFINITY : timers.peek().dueMs;
    }

    @Override
    public void setTimer(long token, double afterMs) {
        timers.add(new Timer(nowMs + afterMs, token));
    }

    @Override
    public void startAttempt(String requestId, String backend, double timeoutMs) {
        throw noRequest();
    }

    @Override
    public void shed(String requestId, double retryAfterMs) {
        throw noRequest();
    }

    @Override
    public void fail(String requestId) {
        throw noRequest();
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        throw noRequest();
    }

    private static IllegalStateException noRequest() {
        return new IllegalStateException("no request was given to the module");
    }

    @Override
    public void checkHealth(String backend) {
        // Does not occur: the settings of a control service do not allow health checks.
    }

    @Override
    public void subscribeToEndpoints() {
        // The owner of the endpoint source follows it from the start.
    }

    @Override
    public void log(String line) {
        // The module logs single requests only.
    }
}
