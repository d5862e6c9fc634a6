package opalcove.config;

import java.math.BigDecimal;

/**
 * The values that a numeric setting may have. Immutable.
 *
 * @param min the lower bound
 * @param max the upper bound, which is itself allowed
 * @param excludesMin whether the lower bound itself is not allowed
 */
record Range(double min, double max, boolean excludesMin) {
    /**
     * The upper bound of settings without a bound of their own. It exceeds any sensible rate, time in ms or number of
     * units; above it the sum of two doubles may lose whole units.
     */
    private static final double GREATEST = 1e15;

    static final Range NOT_NEGATIVE = new Range(0, GREATEST, false);
    static final Range POSITIVE = new Range(0, GREATEST, true);
    static final Range SHARE = new Range(0, 1, false);

    static Range of(double min, double max) {
        return new Range(min, max, false);
    }

    boolean contains(double value) {
        return value >= min && value <= max && !(excludesMin && value == min);
    }

    /** Returns what a value must be, for messages. */
    String requirement() {
        if (max < GREATEST) {
            return "must be " + (excludesMin ? "over " : "from ") + text(min) + (excludesMin ? " and at most " : " to ")
                    + text(max);
        }
        return "must be a finite number " + (excludesMin ? "over " : "not below ") + text(min);
    }

    private static String text(double value) {
        return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }
}
