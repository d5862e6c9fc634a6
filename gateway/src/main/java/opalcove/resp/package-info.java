/**
 * Implements RESP2 on both sides of the gateway. {@link opalcove.resp.RespServer} serves clients:
 * {@code ClientConnection} reads commands, {@code CommandHandler} executes them, and {@code ResponsePipeline} writes the
 * responses in the order of the commands. {@link opalcove.resp.RespConnector} opens connections to backends. All of it
 * runs on one event loop, and decoding and encoding allocate no objects except the request itself.
 */
package opalcove.resp;
