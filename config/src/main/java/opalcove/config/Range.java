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
    private static final double MAX_VALUE = 1e15;

    static final Range NOT_NEGATIVE = new Range(0, MAX_VALUE, false);
    static final Range POSITIVE = new Range(0, MAX_VALUE, true);
    static final Range SHARE = new Range(0, 1, false);

    static Range of(double min, double max) {
        return new Range(min, max, false);
    }

    boolean contains(double value) {
        return value >= min && value <= max && !(excludesMin && value == min);
    }

    /** Returns what a value must be, for messages. */
    String requirement() {
        if (max < MAX_VALUE) {
            return "must be " + (excludesMin ? "over " : "from ") + format(min)
                    + (excludesMin ? " and at most " : " to ") + format(max);
        }
        return "must be a finite number " + (excludesMin ? "over " : "not below ") + format(min);
    }

    private static String format(double value) {
        return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }
}
