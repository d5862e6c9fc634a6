package opalcove.core;

import java.util.function.Consumer;
import opalcove.config.Backend;

/** Links of a test, of which only what an attempt does matters. */
public abstract class NoOpBackendTransport implements BackendTransport {
    @Override
    public void probe(Backend node, Consumer<Boolean> reached) {}

    @Override
    public void forget(Backend node) {}

    @Override
    public int open() {
        return 0;
    }

    @Override
    public int resting() {
        return 0;
    }
}
