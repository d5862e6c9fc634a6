package opalcove.transport;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Since when what a loop reads may have lain unread, by what the loop has seen of its own time. */
public class SocketReadTimesTest {
    private static final long LATE_MS = 60;
    private static final long SLEEP_MS = 30;

    private final SocketReadTimes times = new SocketReadTimes();

    /** One turn: polls, sleeps for so long, though it should have been no longer than the limit, and reads so many sockets. */
    private void turn(long maxSleepMs, long waitsMs, int handled) throws Exception {
        times.pollBegins();
        times.sleepLimited(TimeUnit.MILLISECONDS.toNanos(maxSleepMs));
        TimeUnit.MILLISECONDS.sleep(waitsMs);
        times.polled();
        times.socketsRead(handled);
    }

    private void assertUnreadForAtLeast(long ms) {
        long unread = System.nanoTime() - times.unreadSince();
        assertTrue(unread >= TimeUnit.MILLISECONDS.toNanos(ms), unread + " ns");
    }

    @Test
    public void whatEndsASleepCameAfterItsBegin() throws Exception {
        turn(0, 0, 1);
        long before = System.nanoTime();
        turn(10_000, SLEEP_MS, 1);
        assertTrue(times.unreadSince() - before >= TimeUnit.MILLISECONDS.toNanos(SLEEP_MS), "it came just now");
    }

    @Test
    public void whatIsReadAfterASleepThatWasTooLongMayHaveComeAtAnyTimeOfIt() throws Exception {
        turn(0, 0, 1);
        turn(1, LATE_MS, 1);
        assertUnreadForAtLeast(LATE_MS);
    }

    @Test
    public void aTurnThatReadsNothingAfterAPauseCarriesItOver() throws Exception {
        turn(0, 0, 1);
        turn(1, LATE_MS, 0);
        turn(0, 0, 1);
        assertUnreadForAtLeast(LATE_MS);
        long before = System.nanoTime();
        turn(0, 0, 1);
        turn(0, 0, 1);
        assertTrue(times.unreadSince() - before >= 0, "once it is read it is over");
    }

    @Test
    public void lateTurnsInARowDoNotAddUp() throws Exception {
        turn(0, 0, 1);
        for (int i = 0; i < 5; i++) {
            turn(1, LATE_MS, 1);
        }
        long before = System.nanoTime();
        turn(1, LATE_MS, 1);
        turn(1, LATE_MS, 1);
        assertTrue(times.unreadSince() - before >= 0, "no older than the look of the turn before");
    }
}
