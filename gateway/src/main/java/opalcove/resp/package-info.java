/**
 * RESP2 on both sides of the gateway. {@link opalcove.resp.RespServer} serves clients: a {@code ClientConnection} reads
 * commands, {@code CommandHandler} executes them, {@code ResponsePipeline} writes the responses in the order of the
 * commands. {@link opalcove.resp.RespConnector} opens the connections to backends. All of it runs on one event loop,
 * and decoding and encoding allocate no objects beyond the request itself.
 */
package opalcove.resp;
