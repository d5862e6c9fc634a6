/**
 * This process as a member of the gateways' fleet: the membership protocol on datagrams and timers. The interface of
 * the replicated configuration is {@link opalcove.config.ReplicatedConfig}, which a module of its own implements.
 */
package opalcove.cluster;
