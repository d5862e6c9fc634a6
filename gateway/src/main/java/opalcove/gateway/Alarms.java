package opalcove.gateway;

import io.vertx.core.Vertx;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Many alarms on one timer of Vert.x. Nearly all are cancelled before they are due; here that costs next to nothing,
 * and the event loop is woken only for those that are not.
 */
final class Alarms {
    /** An alarm that was set. */
    static final class Alarm {
        private final double due;
        private Runnable action;

        private Alarm(double due, Runnable action) {
            this.due = due;
            this.action = action;
        }

        /** It will not go off; what it held is let go at once. */
        void cancel() {
            action = null;
        }
    }

    private final Vertx vertx;
    private final Clock clock;
    private final PriorityQueue<Alarm> queue = new PriorityQueue<>(Comparator.comparingDouble(alarm -> alarm.due));
    private double armedFor = Double.MAX_VALUE;
    private long timer = -1;

    Alarms(Vertx vertx, Clock clock) {
        this.vertx = vertx;
        this.clock = clock;
    }

    /** Runs the action once, never before this call has returned. */
    Alarm set(double afterMs, Runnable action) {
        Alarm alarm = new Alarm(clock.now() + afterMs, action);
        queue.add(alarm);
        arm();
        return alarm;
    }

    private void arm() {
        while (!queue.isEmpty() && queue.peek().action == null) {
            queue.poll();
        }
        if (queue.isEmpty() || queue.peek().due >= armedFor) {
            return;
        }
        if (armedFor < Double.MAX_VALUE) {
            vertx.cancelTimer(timer);
        }
        armedFor = queue.peek().due;
        timer = vertx.setTimer(Math.max(1, (long) Math.ceil(armedFor - clock.now())), fired -> ring());
    }

    private void ring() {
        armedFor = Double.MAX_VALUE;
        double now = clock.now();
        while (!queue.isEmpty() && (queue.peek().action == null || queue.peek().due <= now)) {
            Runnable action = queue.poll().action;
            if (action != null) {
                action.run();
            }
        }
        arm();
    }
}
