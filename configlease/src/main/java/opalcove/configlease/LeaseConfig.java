package opalcove.configlease;

/**
 * The times of a lease, in ms.
 *
 * @param leaseMs how long a confirmed version may be acted on in full
 * @param renewPeriodMs how often the version is confirmed
 * @param responseTimeoutMs how long one voter may take to respond before the next one is requested
 */
public record LeaseConfig(long leaseMs, long renewPeriodMs, long responseTimeoutMs) {
    /** The default times for a lease: a renewal each quarter of it, an eighth of it for a response. */
    public static LeaseConfig of(long leaseMs) {
        return new LeaseConfig(leaseMs, Math.max(1, leaseMs / 4), Math.max(1, leaseMs / 8));
    }
}
