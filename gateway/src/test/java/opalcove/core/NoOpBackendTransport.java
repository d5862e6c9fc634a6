package opalcove.core;

import java.util.function.Consumer;
import opalcove.config.Backend;

/** Links of a test, of which only what an attempt does matters. */
public abstract class NoOpBackendTransport implements BackendTransport {
    @Override
    public void probe(Backend backend, Consumer<Boolean> reached) {}

    @Override
    public void forget(Backend backend) {}

    @Override
    public int open() {
        return 0;
    }

    @Override
    public int resting() {
        return 0;
    }
}
