package opalcove.laboratory.coldstart;

import java.util.ArrayDeque;
import java.util.Deque;

/** What reaches one backend from its start until it is warm, held against the rule. */
final class SlowStartPeriod {
    /** The part of the work in a window beyond which the gateways that knew of the start answer for a fall. */
    private static final double INFORMED_PART = 2.0 / 3;

    private record Arrival(double atMs, double work, boolean informed) {}

    /** Requests, or their work, in the window: from all gateways, and from those that knew of the start. */
    private static final class Sum {
        private double all;
        private double informed;
        private double worstRatio;

        void add(double amount, boolean knewOfStart) {
            all += amount;
            informed += knewOfStart ? amount : 0;
        }

        void compare(double limit) {
            if (informed > INFORMED_PART * all) {
                worstRatio = Math.max(worstRatio, all / limit);
            }
        }
    }

    private final SlowStartRule rule;
    private final double startedMs;
    private final double warmRatePerMs;
    private final Deque<Arrival> window = new ArrayDeque<>();
    private final Sum requests = new Sum();
    private final Sum work = new Sum();
    private int requestsInAll;

    /** @param warmRatePerMs requests of mean work a millisecond that the backend serves when warm */
    SlowStartPeriod(SlowStartRule rule, double startedMs, double warmRatePerMs) {
        this.rule = rule;
        this.startedMs = startedMs;
        this.warmRatePerMs = warmRatePerMs;
    }

    /** A request arrives; its work is a multiple of the mean, and informed tells whether its gateway knows of the start. */
    void arrived(double nowMs, double requestWork, boolean informed) {
        double ageMs = nowMs - startedMs;
        if (ageMs >= rule.warmAfterMs()) {
            return;
        }
        requestsInAll++;
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

    /** The highest ratio of the requests in a window to the limit; above 1 the backend falls. */
    double worstRatio() {
        return requests.worstRatio;
    }

    /** The same with each request counted by its own work, as a multiple of the mean. */
    double worstWorkRatio() {
        return work.worstRatio;
    }

    /** The requests of the whole ramp, as a part of what the overload factor allows over it. */
    double usedShare() {
        return requestsInAll / rule.rampBudget(warmRatePerMs);
    }
}
