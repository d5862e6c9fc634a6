package opalcove.backend;

/** Whether used connections may be used again, and which of them are checked before. Used on the event loop only. */
final class ReusePolicy {
    /**
     * How long each attempt gets a connection of its own after a used one has broken under one, ms. Guards against
     * backends, and machines between, that drop idle connections: such a break may have run and says nothing of the
     * backend's health.
     */
    private static final double REUSE_SUSPENSION_MS = 10_000;
    /** How long each connection is checked before it is used again after a stray reply has come on one, ms. */
    private static final double STRAY_REPLY_CAUTION_MS = 10_000;

    private final double checkAfterIdleMs;
    private boolean suspended;
    private long suspendedSinceNanos;
    private boolean cautious;
    private long strayReplyNanos;

    /**
     * A policy without bad experiences so far.
     *
     * @param checkAfterIdleMs a connection that was idle for longer is checked before it is used again: its backend may
     *     have closed it for that. One that is used again sooner costs no such check, a read of its own
     */
    ReusePolicy(double checkAfterIdleMs) {
        this.checkAfterIdleMs = checkAfterIdleMs;
    }

    /** A used connection has broken under an attempt. */
    void suspend() {
        suspended = true;
        suspendedSinceNanos = System.nanoTime();
    }

    /** A reply has come that belongs to no attempt. */
    void strayReply() {
        cautious = true;
        strayReplyNanos = System.nanoTime();
    }

    boolean isReuseAllowed() {
        suspended &= (System.nanoTime() - suspendedSinceNanos) / 1e6 < REUSE_SUSPENSION_MS;
        return !suspended;
    }

    /** Whether the idle connection has to be checked before it is used. */
    boolean needsCheck(PooledConnection idle, long nowNanos) {
        cautious &= (nowNanos - strayReplyNanos) / 1e6 < STRAY_REPLY_CAUTION_MS;
        return cautious || idle.idleMs(nowNanos) > checkAfterIdleMs;
    }
}
