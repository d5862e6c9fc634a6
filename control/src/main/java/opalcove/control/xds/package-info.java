/**
 * The state of the xDS protocol (API v3), without I/O, threads or clocks: resources and their versions, immutable
 * snapshots of resources, and for each stream the client's subscriptions, the versions sent and the acknowledgements
 * received.
 */
package opalcove.control.xds;
