package opalcove.core;

/**
 * Where the endpoint list comes from, as far as sending an attempt depends on it. All calls are made on the event
 * loop.
 */
public interface EndpointSource {
    /** A source that delivers each change before anything else is done. */
    EndpointSource ALWAYS_CURRENT = new EndpointSource() {
        @Override
        public boolean isCurrent() {
            return true;
        }

        @Override
        public void whenCurrent(Runnable action) {
            action.run();
        }
    };

    /** False while changes of the time in which this process was held up are being fetched. */
    boolean isCurrent();

    /** Runs the action once the list is current, which may be now; also where the source fails to answer. */
    void whenCurrent(Runnable action);
}
