package opalcove.discovery;

import java.util.random.RandomGenerator;

/**
 * Computes the waits between attempts to call a service that all gateways share. The mean wait doubles with each
 * attempt up to a bound, and each wait is drawn at random around the mean. Without it, gateways that are rejected
 * together call an overloaded service again together and at once: with 14 gateways, a fixed wait of 100 ms prevented a
 * list service from responding to any of them for an entire day. Not thread-safe.
 */
public final class Backoff {
    /** The longest wait as a multiple of the mean; the shortest is this multiple minus 1. */
    private static final double MAX_WAIT_FACTOR = 1.5;

    private final double minMs;
    private final double maxMs;
    private final RandomGenerator random;
    private double meanMs;

    /**
     * Creates waits whose mean grows from {@code minMs} to {@code maxMs}.
     *
     * @throws IllegalArgumentException if {@code minMs} is below 1 or above {@code maxMs}
     */
    public Backoff(double minMs, double maxMs, RandomGenerator random) {
        if (!(minMs >= 1) || !(maxMs >= minMs)) {
            throw new IllegalArgumentException("the wait must have bounds of at least 1 ms in ascending order, not "
                    + minMs + " and " + maxMs + " ms");
        }
        this.minMs = minMs;
        this.maxMs = maxMs;
        this.random = random;
        meanMs = minMs;
    }

    /** Returns the next wait in ms, from 0.5 to 1.5 times the current mean. */
    public long next() {
        return next(Double.MAX_VALUE);
    }

    /**
     * Returns the next wait in ms, at most this limit but at least 1 ms. If the current mean could exceed the limit,
     * the wait is drawn around a shorter mean rather than cut off at the limit, so that callers with the same limit
     * still call at different times.
     */
    public long next(double limitMs) {
        double waitMs = Math.min(meanMs, limitMs / MAX_WAIT_FACTOR) * (MAX_WAIT_FACTOR - 1 + random.nextDouble());
        meanMs = Math.min(maxMs, 2 * meanMs);
        return Math.max(1, Math.round(waitMs));
    }

    /** Resets the mean to its minimum after a successful attempt. */
    public void reset() {
        meanMs = minMs;
    }
}
