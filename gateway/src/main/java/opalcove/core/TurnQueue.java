package opalcove.core;

import java.util.ArrayDeque;
import org.tinylog.Logger;

/**
 * Runs events of the decision module, and the steps that it chose, one after another. Guards the module against being
 * called from within one of its own calls. Used on the event loop only.
 */
final class TurnQueue {
    private final ArrayDeque<Runnable> turns = new ArrayDeque<>();
    private boolean running;

    /** Runs the event and all turns that follow from it; where a turn is running, the event becomes the last turn. */
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
                    // Guards the other requests against a fault that one of them met; that one ends at its deadline.
                    Logger.error(e, "a turn of the decision module failed");
                }
            }
        } finally {
            running = false;
        }
    }

    /** Appends a step, which runs after the turn that is running now. */
    void append(Runnable step) {
        turns.add(step);
    }

    /** Whether a turn is running. */
    boolean isRunning() {
        return running;
    }
}
