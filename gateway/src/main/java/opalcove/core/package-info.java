/**
 * The core of the gateway, which handles a request from its arrival to its one final response. {@link
 * opalcove.core.RequestDispatcher} is the entry; {@link opalcove.core.RequestLifecycle} shows the steps of a request
 * from top to bottom; {@link opalcove.core.AttemptGuard} decides what may be sent, repeated or refused. The core is
 * independent of the wire protocol: front ends dispatch requests to it, and a {@link opalcove.core.BackendTransport}
 * carries the attempts. All of it runs on one event loop.
 */
package opalcove.core;
