package opalcove.metrics;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import org.tinylog.Logger;

/** Counts failed calls of the system by call and reason. Logged once a second at the most. Counts may be read by any thread. */
public final class SystemCallFailures {
    private static final long LOG_EVERY_NS = TimeUnit.SECONDS.toNanos(1);

    private final AtomicLongArray counts = new AtomicLongArray(SystemCall.values().length * Errno.values().length);
    private long loggedAt = System.nanoTime() - LOG_EVERY_NS;
    private long unlogged;

    /** Counts and logs the failure of a system call. */
    public void failed(SystemCall call, Throwable failure) {
        Errno errno = Errno.of(failure);
        counts.incrementAndGet(place(call, errno));
        long now = System.nanoTime();
        if (now - loggedAt < LOG_EVERY_NS) {
            unlogged++;
            return;
        }
        Logger.warn(
                "{} failed with {}: {} ({} more since the last such line)",
                call.figure(),
                errno,
                failure.getMessage(),
                unlogged);
        loggedAt = now;
        unlogged = 0;
    }

    private static int place(SystemCall call, Errno errno) {
        return call.ordinal() * Errno.values().length + errno.ordinal();
    }

    /** One name and figure a line, of those that have failed. */
    public String lines() {
        StringBuilder text = new StringBuilder();
        each((name, count) -> text.append(name).append('=').append(count).append('\n'));
        return text.toString();
    }

    /** The same in the StatsD form, with this prefix. */
    void statsd(StringBuilder text, String prefix) {
        each((name, count) ->
                text.append(prefix).append(name).append(':').append(count).append("|c\n"));
    }

    /** Takes the name and the count of what has failed. */
    private interface Taker {
        void take(String name, long count);
    }

    private void each(Taker taker) {
        for (SystemCall call : SystemCall.values()) {
            for (Errno errno : Errno.values()) {
                long count = counts.get(place(call, errno));
                if (count > 0) {
                    taker.take("syscall_failed." + call.figure() + "." + errno.figure(), count);
                }
            }
        }
    }
}
