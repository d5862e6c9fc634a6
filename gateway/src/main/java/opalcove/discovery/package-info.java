/**
 * The client of discovery: {@link opalcove.discovery.DiscoveryClient} follows the endpoint list,
 * {@code PollSchedule} says when it calls, {@code EndpointListResponse} is what a call brings. Knows no backends and no
 * clients; runs on the gateway's event loop.
 */
package opalcove.discovery;
