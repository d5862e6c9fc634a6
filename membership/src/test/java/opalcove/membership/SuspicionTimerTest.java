package opalcove.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the suspicion timeout for fleet sizes and numbers of confirmations, and the last pings. */
public class SuspicionTimerTest {
    private static final SwimConfig CONFIG = SwimConfig.of(500);

    @Test
    public void shrinksTimeoutFromTwiceTheMinimumWithEachConfirmation() {
        double minMs = SuspicionTimer.minTimeoutMs(CONFIG, 24);
        assertEquals(
                minMs,
                3 * 500 + 100 * 3,
                "three probe periods and three gossip rounds among 24 members with a fanout of 3");
        assertEquals(SuspicionTimer.timeoutMs(CONFIG, 24, 0), 2 * minMs);
        assertEquals(SuspicionTimer.timeoutMs(CONFIG, 24, 1), 1.5 * minMs);
        assertEquals(SuspicionTimer.timeoutMs(CONFIG, 24, 3), minMs);
        assertEquals(SuspicionTimer.timeoutMs(CONFIG, 24, 9), minMs, "never below the minimum");
    }

    @Test
    public void usesMinimumTimeoutWhenNoOtherMemberCanConfirm() {
        assertEquals(SuspicionTimer.timeoutMs(CONFIG, 2, 0), SuspicionTimer.minTimeoutMs(CONFIG, 2));
    }

    @Test
    public void countsEachAccuserOnceUpToNumberThatShortensTimeout() {
        SuspicionTimer timer = new SuspicionTimer();
        timer.start(0, "a");
        assertFalse(timer.confirm("a", CONFIG));
        for (String accuser : new String[] {"b", "c", "d"}) {
            assertTrue(timer.confirm(accuser, CONFIG));
        }
        assertFalse(timer.confirm("e", CONFIG));
        assertTrue(timer.isAccusedBy("d"));
        timer.cancel();
        assertEquals(timer.anyAccuser(), "");
    }

    @Test
    public void spreadsLastPingsOverEndOfTimeout() {
        SuspicionTimer timer = new SuspicionTimer();
        timer.start(0, "a");
        assertFalse(timer.takeLastPing(0.59));
        assertTrue(timer.takeLastPing(0.6));
        assertFalse(timer.takeLastPing(0.7));
        assertTrue(timer.takeLastPing(0.74));
        assertTrue(timer.takeLastPing(0.9));
        assertFalse(timer.takeLastPing(0.99), "at most three last pings");
    }

    @Test
    public void extendsTimeoutByDurationOfPause() {
        SuspicionTimer timer = new SuspicionTimer();
        timer.start(1000, "a");
        double elapsed = timer.elapsedFraction(1600, CONFIG, 24);
        timer.extendBy(5000);
        assertEquals(timer.elapsedFraction(6600, CONFIG, 24), elapsed);
    }
}
