/**
 * The gateway's start and its wiring: {@link opalcove.server.GatewayServer} builds the parts from a
 * {@link opalcove.server.GatewayConfig}, {@code DescriptorBudget} divides the descriptors, {@code ConfigurationApplier}
 * brings configuration to the dispatcher, and {@link opalcove.server.GatewayStatus} is what administrators see.
 */
package opalcove.server;
