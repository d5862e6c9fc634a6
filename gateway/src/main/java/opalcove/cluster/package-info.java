/**
 * This process as a member of the gateways' fleet: the membership protocol on datagrams and timers, and the interface
 * of the replicated configuration, which a module of its own implements.
 */
package opalcove.cluster;
