package opalcove.recovery;

/**
 * The times of the recovery after a start, in ms.
 *
 * @param votersTimeoutMs how long to wait for the voters to name the version in force
 * @param membersTimeoutMs how long to wait for the members known from before
 * @param outageWindowMs a member that started longer than this before the gateway kept running while the gateway was down
 * @param quotaHoldMs how long bursts are restricted after the fleet lost power
 */
public record RecoveryConfig(long votersTimeoutMs, long membersTimeoutMs, long outageWindowMs, long quotaHoldMs) {
    /** The default times; quotas are restricted for two periods of the meter. */
    public static RecoveryConfig of(long meterPeriodMs) {
        long votersTimeoutMs = 10_000;
        long membersTimeoutMs = 1500;
        long outageWindowMs = 30_000;
        long quotaHoldMs = Math.max(1000, 2 * meterPeriodMs);
        return new RecoveryConfig(votersTimeoutMs, membersTimeoutMs, outageWindowMs, quotaHoldMs);
    }
}
