package opalcove.replication;

import io.microraft.RaftRole;
import io.microraft.report.RaftNodeReport;

/**
 * Watches that a voter gives up a leader that it no longer hears from. MicroRaft 0.7 does not always: a voter that finds the
 * leader of its own term in the middle of a pre-vote starts no further pre-vote in that term and goes on naming that leader,
 * so voters that can reach each other may elect nobody. Not thread-safe; owned by its voter's thread.
 */
final class ElectionMonitor {
    /** The node looks for a lost leader once in a heartbeat period, so one check may come before it has. */
    private static final int MAX_OVERDUE_CHECKS = 2;

    private final long heartbeatTimeoutMs;
    private int overdueChecks;

    ElectionMonitor(long heartbeatTimeoutMs) {
        this.heartbeatTimeoutMs = heartbeatTimeoutMs;
    }

    /** To be called once in a heartbeat period: whether the voter goes on naming a leader that it has lost. */
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
