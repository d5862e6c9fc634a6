/**
 * The figures of the gateway: counters for INFO, StatsD lines for STATS, invariants that are checked while it runs, and
 * failures of system calls. Each figure's outside name is a text of its own, apart from the names in the code.
 */
package opalcove.metrics;
