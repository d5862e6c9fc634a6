package opalcove.lifecycle;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * The program's phases, from start to exit. They are entered in order, each once; a phase may be skipped. Used on the
 * event loop only.
 */
public final class Lifecycle {
    /** The phases, in their order. */
    public enum Phase {
        /** Reads its settings and the endpoint list; accepts nothing yet. */
        STARTING("starting"),
        /** Accepts requests and answers them. */
        SERVING("serving"),
        /** Has received SIGTERM: still accepts what comes, for as long as a load balancer may not know yet. */
        LEAVING("leaving"),
        /** Accepts no new clients; answers what it has and closes idle connections. */
        DRAINING("draining"),
        /** Owes nothing more. */
        STOPPED("stopped");

        private final String displayName;

        Phase(String displayName) {
            this.displayName = displayName;
        }

        /** The phase's name for operators. */
        public String displayName() {
            return displayName;
        }
    }

    private final List<Consumer<Phase>> listeners = new ArrayList<>();
    private Phase phase = Phase.STARTING;

    /** Calls the listener at each later change. */
    public void onChange(Consumer<Phase> listener) {
        listeners.add(listener);
    }

    /** Goes on to a later phase; going back or staying changes nothing. */
    public void enter(Phase next) {
        if (next.ordinal() <= phase.ordinal()) {
            return;
        }
        Logger.info("phase {}", next);
        phase = next;
        List.copyOf(listeners).forEach(listener -> listener.accept(next));
    }

    /** The phase that the program is in. */
    public Phase current() {
        return phase;
    }

    /** Whether new requests are accepted. */
    public boolean acceptsRequests() {
        return phase != Phase.STARTING && phase != Phase.STOPPED;
    }
}
