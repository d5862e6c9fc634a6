/**
 * Membership of the gateways' fleet: the decisions of the SWIM protocol, without I/O and without a clock. {@link
 * opalcove.membership.FailureDetector} is the entry point; messages go in, messages and changes come out through its
 * host. Depends on the JDK alone.
 */
package opalcove.membership;
