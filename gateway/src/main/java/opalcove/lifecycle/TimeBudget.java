package opalcove.lifecycle;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** A span of time that several consecutive waits share: each wait reduces the time of the following ones. Immutable. */
public final class TimeBudget {
    private final LongSupplier nanoClock;
    private final long endNanos;

    /** Creates a budget of this many milliseconds that starts now. */
    public static TimeBudget ofMs(long ms) {
        return new TimeBudget(ms, System::nanoTime);
    }

    /** Creates a budget of this many milliseconds that starts now according to a clock in ns. */
    public TimeBudget(long ms, LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        endNanos = nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Returns the remaining time in ms; 0 once the budget is used up. */
    public long remainingMs() {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(endNanos - nanoClock.getAsLong()));
    }
}
