/**
 * The client of discovery: {@link opalcove.discovery.DiscoveryClient} follows the endpoint list, {@code PollSchedule}
 * determines when it calls, and {@code EndpointListResponse} is the parsed response of a call. The package has no
 * connections to backends or clients and runs on the gateway's event loop.
 */
package opalcove.discovery;
