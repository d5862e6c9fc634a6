package opalcove.transport;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests since when data may have lain unread, given the duration of an event loop's sleeps and turns. */
public class SocketReadTimesTest {
    private static final long LATE_MS = 60;
    private static final long SLEEP_MS = 30;

    private final SocketReadTimes times = new SocketReadTimes();

    /** Simulates one turn: a poll that sleeps for sleepMs although maxSleepMs was its limit, and then reads sockets. */
    private void turn(long maxSleepMs, long waitsMs, int handled) throws Exception {
        times.pollBegins();
        times.sleepLimited(TimeUnit.MILLISECONDS.toNanos(maxSleepMs));
        TimeUnit.MILLISECONDS.sleep(waitsMs);
        times.polled();
        times.socketsRead(handled);
    }

    private void assertUnreadForAtLeast(long ms) {
        long unread = System.nanoTime() - times.unreadSince();
        assertTrue(
                unread >= TimeUnit.MILLISECONDS.toNanos(ms),
                "unread for " + unread + " ns, at least " + ms + " ms expected");
    }

    @Test
    public void whatEndsASleepCameAfterItsBegin() throws Exception {
        turn(0, 0, 1);
        long before = System.nanoTime();
        turn(10_000, SLEEP_MS, 1);
        assertTrue(
                times.unreadSince() - before >= TimeUnit.MILLISECONDS.toNanos(SLEEP_MS), "the data arrived just now");
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
        assertTrue(times.unreadSince() - before >= 0, "the pause no longer counts after a read");
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
        assertTrue(times.unreadSince() - before >= 0, "data is no older than the poll of the previous turn");
    }
}
