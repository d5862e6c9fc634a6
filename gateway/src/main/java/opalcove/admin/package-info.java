/**
 * The admin console: {@link opalcove.admin.AdminServer} reads one command per connection, and {@code AdminCommands}
 * executes it on an {@link opalcove.admin.AdminTarget}. The package runs on an event loop of its own.
 */
package opalcove.admin;
