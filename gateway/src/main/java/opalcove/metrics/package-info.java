/**
 * The metrics of the gateway: counters for INFO, StatsD lines for STATS, invariants that are checked while it runs, and
 * failures of system calls. The published name of each metric is a string that is independent of the names in the code.
 */
package opalcove.metrics;
