/**
 * Connections to backends: the pool ({@link opalcove.backend.ConnectionPool}), what it knows of one connection and of one
 * attempt, and when a used connection may be used again. The wire is a {@link opalcove.backend.Connector}'s.
 */
package opalcove.backend;
