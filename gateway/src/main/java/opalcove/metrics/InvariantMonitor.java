package opalcove.metrics;

import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import org.tinylog.Logger;

/**
 * Counts and logs, by invariant, what was prevented because it would have violated it, and what has violated it. The
 * first is the ordinary work of the checks; the second is a fault of the program, or of the machine under it, and
 * fails tests and soaks. Logged once a second for each invariant at most, with the number of those that were not.
 * Written on the event loop only; counts may be read by any thread.
 */
public final class InvariantMonitor {
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final AtomicLongArray prevented = new AtomicLongArray(Invariant.values().length);
    private final AtomicLongArray violated = new AtomicLongArray(Invariant.values().length);
    private final long[] lastLoggedNanos = new long[2 * Invariant.values().length];
    private final long[] unlogged = new long[2 * Invariant.values().length];

    /** A monitor that has counted nothing yet. */
    public InvariantMonitor() {
        long longAgoNanos = System.nanoTime() - LOG_INTERVAL_NANOS;
        Arrays.fill(lastLoggedNanos, longAgoNanos);
    }

    /** Something was not done because it would have violated the invariant. */
    public void prevented(Invariant invariant, String id, String cause) {
        prevented.incrementAndGet(invariant.ordinal());
        if (mayLog(invariant.ordinal())) {
            Logger.info(
                    "stopped by rule {}: {}: {}{}",
                    invariant.metricName(),
                    id,
                    cause,
                    unloggedSuffix(invariant.ordinal()));
        }
    }

    /** The invariant was violated. */
    public void violated(Invariant invariant, String id, String cause) {
        violated.incrementAndGet(invariant.ordinal());
        int slot = Invariant.values().length + invariant.ordinal();
        if (mayLog(slot)) {
            Logger.error("rule broken {}: {}: {}{}", invariant.metricName(), id, cause, unloggedSuffix(slot));
        }
    }

    private boolean mayLog(int slot) {
        long nowNanos = System.nanoTime();
        if (nowNanos - lastLoggedNanos[slot] < LOG_INTERVAL_NANOS) {
            unlogged[slot]++;
            return false;
        }
        lastLoggedNanos[slot] = nowNanos;
        return true;
    }

    private String unloggedSuffix(int slot) {
        long others = unlogged[slot];
        unlogged[slot] = 0;
        return others == 0 ? "" : " (and " + others + " more before)";
    }

    /** How often the invariant was violated. */
    public long violated(Invariant invariant) {
        return violated.get(invariant.ordinal());
    }

    /** What INFO shows: one name and value a line. */
    public String infoLines() {
        StringBuilder text = new StringBuilder();
        for (Invariant invariant : Invariant.values()) {
            text.append(String.format(
                    Locale.ROOT, "rule_stopped.%s=%d%n", invariant.metricName(), prevented.get(invariant.ordinal())));
            text.append(String.format(
                    Locale.ROOT, "rule_broken.%s=%d%n", invariant.metricName(), violated.get(invariant.ordinal())));
        }
        return text.toString();
    }

    /** The same in the StatsD form, with this prefix. */
    void appendStatsd(StringBuilder text, String prefix) {
        for (Invariant invariant : Invariant.values()) {
            appendStatsd(text, prefix + "rule_stopped." + invariant.metricName(), prevented.get(invariant.ordinal()));
            appendStatsd(text, prefix + "rule_broken." + invariant.metricName(), violated.get(invariant.ordinal()));
        }
    }

    private static void appendStatsd(StringBuilder text, String name, long value) {
        text.append(name).append(':').append(value).append("|c\n");
    }
}
