/**
 * The running control service: gRPC server, streams, load reports, endpoint file and status page, with all state on one
 * thread. {@link opalcove.control.cluster} computes what proxies see, and {@link opalcove.control.xds} what is sent on
 * a stream.
 */
package opalcove.control.server;
