/**
 * Connections to backends: the pool ({@link opalcove.backend.ConnectionPool}), the state of each connection and each
 * attempt, and the rules for reusing a connection. The wire protocol is implemented by a {@link
 * opalcove.backend.Connector}.
 */
package opalcove.backend;
