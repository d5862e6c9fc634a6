/**
 * The xDS protocol (API v3) as state without I/O, threads or clocks: resources and their versions, immutable snapshots of them,
 * and for each stream what its client subscribes to, was sent and has acknowledged.
 */
package opalcove.control.xds;
