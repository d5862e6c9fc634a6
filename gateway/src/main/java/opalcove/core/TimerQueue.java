package opalcove.core;

import io.vertx.core.Vertx;
import java.util.Arrays;
import opalcove.config.Clock;

/**
 * Runs many timers on one Vert.x timer, so that the event loop is woken only for the earliest. Nearly all timers are
 * cancelled before they expire, and a cancelled timer is removed at once: the queue holds only scheduled timers. It is
 * a binary heap in which each timer knows its index; scheduling and cancelling take O(log n) for n scheduled timers.
 * Used on the event loop only.
 */
final class TimerQueue {
    /** An action to be run at a given time; scheduled at most once. */
    abstract static class Timer {
        private double dueMs;
        private int index = -1;

        /** Called when the timer expires. */
        abstract void onExpiry();
    }

    private final Vertx vertx;
    private final Clock clock;
    private Timer[] heap = new Timer[64];
    private int size;
    private double armedForMs = Double.MAX_VALUE;
    private long vertxTimer = -1;

    TimerQueue(Vertx vertx, Clock clock) {
        this.vertx = vertx;
        this.clock = clock;
    }

    /** Schedules the timer to expire once, never before this call has returned. */
    void schedule(double afterMs, Timer timer) {
        scheduleAt(clock.now() + afterMs, timer);
    }

    /** Schedules the timer to expire once, at that time of the clock or as soon after as possible. */
    void scheduleAt(double dueMs, Timer timer) {
        timer.dueMs = dueMs;
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        siftUp(timer, size++);
        arm();
    }

    /** Cancels the timer; has no effect if it has expired or is not scheduled. */
    void cancel(Timer timer) {
        if (timer.index < 0) {
            return;
        }
        int index = timer.index;
        timer.index = -1;
        Timer last = heap[--size];
        heap[size] = null;
        if (last != timer) {
            siftDown(last, index);
            if (heap[index] == last) {
                siftUp(last, index);
            }
        }
        if (heap.length > 64 && size < heap.length / 4) {
            heap = Arrays.copyOf(heap, heap.length / 2);
        }
    }

    /** Returns the number of scheduled timers. */
    int size() {
        return size;
    }

    private void siftUp(Timer timer, int from) {
        int index = from;
        while (index > 0 && heap[(index - 1) / 2].dueMs > timer.dueMs) {
            place(heap[(index - 1) / 2], index);
            index = (index - 1) / 2;
        }
        place(timer, index);
    }

    private void siftDown(Timer timer, int from) {
        int index = from;
        while (2 * index + 1 < size) {
            int child = earlierChild(index);
            if (heap[child].dueMs >= timer.dueMs) {
                break;
            }
            place(heap[child], index);
            index = child;
        }
        place(timer, index);
    }

    /** Returns the index of the child that is due first; the node at {@code index} must have at least one child. */
    private int earlierChild(int index) {
        int first = 2 * index + 1;
        int second = first + 1;
        return second < size && heap[second].dueMs < heap[first].dueMs ? second : first;
    }

    private void place(Timer timer, int index) {
        heap[index] = timer;
        timer.index = index;
    }

    private void arm() {
        if (size == 0 || heap[0].dueMs >= armedForMs) {
            return;
        }
        if (armedForMs < Double.MAX_VALUE) {
            vertx.cancelTimer(vertxTimer);
        }
        armedForMs = heap[0].dueMs;
        vertxTimer = vertx.setTimer(Math.max(1, (long) Math.ceil(armedForMs - clock.now())), fired -> expire());
    }

    private void expire() {
        armedForMs = Double.MAX_VALUE;
        double nowMs = clock.now();
        try {
            while (size > 0 && heap[0].dueMs <= nowMs) {
                Timer next = heap[0];
                cancel(next);
                next.onExpiry();
            }
        } finally {
            // Rearms also after a timer has thrown; otherwise no timer would expire again, and all other requests would
            // miss their deadlines.
            arm();
        }
    }
}
