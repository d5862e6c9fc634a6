package opalcove.recovery;

/**
 * Times of the recovery after a start, in ms.
 *
 * @param votersTimeoutMs how long to wait for a voter to report the version in force
 * @param membersTimeoutMs how long to wait for the members in the snapshot
 * @param outageWindowMs a member that started more than this time before the gateway counts as still running during the
 *     gateway's outage
 * @param burstRestrictionMs how long bursts are restricted after the fleet lost power
 */
public record RecoveryConfig(
        long votersTimeoutMs, long membersTimeoutMs, long outageWindowMs, long burstRestrictionMs) {
    /** Returns the default times; bursts are restricted for two meter periods, but for at least 1 s. */
    public static RecoveryConfig of(long meterPeriodMs) {
        long votersTimeoutMs = 10_000;
        long membersTimeoutMs = 1500;
        long outageWindowMs = 30_000;
        long burstRestrictionMs = Math.max(1000, 2 * meterPeriodMs);
        return new RecoveryConfig(votersTimeoutMs, membersTimeoutMs, outageWindowMs, burstRestrictionMs);
    }
}
