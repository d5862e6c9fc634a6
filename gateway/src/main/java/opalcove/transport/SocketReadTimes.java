package opalcove.transport;

import java.util.concurrent.TimeUnit;

/**
 * Records when one event loop last polled its sockets, and since when the data that it reads may have lain unread. All
 * times are {@link System#nanoTime} values. Owned by that loop.
 *
 * <p>A turn of the loop has two parts: it polls the sockets and reads those that are ready, one after another, and then
 * runs its tasks and timers. While it reads, data at a later socket may not have been read yet, so that only data that
 * had arrived by the previous turn's poll is certain to have been read.
 *
 * <p>Data that is read in a turn arrived after the poll of the previous turn. If the loop slept in between, the data
 * arrived just now, because it ended the sleep. This does not hold if the sleep or the previous turn lasted longer than
 * it should have: the process was then paused for some time, and the data may have arrived at any time since the
 * previous poll. A pause that is shorter than the rest of the sleep is not detected.
 */
final class SocketReadTimes {
    /** A shorter wait for sockets does not count as a sleep, because a socket was already ready. */
    private static final long MIN_SLEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** A sleep or a turn that exceeds its expected duration by this time shows that the process was paused. */
    private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /**
     * Other loops may accept connections that waited for them until this time after this loop detected the end of a
     * pause.
     */
    private static final long PAUSE_END_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private long polledAtNanos = System.nanoTime();
    private long readUpTo = polledAtNanos;
    private long unreadSince = polledAtNanos;
    /** The begin of the last detected pause of the process, which is the time of the poll before it. */
    private long pausedSince = polledAtNanos;

    /** The time at which the last pause was detected. */
    private long pausedUntil = polledAtNanos;
    /** Whether nothing was read after a pause, so that data that is read next may have arrived since the pause. */
    private boolean isCarriedOver;

    private long carriedSince;
    private long pollBeganAtNanos = polledAtNanos;
    private long wakesAtNanos = polledAtNanos;

    /** Called before the sockets are polled. */
    void pollBegins() {
        pollBeganAtNanos = System.nanoTime();
        wakesAtNanos = pollBeganAtNanos;
    }

    /** Called with the longest time, in ns, for which the loop will wait for sockets. */
    void sleepLimited(long delayNanos) {
        wakesAtNanos = delayNanos > Long.MAX_VALUE / 2
                ? pollBeganAtNanos + Long.MAX_VALUE / 2
                : System.nanoTime() + delayNanos;
    }

    /** Called after the poll, before the ready sockets are read. */
    void polled() {
        long now = System.nanoTime();
        boolean isLate = now - wakesAtNanos >= PAUSE_THRESHOLD_NANOS
                || pollBeganAtNanos - polledAtNanos >= PAUSE_THRESHOLD_NANOS;
        if (isLate) {
            pausedSince = polledAtNanos;
            pausedUntil = now;
        }
        boolean hasSlept = now - pollBeganAtNanos > MIN_SLEEP_NANOS;
        unreadSince = hasSlept && !isLate ? now : polledAtNanos;
        if (isCarriedOver) {
            unreadSince = carriedSince;
        }
        polledAtNanos = now;
    }

    /**
     * Called after the ready sockets were read. The end of a pause may interrupt the sleep and end it with no socket
     * reported as ready, although some are. The next turn then reads them, and their data may be as old as the pause.
     *
     * @param handled the number of sockets that were read
     */
    void socketsRead(int handled) {
        readUpTo = polledAtNanos;
        isCarriedOver = handled == 0 && polledAtNanos == pausedUntil;
        carriedSince = unreadSince;
    }

    /** Returns the time up to which all data that arrived at this loop's sockets has been read. */
    long readUpTo() {
        return readUpTo;
    }

    /**
     * Returns the earliest time at which a connection that another loop accepted at the given time may have arrived;
     * that loop may not have detected a pause which this loop detected.
     */
    long arrivedSince(long acceptedAtNanos) {
        if (acceptedAtNanos - polledAtNanos >= PAUSE_THRESHOLD_NANOS) {
            // This turn has lasted long, and the process may have been paused during it.
            return polledAtNanos;
        }
        boolean isSoonAfterPause = acceptedAtNanos - pausedUntil < PAUSE_END_TOLERANCE_NANOS;
        return isSoonAfterPause ? Math.min(acceptedAtNanos, pausedSince) : acceptedAtNanos;
    }

    /** Returns the earliest time at which data that this loop reads in this turn may have arrived. */
    long unreadSince() {
        return unreadSince;
    }
}
