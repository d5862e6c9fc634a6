package opalcove.core;

import java.util.ArrayDeque;
import org.tinylog.Logger;

/**
 * Runs events of the decision module, and the steps that it chose, one after another, so that the module is never
 * called from within one of its own calls. Used on the event loop only.
 */
final class TurnQueue {
    private final ArrayDeque<Runnable> turns = new ArrayDeque<>();
    private boolean running;

    /** Runs the task and all tasks that it appends. If a task is already running, appends this one instead. */
    void run(Runnable event) {
        turns.add(event);
        if (running) {
            return;
        }
        running = true;
        try {
            for (Runnable turn = turns.poll(); turn != null; turn = turns.poll()) {
                try {
                    turn.run();
                } catch (RuntimeException e) {
                    // A fault in one request must not stop the others; the faulty request ends at its deadline.
                    Logger.error(e, "a task of the decision module failed");
                }
            }
        } finally {
            running = false;
        }
    }

    /** Appends a task, which runs after the one that is running now. */
    void append(Runnable step) {
        turns.add(step);
    }

    /** Whether a task is running. */
    boolean isRunning() {
        return running;
    }
}
