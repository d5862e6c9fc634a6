package opalcove.metrics;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import org.tinylog.Logger;

/**
 * Counts failed system calls by call and reason, and logs them at most once per second. Must be written on the event
 * loop only; the counts may be read by any thread.
 */
public final class SystemCallFailures {
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final AtomicLongArray counts = new AtomicLongArray(SystemCall.values().length * Errno.values().length);
    private long lastLoggedNanos = System.nanoTime() - LOG_INTERVAL_NANOS;
    private long unlogged;

    /** Counts and logs the failure of a system call. */
    public void failed(SystemCall call, Throwable failure) {
        Errno errno = Errno.of(failure);
        counts.incrementAndGet(index(call, errno));
        long nowNanos = System.nanoTime();
        if (nowNanos - lastLoggedNanos < LOG_INTERVAL_NANOS) {
            unlogged++;
            return;
        }
        Logger.warn(
                "{} failed with {}: {} ({} more since the last such line)",
                call.metricName(),
                errno,
                failure.getMessage(),
                unlogged);
        lastLoggedNanos = nowNanos;
        unlogged = 0;
    }

    private static int index(SystemCall call, Errno errno) {
        return call.ordinal() * Errno.values().length + errno.ordinal();
    }

    /** Returns the counts of calls that have failed, in the format of INFO: one name and value per line. */
    public String infoLines() {
        StringBuilder text = new StringBuilder();
        forEachFailed(
                (name, count) -> text.append(name).append('=').append(count).append('\n'));
        return text.toString();
    }

    /** Appends the same counts in StatsD format, with this prefix before each name. */
    void appendStatsd(StringBuilder text, String prefix) {
        forEachFailed((name, count) ->
                text.append(prefix).append(name).append(':').append(count).append("|c\n"));
    }

    /** Receives the name and the count of a failure. */
    private interface MetricConsumer {
        void accept(String name, long count);
    }

    private void forEachFailed(MetricConsumer consumer) {
        for (SystemCall call : SystemCall.values()) {
            for (Errno errno : Errno.values()) {
                long count = counts.get(index(call, errno));
                if (count > 0) {
                    consumer.accept("syscall_failed." + call.metricName() + "." + errno.metricName(), count);
                }
            }
        }
    }
}
