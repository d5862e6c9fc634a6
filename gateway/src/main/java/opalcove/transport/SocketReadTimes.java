package opalcove.transport;

import java.util.concurrent.TimeUnit;

/**
 * When one event loop last polled its sockets, and how long what it reads may have lain unread. All times are by {@link
 * System#nanoTime}. Owned by that loop.
 *
 * <p>A turn of the loop has two parts: it polls the sockets and reads those that are ready, one after another, and then
 * runs its tasks and timers. While it reads, what arrived at a socket further down may not have been read yet, so the
 * time of the turn before's poll holds.
 *
 * <p>What is read in a turn arrived after the turn before had polled. Where the loop slept in between it arrived just
 * now, for it ended the sleep; but not where the sleep, or the turn before it, lasted longer than it should have: then
 * the process was paused for a while, and what is read may have arrived at any time since. A pause shorter than the
 * rest of the sleep is not detected.
 */
final class SocketReadTimes {
    /** A shorter wait for sockets is not a sleep: something was ready already. */
    private static final long SLEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** A sleep that lasted so much longer than it should have shows that the process was paused. */
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Other loops may take what waited for them so much later than this one detected the end of a pause. */
    private static final long NEAR_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private long polledAt = System.nanoTime();
    private long readUpTo = polledAt;
    private long unreadSince = polledAt;
    /** When the process was last paused, as far as was detected: from the poll before until that time. */
    private long pausedSince = polledAt;

    private long pausedUntil = polledAt;
    /** Nothing was read after a pause: what is read next may have arrived since then. */
    private boolean isCarriedOver;

    private long carriedSince;
    private long pollBeganAt = polledAt;
    private long wakesAt = polledAt;

    /** The sockets are about to be polled. */
    void pollBegins() {
        pollBeganAt = System.nanoTime();
        wakesAt = pollBeganAt;
    }

    /** The loop will wait for sockets no longer than that. */
    void sleepLimited(long delayNanos) {
        wakesAt = delayNanos > Long.MAX_VALUE / 2 ? pollBeganAt + Long.MAX_VALUE / 2 : System.nanoTime() + delayNanos;
    }

    /** The sockets that are ready are known, and are read next. */
    void polled() {
        long now = System.nanoTime();
        boolean isLate = now - wakesAt >= LATE_NANOS || pollBeganAt - polledAt >= LATE_NANOS;
        if (isLate) {
            pausedSince = polledAt;
            pausedUntil = now;
        }
        boolean hasSlept = now - pollBeganAt > SLEPT_NANOS;
        unreadSince = hasSlept && !isLate ? now : polledAt;
        if (isCarriedOver) {
            unreadSince = carriedSince;
        }
        polledAt = now;
    }

    /**
     * All ready sockets have been read, so many. The end of a pause interrupts the sleep, which then ends with no
     * socket ready, though some are: the next turn reads them, and they may be as old.
     */
    void socketsRead(int handled) {
        readUpTo = polledAt;
        isCarriedOver = handled == 0 && polledAt == pausedUntil;
        carriedSince = unreadSince;
    }

    /** What had arrived by this time, at sockets that the loop reads, has been read. */
    long readUpTo() {
        return readUpTo;
    }

    /**
     * What was accepted by another loop at that time arrived no earlier than the time given here: that loop may not
     * have detected a pause.
     */
    long arrivedSince(long acceptedAt) {
        if (acceptedAt - polledAt >= LATE_NANOS) {
            // This turn has lasted long, and may be the one that was paused.
            return polledAt;
        }
        boolean isNear = acceptedAt - pausedUntil < NEAR_NANOS;
        return isNear ? Math.min(acceptedAt, pausedSince) : acceptedAt;
    }

    /** What is read in this turn, of sockets that the loop reads, arrived no earlier. */
    long unreadSince() {
        return unreadSince;
    }
}
