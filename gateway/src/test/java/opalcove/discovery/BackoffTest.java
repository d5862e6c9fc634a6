package opalcove.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests the bounds and the spread of the waits that {@link Backoff} draws. */
public class BackoffTest {
    private static long[] waits(long seed, int count) {
        Backoff backoff = new Backoff(200, 3200, new SplittableRandom(seed));
        return IntStream.range(0, count).mapToLong(i -> backoff.next()).toArray();
    }

    @Test
    public void doublesMeanWaitUpToMaximum() {
        for (long seed = 0; seed < 200; seed++) {
            long[] waits = waits(seed, 9);
            for (int i = 0; i < waits.length; i++) {
                double meanMs = Math.min(3200, 200 << i);
                assertTrue(
                        waits[i] >= 0.5 * meanMs - 1 && waits[i] <= 1.5 * meanMs + 1,
                        "seed " + seed + ": waits " + waits[i] + " ms");
            }
        }
    }

    /** Guards against 14 gateways that were rejected at the same instant and call again together. */
    @Test
    public void drawsDifferentWaitsForGatewaysThatWereRejectedTogether() {
        long distinct = IntStream.range(0, 14)
                .mapToLong(seed -> waits(seed, 3)[2])
                .distinct()
                .count();
        assertTrue(distinct >= 12, distinct + " distinct waits of 14");
        assertNotEquals(waits(1, 5), waits(2, 5));
        assertEquals(waits(1, 5), waits(1, 5));
    }

    /** A wait with a limit stays within it and is still drawn at random; the limit does not change a shorter wait. */
    @Test
    public void drawsWaitWithinLimit() {
        for (int seed = 0; seed < 200; seed++) {
            Backoff backoff = new Backoff(200, 3200, new SplittableRandom(seed));
            assertEquals(backoff.next(4500), waits(seed, 1)[0]);
            for (int i = 0; i < 8; i++) {
                long next = backoff.next(600);
                assertTrue(next >= 200 && next <= 600, "seed " + seed + ": waits " + next + " ms");
            }
            assertEquals(backoff.next(0), 1);
        }
    }

    @Test
    public void returnsToMinimumWaitAfterReset() {
        Backoff backoff = new Backoff(200, 3200, new SplittableRandom(7));
        IntStream.range(0, 8).forEach(i -> backoff.next());
        backoff.reset();
        assertTrue(backoff.next() <= 300);
        assertThrows(IllegalArgumentException.class, () -> new Backoff(0, 10, new SplittableRandom(7)));
        assertThrows(IllegalArgumentException.class, () -> new Backoff(20, 10, new SplittableRandom(7)));
    }
}
