package opalcove.config;

import java.math.BigDecimal;

/**
 * The values that a numeric setting may have.
 *
 * @param min the least value
 * @param max the greatest value, which is allowed, too
 * @param excludesMin whether the least value itself is not allowed
 */
record Range(double min, double max, boolean excludesMin) {
    /** More than any rate, time in ms or count of units that is meant; beyond it sums lose whole units. */
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

    /** What a value must be, for messages. */
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
