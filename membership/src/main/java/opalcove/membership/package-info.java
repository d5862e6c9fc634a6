/** Membership among gateways: the decisions of the SWIM protocol, free of I/O and of clocks. Stands on the JDK alone. */
package opalcove.membership;
