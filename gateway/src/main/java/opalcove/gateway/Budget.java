package opalcove.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** A span of time that several waits share: what one of them takes, the next ones do not have. */
public final class Budget {
    private final LongSupplier nanos;
    private final long end;

    /** A budget of that many ms from now on. */
    public static Budget ofMs(long ms) {
        return new Budget(ms, System::nanoTime);
    }

    /** A budget by a clock that gives ns, from what it says now. */
    public Budget(long ms, LongSupplier nanos) {
        this.nanos = nanos;
        end = nanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** What is left, ms; 0 once it is over. */
    public long leftMs() {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(end - nanos.getAsLong()));
    }
}
