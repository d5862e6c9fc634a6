package opalcove.core;

import java.util.ArrayDeque;
import org.tinylog.Logger;

/**
 * Runs events of the decision module, and the steps that it chose, one after another, so that the module is never
 * called from within one of its own calls. Used on the event loop only.
 */
final class SerialTaskQueue {
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private boolean running;

    /** Runs the task and all tasks that it appends. If a task is already running, appends this one instead. */
    void run(Runnable task) {
        tasks.add(task);
        if (running) {
            return;
        }
        running = true;
        try {
            for (Runnable next = tasks.poll(); next != null; next = tasks.poll()) {
                try {
                    next.run();
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
    void append(Runnable task) {
        tasks.add(task);
    }

    /** Whether a task is running. */
    boolean isRunning() {
        return running;
    }
}
