package opalcove.lifecycle;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** The program's phases, from start to exit. They are entered in order, each once; a phase may be passed over. */
public final class Lifecycle {
    /** The named states. */
    public enum Phase {
        /** Reads its settings and learns the node list; takes nothing in yet. */
        STARTING("starting"),
        /** Takes asks in and answers them. */
        SERVING("serving"),
        /** Was told to end: still takes what comes, for as long as a front may not know yet. */
        LEAVING("leaving"),
        /** Takes no new terminals; answers what it has and closes what is idle. */
        DRAINING("draining"),
        /** Owes nothing more. */
        STOPPED("stopped");

        private final String operatorName;

        Phase(String word) {
            this.operatorName = word;
        }

        /** The phase's name for operators. */
        public String operatorName() {
            return operatorName;
        }
    }

    private final List<Consumer<Phase>> watchers = new ArrayList<>();
    private Phase phase = Phase.STARTING;

    /** Calls the watcher at each later change. */
    public void onChange(Consumer<Phase> watcher) {
        watchers.add(watcher);
    }

    /** Goes on to a later phase; going back or staying changes nothing. */
    public void enter(Phase next) {
        if (next.ordinal() <= phase.ordinal()) {
            return;
        }
        Logger.info("phase {}", next);
        phase = next;
        List.copyOf(watchers).forEach(watcher -> watcher.accept(next));
    }

    /** The phase that the program is in. */
    public Phase current() {
        return phase;
    }

    /** Whether new asks are taken in. */
    public boolean acceptsRequests() {
        return phase != Phase.STARTING && phase != Phase.STOPPED;
    }
}
