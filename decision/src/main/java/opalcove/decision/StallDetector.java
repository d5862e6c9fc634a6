package opalcove.decision;

/**
 * Detects stalls of the gateway itself from interval timers that expire late. Without it, a gateway that lacks
 * processor time mistakes its own stall for slow backends: responses that were not read in time looked late, and
 * capacity was bounded to almost nothing for half a minute. While the gateway recovers, the ages of attempts are
 * ignored. Owned by the thread that delivers the instance's events.
 */
final class StallDetector {
    /** An interval timer that is later than this shows that the gateway stalled, ms. */
    private static final double MAX_LATENESS_MS = 25;

    private double nextTickMs = DecisionContext.UNSCHEDULED_MS;
    private double recoveringUntilMs = DecisionContext.NEVER_MS;

    /**
     * Records the expiry of an interval timer.
     *
     * @return whether it was late
     */
    boolean recordTick(double nowMs) {
        boolean isLate = nowMs - nextTickMs > MAX_LATENESS_MS;
        if (isLate) {
            recoveringUntilMs = nowMs + 2 * DecisionContext.INTERVAL_MS;
        }
        nextTickMs = nowMs + DecisionContext.INTERVAL_MS;
        return isLate;
    }

    /** Whether the gateway stalled so recently that the ages of attempts are not meaningful. */
    boolean isRecovering(double nowMs) {
        return nowMs < recoveringUntilMs;
    }
}
