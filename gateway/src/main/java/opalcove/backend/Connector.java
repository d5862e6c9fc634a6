package opalcove.backend;

import io.vertx.core.Future;

/** Opens connections over one wire. */
public interface Connector {
    /**
     * Succeeds with a connection that is ready for an attempt, or fails within the settings' time for connecting.
     *
     * @throws opalcove.config.InvalidConfigurationException if the address is none
     */
    Future<BackendConnection> connect(String address);
}
