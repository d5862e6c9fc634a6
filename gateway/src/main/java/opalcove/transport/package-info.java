/**
 * The socket layer below the protocols: Vert.x's NIO transport with accept limits, shared ports and the times at which
 * event loops read ({@link opalcove.transport.CoarseWaitTransport}), descriptor counts, and the logging of the
 * libraries. It does not depend on requests.
 */
package opalcove.transport;
