package opalcove.config;

/**
 * Time in milliseconds that goes with the monotonic clock. It began as Unix time: start times in lists of an earlier
 * process, or of a machine whose clock is right, can be compared with it ({@code SlowStartTimes}); a step of the wall
 * clock does not change it.
 */
public final class Clock {
    private final double startUnixMs = System.currentTimeMillis();

    private final long startNanos = System.nanoTime();

    /** The time in Unix milliseconds; it never goes back. */
    public double now() {
        return startUnixMs + (System.nanoTime() - startNanos) / 1e6;
    }
}
