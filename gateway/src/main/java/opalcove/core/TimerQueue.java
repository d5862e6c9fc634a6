package opalcove.core;

import io.vertx.core.Vertx;
import java.util.Arrays;
import opalcove.config.Clock;

/**
 * Many alarms on one timer of Vert.x. Nearly all are cancelled before they are due, and then leave the queue at once:
 * it holds what is set and no more. The event loop is woken only for the earliest. A binary heap in which each alarm
 * knows its place, so that setting and cancelling take O(log n) of the alarms that are set.
 */
final class TimerQueue {
    /** Something to be done at its time, set once. */
    abstract static class Timer {
        private double due;
        private int place = -1;

        /** Its time has come. */
        abstract void onExpiry();
    }

    private final Vertx vertx;
    private final Clock clock;
    private Timer[] heap = new Timer[64];
    private int size;
    private double armedFor = Double.MAX_VALUE;
    private long timer = -1;

    TimerQueue(Vertx vertx, Clock clock) {
        this.vertx = vertx;
        this.clock = clock;
    }

    /** Rings the alarm once, never before this call has returned. */
    void schedule(double afterMs, Timer alarm) {
        scheduleAt(clock.now() + afterMs, alarm);
    }

    /** Rings the alarm once, at that time of the clock or as soon after as may be. */
    void scheduleAt(double due, Timer alarm) {
        alarm.due = due;
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        rise(alarm, size++);
        arm();
    }

    /** It will not ring; one that has rung or is not set stays as it is. */
    void cancel(Timer alarm) {
        if (alarm.place < 0) {
            return;
        }
        int place = alarm.place;
        alarm.place = -1;
        Timer last = heap[--size];
        heap[size] = null;
        if (last != alarm) {
            sink(last, place);
            if (heap[place] == last) {
                rise(last, place);
            }
        }
        if (heap.length > 64 && size < heap.length / 4) {
            heap = Arrays.copyOf(heap, heap.length / 2);
        }
    }

    /** How many are set. */
    int size() {
        return size;
    }

    private void rise(Timer alarm, int from) {
        int place = from;
        while (place > 0 && heap[(place - 1) / 2].due > alarm.due) {
            put(heap[(place - 1) / 2], place);
            place = (place - 1) / 2;
        }
        put(alarm, place);
    }

    private void sink(Timer alarm, int from) {
        int place = from;
        while (2 * place + 1 < size) {
            int child = earlierChild(place);
            if (heap[child].due >= alarm.due) {
                break;
            }
            put(heap[child], place);
            place = child;
        }
        put(alarm, place);
    }

    /** The child of a place that is due first; the place has a child at least. */
    private int earlierChild(int place) {
        int left = 2 * place + 1;
        int right = left + 1;
        return right < size && heap[right].due < heap[left].due ? right : left;
    }

    private void put(Timer alarm, int place) {
        heap[place] = alarm;
        alarm.place = place;
    }

    private void arm() {
        if (size == 0 || heap[0].due >= armedFor) {
            return;
        }
        if (armedFor < Double.MAX_VALUE) {
            vertx.cancelTimer(timer);
        }
        armedFor = heap[0].due;
        timer = vertx.setTimer(Math.max(1, (long) Math.ceil(armedFor - clock.now())), fired -> ring());
    }

    private void ring() {
        armedFor = Double.MAX_VALUE;
        double now = clock.now();
        try {
            while (size > 0 && heap[0].due <= now) {
                Timer next = heap[0];
                cancel(next);
                next.onExpiry();
            }
        } finally {
            // Guards all other asks' deadlines against a slip in one alarm: unarmed, none would ring again.
            arm();
        }
    }
}
