package opalcove.config;

/**
 * A clock in Unix milliseconds that advances with the monotonic clock. It reads the wall clock only once, when it is
 * created, so a later step of the wall clock does not change it. Its values can be compared with start times that an
 * earlier process, or a machine whose clock is right, wrote into an endpoint list ({@code SlowStartTimes}).
 * Thread-safe.
 */
public final class Clock {
    private final double startUnixMs = System.currentTimeMillis();

    private final long startNanos = System.nanoTime();

    /** Returns the time in Unix milliseconds; it never decreases. */
    public double now() {
        return startUnixMs + (System.nanoTime() - startNanos) / 1e6;
    }
}
