package opalcove.laboratory.coldstart;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual time in ms. Events run in the order of their times; events of the same time run in the order of scheduling.
 */
final class VirtualClock {
    private record Event(double atMs, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
    private double nowMs;
    private long scheduled;

    double nowMs() {
        return nowMs;
    }

    /** Schedules the action after a delay in ms; a negative delay counts as 0. */
    void after(double delayMs, Runnable action) {
        events.add(new Event(nowMs + Math.max(0, delayMs), scheduled++, action));
    }

    /** Runs all events up to and including {@code endMs}, and then sets the clock to that time. */
    void runUntil(double endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = endMs;
    }
}
