package opalcove.discovery;

import java.util.random.RandomGenerator;

/**
 * Waits between tries at something that all gateways try: each twice as long as the one before, up to a bound, and each
 * drawn anew. Guards a party that is overbooked against gateways that ask again as one, and as soon as they are refused:
 * at 14 gateways a fixed tenth of a second kept a list service from answering any of them for a whole day.
 */
public final class Backoff {
    /** The longest wait that is drawn, as a multiple of the mean; the shortest is 1 less. */
    private static final double LONGEST_DRAW = 1.5;

    private final double leastMs;
    private final double mostMs;
    private final RandomGenerator random;
    private double mean;

    /**
     * A wait between the two bounds, in milliseconds.
     *
     * @throws IllegalArgumentException if the bounds are below 1 or in the wrong order
     */
    public Backoff(double leastMs, double mostMs, RandomGenerator random) {
        if (!(leastMs >= 1) || !(mostMs >= leastMs)) {
            throw new IllegalArgumentException("a wait from " + leastMs + " to " + mostMs + " ms");
        }
        this.leastMs = leastMs;
        this.mostMs = mostMs;
        this.random = random;
        mean = leastMs;
    }

    /** The next wait, ms: from half to one and a half times what has grown so far. */
    public long next() {
        return next(Double.MAX_VALUE);
    }

    /**
     * The next wait, ms, of this length at most (at least 1 ms). One that has grown further is drawn around a shorter
     * mean rather than cut off, so that callers that are bounded alike still come at different times.
     */
    public long next(double atMostMs) {
        double wait = Math.min(mean, atMostMs / LONGEST_DRAW) * (LONGEST_DRAW - 1 + random.nextDouble());
        mean = Math.min(mostMs, 2 * mean);
        return Math.max(1, Math.round(wait));
    }

    /** A try has come off: the next wait is a short one again. */
    public void reset() {
        mean = leastMs;
    }
}
