package opalcove.core;

import java.util.function.Consumer;
import opalcove.config.Backend;

/** A transport for tests that only start attempts; its other methods do nothing. */
public abstract class NoOpBackendTransport implements BackendTransport {
    @Override
    public void checkReachable(Backend backend, Consumer<Boolean> reached) {}

    @Override
    public void retire(Backend backend) {}

    @Override
    public int openConnections() {
        return 0;
    }

    @Override
    public int idleConnections() {
        return 0;
    }
}
