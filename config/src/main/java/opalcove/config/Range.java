package opalcove.config;

import java.math.BigDecimal;

/**
 * The values that a numeric setting may have.
 *
 * @param least the least value
 * @param most the greatest value; it is allowed, too
 * @param open whether the least value itself is left out
 */
record Range(double least, double most, boolean open) {
    /** More than any rate, time in milliseconds or count of units that is meant; beyond it sums lose whole units. */
    private static final double MOST = 1e15;

    static final Range NOT_NEGATIVE = new Range(0, MOST, false);
    static final Range POSITIVE = new Range(0, MOST, true);
    static final Range SHARE = new Range(0, 1, false);

    static Range of(double least, double most) {
        return new Range(least, most, false);
    }

    boolean has(double value) {
        return value >= least && value <= most && !(open && value == least);
    }

    /** What a value must be, for messages. */
    String demand() {
        if (most < MOST) {
            return "must be " + (open ? "over " : "from ") + text(least) + (open ? " and at most " : " to ")
                    + text(most);
        }
        return "must be a finite number " + (open ? "over " : "not below ") + text(least);
    }

    private static String text(double value) {
        return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }
}
