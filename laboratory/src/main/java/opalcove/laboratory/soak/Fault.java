package opalcove.laboratory.soak;

import java.util.Locale;

/**
 * One fault of a plan.
 *
 * @param number its number in the plan, by which it can be left out
 * @param target the number of the gateway or backend that it affects
 * @param startMs when it begins, ms from the start of the traffic
 * @param lengthMs how long it lasts, ms
 * @param draw a random value from 0 to 1 that determines the size or variant of the fault
 */
public record Fault(int number, FaultType kind, int target, int startMs, int lengthMs, double draw) {
    int endMs() {
        return startMs + lengthMs;
    }

    boolean overlaps(Fault other) {
        return startMs < other.endMs() && other.startMs < endMs();
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT, "#%d %s on %d from %d to %d ms, draw %.3f", number, kind, target, startMs, endMs(), draw);
    }
}
