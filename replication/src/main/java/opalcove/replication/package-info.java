/**
 * The replicated configuration: versions of settings and endpoint list that the gateways agree on, by a Raft group of voters and
 * a lease of each gateway. {@link opalcove.replication.ReplicatedConfigService} is the entry point of the program, {@link
 * opalcove.replication.ConfigReplica} that of the simulation, {@link opalcove.replication.ReplicationClient} that of commands.
 */
package opalcove.replication;
