package opalcove.backend;

/** Decides whether connections may be reused, and which of them are checked before. Used on the event loop only. */
final class ReusePolicy {
    /**
     * How long each attempt gets a new connection after a reused one has broken during an attempt, ms. Backends, and
     * machines between, may drop idle connections; an attempt on such a connection may have run, and its failure says
     * nothing about the backend's health.
     */
    private static final double REUSE_SUSPENSION_MS = 10_000;
    /** How long every connection is checked before it is reused after an unexpected reply has arrived on one, ms. */
    private static final double STRAY_REPLY_CHECK_MS = 10_000;

    private final double checkAfterIdleMs;
    private boolean suspended;
    private long suspendedSinceNanos;
    private boolean checksEveryReuse;
    private long strayReplyAtNanos;

    /**
     * Creates a policy that allows reuse.
     *
     * @param checkAfterIdleMs a connection that was idle for longer than this, ms, is checked before it is reused,
     *     because its backend may have closed it for that. Reuse after a shorter time saves the check, which costs a
     *     read
     */
    ReusePolicy(double checkAfterIdleMs) {
        this.checkAfterIdleMs = checkAfterIdleMs;
    }

    /** Called when a reused connection has broken during an attempt. */
    void suspend() {
        suspended = true;
        suspendedSinceNanos = System.nanoTime();
    }

    /** Called when a reply has arrived that belongs to no attempt. */
    void strayReplyReceived() {
        checksEveryReuse = true;
        strayReplyAtNanos = System.nanoTime();
    }

    boolean isReuseAllowed() {
        suspended &= (System.nanoTime() - suspendedSinceNanos) / 1e6 < REUSE_SUSPENSION_MS;
        return !suspended;
    }

    /** Whether the idle connection has to be checked before it is reused. */
    boolean needsCheck(PooledConnection idle, long nowNanos) {
        checksEveryReuse &= (nowNanos - strayReplyAtNanos) / 1e6 < STRAY_REPLY_CHECK_MS;
        return checksEveryReuse || idle.idleMs(nowNanos) > checkAfterIdleMs;
    }
}
