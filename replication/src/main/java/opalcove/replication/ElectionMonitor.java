package opalcove.replication;

import io.microraft.RaftRole;
import io.microraft.report.RaftNodeReport;

/**
 * Detects a voter that still follows a leader from which it no longer receives heartbeats. MicroRaft 0.7 does not
 * always start an election then: a voter that finds the leader of its own term during a pre-vote starts no further
 * pre-vote in that term and continues to report that leader. Voters that can reach each other may then elect no leader.
 * Not thread-safe; owned by its voter's thread.
 */
final class ElectionMonitor {
    /** The node checks for a lost leader once per heartbeat period, so one check may run before the node's own. */
    private static final int MAX_OVERDUE_CHECKS = 2;

    private final long heartbeatTimeoutMs;
    private int overdueChecks;

    ElectionMonitor(long heartbeatTimeoutMs) {
        this.heartbeatTimeoutMs = heartbeatTimeoutMs;
    }

    /** Whether the voter still reports a leader that it has lost. Must be called once per heartbeat period. */
    boolean isStalled(RaftNodeReport report, long nowMs) {
        boolean hasLeader =
                report.getRole() == RaftRole.FOLLOWER && report.getTerm().getLeaderEndpoint() != null;
        boolean isOverdue = report.getLeaderHeartbeatTimestamp()
                .map(heartbeatMs -> nowMs - heartbeatMs > heartbeatTimeoutMs)
                .orElse(false);
        overdueChecks = hasLeader && isOverdue ? overdueChecks + 1 : 0;
        if (overdueChecks < MAX_OVERDUE_CHECKS) {
            return false;
        }
        overdueChecks = 0;
        return true;
    }
}
