/**
 * The lease of a gateway on the version of its configuration, and the log of versions that the voters agree on:
 * decisions alone, without I/O and without a clock. Depends on the JDK alone. The replication of the log among the
 * voters is in {@code opalcove.replication}.
 */
package opalcove.configlease;
