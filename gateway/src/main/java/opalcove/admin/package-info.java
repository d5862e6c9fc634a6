/**
 * The console address: {@link opalcove.admin.AdminServer} reads one command a connection, {@code AdminCommands} executes
 * it on an {@link opalcove.admin.AdminTarget}. Runs on an event loop of its own.
 */
package opalcove.admin;
