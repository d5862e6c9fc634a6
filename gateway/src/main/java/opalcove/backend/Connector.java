package opalcove.backend;

import io.vertx.core.Future;

/** Opens connections over one wire protocol. */
public interface Connector {
    /**
     * Succeeds with a connection that is ready for an attempt, or fails within the connect timeout of the settings.
     *
     * @throws opalcove.config.InvalidConfigurationException if the address is not valid
     */
    Future<BackendConnection> connect(String address);
}
