/**
 * The control service as it runs: gRPC server, streams, load reports, endpoint file and status page, with all state on one
 * thread. What proxies see is decided in {@link opalcove.control.cluster}, what a stream is sent in {@link opalcove.control.xds}.
 */
package opalcove.control.server;
