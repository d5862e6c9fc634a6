package opalcove.core;

import io.vertx.core.Vertx;
import java.util.Arrays;
import opalcove.config.Clock;

/**
 * Many timers on one timer of Vert.x. Nearly all are cancelled before they expire, and then leave the queue at once:
 * it holds what is scheduled and no more. The event loop is woken only for the earliest. A binary heap in which each
 * timer knows its index, so that scheduling and cancelling take O(log n) of the timers scheduled. Used on the event
 * loop only.
 */
final class TimerQueue {
    /** An action to be run at its time, scheduled once. */
    abstract static class Timer {
        private double dueMs;
        private int index = -1;

        /** Runs once its time has come. */
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
        rise(timer, size++);
        arm();
    }

    /** It will not expire; one that has expired or is not scheduled stays as it is. */
    void cancel(Timer timer) {
        if (timer.index < 0) {
            return;
        }
        int index = timer.index;
        timer.index = -1;
        Timer last = heap[--size];
        heap[size] = null;
        if (last != timer) {
            sink(last, index);
            if (heap[index] == last) {
                rise(last, index);
            }
        }
        if (heap.length > 64 && size < heap.length / 4) {
            heap = Arrays.copyOf(heap, heap.length / 2);
        }
    }

    /** How many are scheduled. */
    int size() {
        return size;
    }

    private void rise(Timer timer, int from) {
        int index = from;
        while (index > 0 && heap[(index - 1) / 2].dueMs > timer.dueMs) {
            place(heap[(index - 1) / 2], index);
            index = (index - 1) / 2;
        }
        place(timer, index);
    }

    private void sink(Timer timer, int from) {
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

    /** The child of an index that is due first; the index has at least one child. */
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
            // Guards all other requests' deadlines against a fault in one timer: unarmed, none would expire again.
            arm();
        }
    }
}
