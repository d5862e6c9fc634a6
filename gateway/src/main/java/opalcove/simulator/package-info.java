/**
 * The adapter for the simulator: it runs the decision modules of many gateways on batches of events that it reads from
 * standard input, and writes their actions to standard output.
 */
package opalcove.simulator;
