package opalcove.lifecycle;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** A span of time that several waits share: what one of them takes, the next ones do not have. Immutable. */
public final class TimeBudget {
    private final LongSupplier nanoClock;
    private final long endNanos;

    /** A budget of that many ms from now on. */
    public static TimeBudget ofMs(long ms) {
        return new TimeBudget(ms, System::nanoTime);
    }

    /** A budget by a clock that gives ns, from its present time on. */
    public TimeBudget(long ms, LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        endNanos = nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** What is left, ms; 0 once it is over. */
    public long remainingMs() {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(endNanos - nanoClock.getAsLong()));
    }
}
