package opalcove.config;

/**
 * Time in milliseconds that goes with the monotonic clock. It began as Unix time: times of lists that were told before, or by
 * a machine whose clock is right, can be compared with it ({@code SlowStartTimes}); a step of the wall clock does not change it.
 */
public final class Clock {
    private final double startedAt = System.currentTimeMillis();

    private final long started = System.nanoTime();

    /** The time in Unix milliseconds; it never goes back. */
    public double now() {
        return startedAt + (System.nanoTime() - started) / 1e6;
    }
}
