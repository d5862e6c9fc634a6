/**
 * The core of the gateway: a request from its acceptance to its one final response. {@link
 * opalcove.core.RequestDispatcher} is the entry; {@link opalcove.core.RequestLifecycle} reads from top to bottom what
 * happens to a request; {@link opalcove.core.AttemptGuard} decides what may be sent, repeated or refused. The core knows
 * no wire: front ends hand requests in, a {@link opalcove.core.BackendTransport} carries attempts. All of it runs on one
 * event loop.
 */
package opalcove.core;
