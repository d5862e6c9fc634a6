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
    private void runTurn(long maxSleepMs, long sleepMs, int handled) throws Exception {
        times.pollBegins();
        times.sleepLimited(TimeUnit.MILLISECONDS.toNanos(maxSleepMs));
        TimeUnit.MILLISECONDS.sleep(sleepMs);
        times.polled();
        times.socketsRead(handled);
    }

    private void assertMinimumUnreadMs(long ms) {
        long unreadNanos = System.nanoTime() - times.unreadSince();
        assertTrue(
                unreadNanos >= TimeUnit.MILLISECONDS.toNanos(ms),
                "unread for " + unreadNanos + " ns, at least " + ms + " ms expected");
    }

    @Test
    public void countsDataAsNewWhenItEndsSleep() throws Exception {
        runTurn(0, 0, 1);
        long before = System.nanoTime();
        runTurn(10_000, SLEEP_MS, 1);
        assertTrue(
                times.unreadSince() - before >= TimeUnit.MILLISECONDS.toNanos(SLEEP_MS), "the data arrived just now");
    }

    @Test
    public void countsDataAsOldAsSleepWhenSleepWasTooLong() throws Exception {
        runTurn(0, 0, 1);
        runTurn(1, LATE_MS, 1);
        assertMinimumUnreadMs(LATE_MS);
    }

    @Test
    public void remembersPauseWhenNextTurnReadsNothing() throws Exception {
        runTurn(0, 0, 1);
        runTurn(1, LATE_MS, 0);
        runTurn(0, 0, 1);
        assertMinimumUnreadMs(LATE_MS);
        long before = System.nanoTime();
        runTurn(0, 0, 1);
        runTurn(0, 0, 1);
        assertTrue(times.unreadSince() - before >= 0, "the pause no longer counts after a read");
    }

    @Test
    public void doesNotAccumulateConsecutivePauses() throws Exception {
        runTurn(0, 0, 1);
        for (int i = 0; i < 5; i++) {
            runTurn(1, LATE_MS, 1);
        }
        long before = System.nanoTime();
        runTurn(1, LATE_MS, 1);
        runTurn(1, LATE_MS, 1);
        assertTrue(times.unreadSince() - before >= 0, "data is no older than the poll of the previous turn");
    }
}
