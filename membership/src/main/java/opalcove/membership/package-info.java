/**
 * Membership of the gateways in a fleet by the SWIM protocol, without I/O and without a clock. {@link
 * opalcove.membership.FailureDetector} is the entry point: it receives messages, and sends messages and reports changes
 * of state through its host. Depends only on the JDK.
 */
package opalcove.membership;
