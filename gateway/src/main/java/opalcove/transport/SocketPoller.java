package opalcove.transport;

import java.util.concurrent.TimeUnit;

/**
 * When one event loop last asked its sockets what has come, on the scale of {@link System#nanoTime}. Used on that
 * loop alone.
 *
 * <p>A turn of the loop has two parts: it asks the sockets and reads those that are ready, one after another, and
 * then runs its tasks and timers. While it reads, what came to a socket further down may not have been read yet, so
 * the time holds that the turn before had asked at.
 *
 * <p>What is read in a turn came after the turn before had asked. Where the loop slept in between it came just now, for it
 * ended the sleep; but not where the sleep, or the turn before it, lasted longer than it should have: then the process stood still for a while, and
 * what is read may have come at any time since. A process that stands still for less than is left of its sleep does not see it.
 */
final class SocketPoller {
    /** A shorter wait for sockets is no sleep: something was there already. */
    private static final long SLEPT_NS = TimeUnit.MILLISECONDS.toNanos(1);
    /** A sleep that lasted so much longer than it should have shows that the process stood still. */
    private static final long LATE_NS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Other loops may come to what waited for them so much later than this one saw the end of a standstill. */
    private static final long NEAR_NS = TimeUnit.MILLISECONDS.toNanos(50);

    private long polledAt = System.nanoTime();
    private long readUpTo = polledAt;
    private long unreadSince = polledAt;
    /** When the process last stood still, as far as was seen: from the look before on, up to that time. */
    private long stoodStillSince = polledAt;

    private long stoodStillUntil = polledAt;
    /** Nothing was read after a standstill: what is read next may have come since then. */
    private boolean carries;

    private long carriedSince;
    private long askedAt = polledAt;
    private long wakesAt = polledAt;

    /** The sockets are about to be asked. */
    void requests() {
        askedAt = System.nanoTime();
        wakesAt = askedAt;
    }

    /** The loop will wait for sockets no longer than that. */
    void sleepsAtMost(long delayNanos) {
        wakesAt = delayNanos > Long.MAX_VALUE / 2 ? askedAt + Long.MAX_VALUE / 2 : System.nanoTime() + delayNanos;
    }

    /** The sockets that are ready are known, and are read next. */
    void polled() {
        long now = System.nanoTime();
        boolean late = now - wakesAt >= LATE_NS || askedAt - polledAt >= LATE_NS;
        if (late) {
            stoodStillSince = polledAt;
            stoodStillUntil = now;
        }
        boolean slept = now - askedAt > SLEPT_NS;
        unreadSince = slept && !late ? now : polledAt;
        if (carries) {
            unreadSince = carriedSince;
        }
        polledAt = now;
    }

    /**
     * All of them have been read, so many. The end of a standstill interrupts the sleep, which then ends with no socket ready,
     * though some are: the next turn reads them, and they may be as old.
     */
    void read(int handled) {
        readUpTo = polledAt;
        carries = handled == 0 && polledAt == stoodStillUntil;
        carriedSince = unreadSince;
    }

    /** What had come by this time, to sockets that the loop reads, has been read. */
    long readUpTo() {
        return readUpTo;
    }

    /** What was taken by another loop at that time came no earlier than this: that loop may not have seen a standstill. */
    long cameSince(long taken) {
        if (taken - polledAt >= LATE_NS) {
            // This turn has lasted long, and may be the one that stood still.
            return polledAt;
        }
        boolean near = taken - stoodStillUntil < NEAR_NS;
        return near ? Math.min(taken, stoodStillSince) : taken;
    }

    /** What is read in this turn, of sockets that the loop reads, came no earlier. */
    long unreadSince() {
        return unreadSince;
    }
}
