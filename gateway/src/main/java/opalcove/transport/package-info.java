/**
 * Sockets below the protocols: Vert.x's NIO transport with accept limits, shared ports and the times at which event
 * loops read ({@link opalcove.transport.CoarseWaitTransport}), descriptor counts, and the libraries' logging. Knows
 * nothing of requests.
 */
package opalcove.transport;
