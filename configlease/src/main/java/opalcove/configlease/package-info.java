/**
 * The lease that a gateway holds on its configuration version, and the log of versions that the voters agree on. The
 * package contains only the decision logic: it does no I/O, reads no clock and depends on the JDK alone. The package
 * {@code opalcove.replication} replicates the log among the voters.
 */
package opalcove.configlease;
