/**
 * The gateway's program: {@code serve} starts the gateway, {@code adapter} runs the decision module for the simulator.
 * The packages below hold the components; {@code docs/architecture.md} describes them.
 */
package opalcove;
