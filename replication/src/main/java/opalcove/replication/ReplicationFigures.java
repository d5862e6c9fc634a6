package opalcove.replication;

import opalcove.configlease.ConfigLease;
import opalcove.configlease.LeaseState;
import opalcove.recovery.RecoveryPlan;

/** The figures of the replication and of the recovery, one per line, in the format of the STATS command. */
final class ReplicationFigures {
    private static final char GAUGE = 'g';
    private static final char COUNTER = 'c';

    private final StringBuilder lines = new StringBuilder(256);

    private ReplicationFigures() {}

    /** Returns all figures except the remaining time of the lease; recovery is null without a recovery. */
    static String lines(
            ConfigReplica replica, boolean isStateRejected, long unreadableDatagrams, RecoveryTracker recovery) {
        ReplicationFigures figures = new ReplicationFigures();
        LeaseState state = replica.lease().state();
        ConfigLease.Counts counts = replica.lease().counts();
        figures.add("agreement.version", state.version(), GAUGE);
        figures.add("agreement.behind", state.mode() == LeaseState.Mode.FULL ? 0 : 1, GAUGE);
        figures.add("agreement.voter", replica.isVoter() ? 1 : 0, GAUGE);
        figures.add("agreement.leader", replica.isLeader() ? 1 : 0, GAUGE);
        figures.add("agreement.voter_restarts", replica.voterRestarts(), COUNTER);
        figures.add("agreement.state_refused", isStateRejected ? 1 : 0, COUNTER);
        figures.add("agreement.asked", counts.requested(), COUNTER);
        figures.add("agreement.confirmed", counts.confirmed(), COUNTER);
        figures.add("agreement.expired", counts.expired(), COUNTER);
        figures.add("agreement.adopted", counts.adopted(), COUNTER);
        figures.add("agreement.unreadable", unreadableDatagrams, COUNTER);
        if (recovery != null && recovery.plan() != null) {
            RecoveryPlan plan = recovery.plan();
            figures.add("recovery.phase", plan.phase().code(), GAUGE);
            figures.add("recovery.snapshot_age_ms", recovery.snapshotAgeMs(), GAUGE);
            figures.add("recovery.trusted", plan.trusted().size(), GAUGE);
            figures.add("recovery.refused", plan.refused().size(), GAUGE);
        }
        return figures.lines.toString();
    }

    /** Returns the line for the remaining time of the lease, in ms. */
    static String leaseRemaining(long remainingMs) {
        return "agreement.lease_left_ms:" + remainingMs + "|g\n";
    }

    private void add(String key, long value, char kind) {
        lines.append(key).append(':').append(value).append('|').append(kind).append('\n');
    }
}
