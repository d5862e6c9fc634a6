package opalcove.metrics;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import org.tinylog.Logger;

/**
 * Counts and logs, by rule, what was stopped because it would have broken the rule, and what has broken it. The first is the
 * ordinary work of the checks; the second is a fault of the program, or of the machine under it, and fails tests and soaks.
 * Logged once a second for each rule at the most, with the number of those that were not. Counts may be read by any thread.
 */
public final class InvariantMonitor {
    private static final long LOG_EVERY_NS = TimeUnit.SECONDS.toNanos(1);

    private final AtomicLongArray prevented = new AtomicLongArray(Invariant.values().length);
    private final AtomicLongArray violated = new AtomicLongArray(Invariant.values().length);
    private final long[] loggedAt = new long[2 * Invariant.values().length];
    private final long[] unlogged = new long[2 * Invariant.values().length];

    /** A monitor that has counted nothing yet. */
    public InvariantMonitor() {
        long before = System.nanoTime() - LOG_EVERY_NS;
        java.util.Arrays.fill(loggedAt, before);
    }

    /** Something was not done because of the rule. */
    public void prevented(Invariant rule, String id, String cause) {
        prevented.incrementAndGet(rule.ordinal());
        if (mayLog(rule.ordinal())) {
            Logger.info("stopped by rule {}: {}: {}{}", rule.metricName(), id, cause, since(rule.ordinal()));
        }
    }

    /** The rule was broken. */
    public void violated(Invariant rule, String id, String cause) {
        violated.incrementAndGet(rule.ordinal());
        int place = Invariant.values().length + rule.ordinal();
        if (mayLog(place)) {
            Logger.error("rule broken {}: {}: {}{}", rule.metricName(), id, cause, since(place));
        }
    }

    private boolean mayLog(int place) {
        long now = System.nanoTime();
        if (now - loggedAt[place] < LOG_EVERY_NS) {
            unlogged[place]++;
            return false;
        }
        loggedAt[place] = now;
        return true;
    }

    private String since(int place) {
        long others = unlogged[place];
        unlogged[place] = 0;
        return others == 0 ? "" : " (and " + others + " more before)";
    }

    /** How often the rule was broken. */
    public long violated(Invariant rule) {
        return violated.get(rule.ordinal());
    }

    /** One name and figure a line. */
    public String infoLines() {
        StringBuilder text = new StringBuilder();
        for (Invariant rule : Invariant.values()) {
            text.append(String.format(
                    Locale.ROOT, "rule_stopped.%s=%d%n", rule.metricName(), prevented.get(rule.ordinal())));
            text.append(
                    String.format(Locale.ROOT, "rule_broken.%s=%d%n", rule.metricName(), violated.get(rule.ordinal())));
        }
        return text.toString();
    }

    /** The same in the StatsD form, with this prefix. */
    void appendStatsd(StringBuilder text, String prefix) {
        for (Invariant rule : Invariant.values()) {
            appendStatsd(text, prefix + "rule_stopped." + rule.metricName(), prevented.get(rule.ordinal()));
            appendStatsd(text, prefix + "rule_broken." + rule.metricName(), violated.get(rule.ordinal()));
        }
    }

    private static void appendStatsd(StringBuilder text, String name, long figure) {
        text.append(name).append(':').append(figure).append("|c\n");
    }
}
