package opalcove.laboratory.coldstart;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Compares the requests that reach one backend between its start and the end of its slow start with the limit of the
 * rule.
 */
final class SlowStartPeriod {
    /** A window counts only if more than this share of its load came from gateways that knew of the start. */
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;

    private record Arrival(double atMs, double work, boolean informed) {}

    /** The number or the work of the requests in the window: of all gateways, and of those that knew of the start. */
    private static final class WindowLoad {
        private double all;
        private double informed;
        private double worstRatio;

        void add(double amount, boolean knewOfStart) {
            all += amount;
            informed += knewOfStart ? amount : 0;
        }

        void compare(double limit) {
            if (informed > MIN_INFORMED_SHARE * all) {
                worstRatio = Math.max(worstRatio, all / limit);
            }
        }
    }

    private final SlowStartRule rule;
    private final double startedMs;
    private final double warmRatePerMs;
    private final Deque<Arrival> window = new ArrayDeque<>();
    private final WindowLoad requests = new WindowLoad();
    private final WindowLoad work = new WindowLoad();
    private int totalRequests;

    /** @param warmRatePerMs requests of mean work that the backend serves per ms at full capacity */
    SlowStartPeriod(SlowStartRule rule, double startedMs, double warmRatePerMs) {
        this.rule = rule;
        this.startedMs = startedMs;
        this.warmRatePerMs = warmRatePerMs;
    }

    /**
     * Records the arrival of a request.
     *
     * @param requestWork the work of the request as a multiple of the mean
     * @param informed whether the gateway that sent it knew of the start
     */
    void requestArrived(double nowMs, double requestWork, boolean informed) {
        double ageMs = nowMs - startedMs;
        if (ageMs >= rule.warmAfterMs()) {
            return;
        }
        totalRequests++;
        window.add(new Arrival(nowMs, requestWork, informed));
        requests.add(1, informed);
        work.add(requestWork, informed);
        while (window.peek().atMs() <= nowMs - rule.windowMs()) {
            Arrival oldest = window.poll();
            requests.add(-1, oldest.informed());
            work.add(-oldest.work(), oldest.informed());
        }
        double limit = rule.limit(rule.budget(ageMs, warmRatePerMs));
        requests.compare(limit);
        work.compare(limit);
    }

    /** Returns the highest ratio of the requests in a window to the limit; above 1 the backend fails (a fall). */
    double worstRatio() {
        return requests.worstRatio;
    }

    /** Returns the same ratio with each request counted by its own work, as a multiple of the mean. */
    double worstWorkRatio() {
        return work.worstRatio;
    }

    /** Returns the requests during the ramp as a share of the number that the overload factor allows during it. */
    double usedShare() {
        return totalRequests / rule.rampBudget(warmRatePerMs);
    }
}
