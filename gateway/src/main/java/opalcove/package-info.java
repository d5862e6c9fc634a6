/**
 * The platform's program: {@code serve} starts the gateway, {@code adapter} runs the decision module on the simulator's wire. The
 * packages below hold the parts; {@code docs/architecture.md} describes them.
 */
package opalcove;
