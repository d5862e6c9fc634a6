package opalcove.core;

/**
 * The source of the endpoint list, reduced to what the start of an attempt depends on. All methods are called on the
 * event loop.
 */
public interface EndpointSource {
    /** A source that delivers each change immediately, so that the list is always current. */
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

    /** Returns false while changes are being fetched that occurred while this process was delayed. */
    boolean isCurrent();

    /**
     * Runs the action once the list is current, possibly within this call. Also runs it if the source fails to respond.
     */
    void whenCurrent(Runnable action);
}
