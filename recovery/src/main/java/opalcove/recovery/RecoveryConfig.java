package opalcove.recovery;

/**
 * The times of the recovery after a start, in ms.
 *
 * @param votersTimeoutMs how long to wait for the voters to name the version in force
 * @param membersTimeoutMs how long to wait for the members known from before
 * @param outageWindowMs members whose processes started within this time of each other are taken to have lost power
 *     together
 * @param quotaHoldMs how long bursts are held down after the fleet lost power
 */
public record RecoveryConfig(long votersTimeoutMs, long membersTimeoutMs, long outageWindowMs, long quotaHoldMs) {
    /** The default times; quotas are held for two periods of the meter. */
    public static RecoveryConfig of(long meterPeriodMs) {
        return new RecoveryConfig(10_000, 1500, 30_000, Math.max(1000, 2 * meterPeriodMs));
    }
}
