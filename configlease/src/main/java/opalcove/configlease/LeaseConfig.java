package opalcove.configlease;

/** leaseMs: how long a confirmed version may be acted on; every askMs it is confirmed; patienceMs: then another voter. */
public record LeaseConfig(long leaseMs, long askMs, long patienceMs) {
    /** All by the lease, of which a quarter is the time between two questions, and an eighth a voter's time to answer. */
    public static LeaseConfig of(long leaseMs) {
        return new LeaseConfig(leaseMs, Math.max(1, leaseMs / 4), Math.max(1, leaseMs / 8));
    }
}
