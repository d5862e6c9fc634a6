package opalcove.replication;

import java.util.concurrent.atomic.AtomicBoolean;
import opalcove.config.ReplicatedConfig.EffectiveConfig;

/**
 * The end of the lease as the gateway's thread sees it, which may come to that end a moment before the lease's own thread
 * or while that thread is renewing the lease. May be used on any thread.
 */
final class LeaseExpiry {
    /** The end of a lease that cannot expire. */
    static final long NEVER = Long.MAX_VALUE;

    private final AtomicBoolean isTaken = new AtomicBoolean();
    private volatile EffectiveConfig onExpiry;
    private volatile long expiresAtMs = NEVER;

    /** Sets what to act on once the lease has expired. */
    void setOnExpiry(EffectiveConfig config) {
        onExpiry = config;
    }

    /** When the lease expires, in ms of the monotonic clock; {@link #NEVER} if it cannot. */
    long expiresAtMs() {
        return expiresAtMs;
    }

    /** What to act on from now on; null if the lease has not expired. */
    EffectiveConfig takeIfExpired(long nowMs) {
        if (nowMs < expiresAtMs) {
            return null;
        }
        isTaken.set(true);
        return onExpiry;
    }

    /**
     * Sets when the lease expires. Returns whether the configuration on expiry has been taken since the last call, so that
     * the effective one must be activated again: guards against a gateway that stays strict under a renewed lease.
     */
    boolean renew(long newExpiresAtMs) {
        expiresAtMs = newExpiresAtMs;
        return isTaken.getAndSet(false);
    }
}
