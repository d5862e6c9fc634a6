package opalcove.lifecycle;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * The phases of the process, from start to exit. They are entered in order and at most once each; a phase may be
 * skipped. Must be used on the event loop only.
 */
public final class Lifecycle {
    /** The phases, in the order in which they are entered. */
    public enum Phase {
        /** The process reads its settings and the endpoint list and accepts nothing yet. */
        STARTING("starting"),
        /** The process accepts requests and responds to them. */
        SERVING("serving"),
        /** The process has received SIGTERM but still accepts clients while a load balancer may not know of it yet. */
        LEAVING("leaving"),
        /** The process accepts no new clients, responds to open requests and closes idle connections. */
        DRAINING("draining"),
        /** All requests have their responses. */
        STOPPED("stopped");

        private final String displayName;

        Phase(String displayName) {
            this.displayName = displayName;
        }

        /** Returns the name of the phase in replies to administrators. */
        public String displayName() {
            return displayName;
        }
    }

    private final List<Consumer<Phase>> listeners = new ArrayList<>();
    private Phase phase = Phase.STARTING;

    /** Registers a listener that is called at each change from now on. */
    public void onChange(Consumer<Phase> listener) {
        listeners.add(listener);
    }

    /** Enters a later phase; has no effect for the current or an earlier phase. */
    public void enter(Phase next) {
        if (next.ordinal() <= phase.ordinal()) {
            return;
        }
        Logger.info("phase {}", next);
        phase = next;
        List.copyOf(listeners).forEach(listener -> listener.accept(next));
    }

    /** Returns the current phase. */
    public Phase current() {
        return phase;
    }

    /** Returns whether new requests are accepted. */
    public boolean acceptsRequests() {
        return phase != Phase.STARTING && phase != Phase.STOPPED;
    }
}
