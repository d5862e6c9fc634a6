package opalcove.metrics;

import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import org.tinylog.Logger;

/**
 * Counts and logs, for each invariant, the actions that were prevented because they would have violated it, and the
 * violations that happened. Prevented actions are the ordinary work of the checks. A violation is a fault of the
 * program or of the machine, and fails tests and soaks. Each kind is logged at most once per second and invariant, with
 * the number of occurrences that were not logged. Must be written on the event loop only; the counts may be read by any
 * thread.
 */
public final class InvariantMonitor {
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final AtomicLongArray prevented = new AtomicLongArray(Invariant.values().length);
    private final AtomicLongArray violated = new AtomicLongArray(Invariant.values().length);
    private final long[] lastLoggedNanos = new long[2 * Invariant.values().length];
    private final long[] unlogged = new long[2 * Invariant.values().length];

    /** Creates a monitor whose counts are 0. */
    public InvariantMonitor() {
        long longAgoNanos = System.nanoTime() - LOG_INTERVAL_NANOS;
        Arrays.fill(lastLoggedNanos, longAgoNanos);
    }

    /** Counts an action that was prevented because it would have violated the invariant. */
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

    /** Counts a violation of the invariant. */
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

    /** Returns the number of violations of the invariant. */
    public long violated(Invariant invariant) {
        return violated.get(invariant.ordinal());
    }

    /** Returns the counts in the format of INFO: one name and value per line. */
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

    /** Appends the counts in StatsD format, with this prefix before each name. */
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
