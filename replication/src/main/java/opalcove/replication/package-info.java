/**
 * The replicated configuration. Some gateways are voters: they form a Raft group that agrees on the versions of the
 * settings and the endpoint list. Every gateway holds a lease on its version. The entry points are {@link
 * opalcove.replication.ReplicatedConfigService} for the program, {@link opalcove.replication.ConfigReplica} for the
 * simulation, and {@link opalcove.replication.ReplicationClient} for commands.
 */
package opalcove.replication;
