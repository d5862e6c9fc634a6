package opalcove.replication;

import java.util.concurrent.atomic.AtomicBoolean;
import opalcove.config.ReplicatedConfig.EffectiveConfig;

/**
 * Publishes the end of the lease to the gateway's thread. That thread may reach the end shortly before the lease's own
 * thread does, or while that thread renews the lease. May be used on any thread.
 */
final class LeaseExpiry {
    /** The time of expiry if the lease cannot expire. */
    static final long NEVER = Long.MAX_VALUE;

    private final AtomicBoolean isTaken = new AtomicBoolean();
    private volatile EffectiveConfig onExpiry;
    private volatile long expiresAtMs = NEVER;

    /** Sets the configuration that is in effect once the lease has expired. */
    void setOnExpiry(EffectiveConfig config) {
        onExpiry = config;
    }

    /** Returns when the lease expires, in ms of the monotonic clock; {@link #NEVER} if it cannot expire. */
    long expiresAtMs() {
        return expiresAtMs;
    }

    /** Returns the configuration in effect from now on; null if the lease has not expired. */
    EffectiveConfig takeIfExpired(long nowMs) {
        if (nowMs < expiresAtMs) {
            return null;
        }
        isTaken.set(true);
        return onExpiry;
    }

    /**
     * Sets when the lease expires. Returns whether the configuration for the expiry has been taken since the last call.
     * The caller must then activate the effective configuration again; otherwise the gateway would stay strict under a
     * renewed lease.
     */
    boolean renew(long newExpiresAtMs) {
        expiresAtMs = newExpiresAtMs;
        return isTaken.getAndSet(false);
    }
}
