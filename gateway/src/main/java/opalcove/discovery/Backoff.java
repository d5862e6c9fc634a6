package opalcove.discovery;

import java.util.random.RandomGenerator;

/**
 * Waits between attempts at a service that all gateways call: each twice as long as the one before, up to a bound, and each
 * drawn at random. Guards an overloaded service against gateways that call again together, and as soon as they are
 * rejected: at 14 gateways a fixed tenth of a second kept a list service from answering any of them for a whole day. Not
 * thread-safe.
 */
public final class Backoff {
    /** The longest wait that is drawn, as a multiple of the mean; the shortest is 1 less. */
    private static final double MAX_DRAW = 1.5;

    private final double minMs;
    private final double maxMs;
    private final RandomGenerator random;
    private double meanMs;

    /**
     * Waits whose mean grows from one bound to the other.
     *
     * @throws IllegalArgumentException if the bounds are below 1 or in the wrong order
     */
    public Backoff(double minMs, double maxMs, RandomGenerator random) {
        if (!(minMs >= 1) || !(maxMs >= minMs)) {
            throw new IllegalArgumentException("a wait from " + minMs + " to " + maxMs + " ms");
        }
        this.minMs = minMs;
        this.maxMs = maxMs;
        this.random = random;
        meanMs = minMs;
    }

    /** The next wait, ms: from half to one and a half times the present mean. */
    public long next() {
        return next(Double.MAX_VALUE);
    }

    /**
     * The next wait, ms, of this length at most (at least 1 ms). One whose mean is longer is drawn around a shorter mean
     * rather than cut off, so that callers with the same bound still call at different times.
     */
    public long next(double limitMs) {
        double waitMs = Math.min(meanMs, limitMs / MAX_DRAW) * (MAX_DRAW - 1 + random.nextDouble());
        meanMs = Math.min(maxMs, 2 * meanMs);
        return Math.max(1, Math.round(waitMs));
    }

    /** An attempt has succeeded: the next wait is short again. */
    public void reset() {
        meanMs = minMs;
    }
}
