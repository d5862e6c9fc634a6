package opalcove.configlease;

/**
 * The durations that govern a configuration lease, all in ms.
 *
 * @param leaseMs how long the complete version stays in effect after the request that confirmed it
 * @param renewPeriodMs the time from one request that renews the lease to the next
 * @param responseTimeoutMs how long a voter may take to respond before the next voter gets the request
 */
public record LeaseConfig(long leaseMs, long renewPeriodMs, long responseTimeoutMs) {
    /**
     * Returns the default durations for a lease of that length: a renewal in each quarter of the lease, and a response
     * timeout of an eighth of the lease, each at least 1 ms.
     */
    public static LeaseConfig of(long leaseMs) {
        return new LeaseConfig(leaseMs, Math.max(1, leaseMs / 4), Math.max(1, leaseMs / 8));
    }
}
