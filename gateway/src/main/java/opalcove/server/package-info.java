/**
 * The start and the wiring of the gateway. {@link opalcove.server.GatewayServer} builds the components from a
 * {@link opalcove.server.GatewayConfig}, {@code DescriptorBudget} divides the file descriptors,
 * {@code ConfigurationApplier} applies configuration to the dispatcher, and {@link opalcove.server.GatewayStatus} is
 * the state for the admin server.
 */
package opalcove.server;
