package opalcove.decision;

/**
 * Detects that the gateway itself was held up, by interval timers that come late. Guards against the gateway's own want
 * of processor time read as slow backends: responses that lay unread looked late, and capacity was bounded at next to
 * nothing for half a minute. While it recovers, the ages of attempts say nothing. Owned by the thread that delivers the
 * instance's events.
 */
final class StallDetector {
    /** An interval timer later than this shows that the gateway was held up, ms. */
    private static final double MAX_LATENESS_MS = 25;

    private double nextTickMs = DecisionContext.UNSCHEDULED_MS;
    private double recoveringUntilMs = DecisionContext.NEVER_MS;

    /**
     * Takes in an interval timer.
     *
     * @return whether it came late
     */
    boolean recordTick(double nowMs) {
        boolean isLate = nowMs - nextTickMs > MAX_LATENESS_MS;
        if (isLate) {
            recoveringUntilMs = nowMs + 2 * DecisionContext.INTERVAL_MS;
        }
        nextTickMs = nowMs + DecisionContext.INTERVAL_MS;
        return isLate;
    }

    /** Whether the gateway was held up so lately that ages of attempts say nothing. */
    boolean isRecovering(double nowMs) {
        return nowMs < recoveringUntilMs;
    }
}
