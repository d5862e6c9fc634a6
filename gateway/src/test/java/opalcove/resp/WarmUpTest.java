package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import opalcove.TestSettings;
import opalcove.lifecycle.TimeBudget;
import org.testng.annotations.Test;

public class WarmUpTest {
    @Test
    public void answersAllRequestsAndLeavesNoFiles() throws Exception {
        long before = countWarmUpFolders();
        assertEquals(WarmUp.run(Vertx::vertx, TestSettings.settings(), TimeBudget.ofMs(60_000)), WarmUp.REQUESTS);
        assertEquals(countWarmUpFolders(), before);
    }

    @Test
    public void sendsNoRequestWhenBudgetIsExhausted() {
        assertEquals(
                WarmUp.run(
                        () -> {
                            throw new AssertionError("no event loop may be created without a warm-up");
                        },
                        TestSettings.settings(),
                        new TimeBudget(0, () -> 7)),
                0);
    }

    @Test
    public void sharesOneBudgetBetweenAllWaitsWhenLoopIsBlocked() throws Exception {
        // Each read of the clock returns 10 ms more, whatever the wait was: the budget is used up after three reads.
        AtomicLong clockReads = new AtomicLong();
        TimeBudget budget = new TimeBudget(30, () -> TimeUnit.MILLISECONDS.toNanos(10 * clockReads.getAndIncrement()));
        CountDownLatch loopBlocker = new CountDownLatch(1);
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        try {
            assertEquals(
                    WarmUp.run(
                            () -> {
                                // The event loop of the warm-up is blocked until after its end: no request can get a
                                // response.
                                vertx.runOnContext(blocked -> awaitLatch(loopBlocker));
                                return vertx;
                            },
                            TestSettings.settings(),
                            budget),
                    0);
        } finally {
            loopBlocker.countDown();
        }
        assertEquals(budget.remainingMs(), 0);
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    public void detectsWhetherUnixSocketCanBeConnectedTo() throws Exception {
        Path tooLong = Path.of(System.getProperty("java.io.tmpdir"), "x".repeat(200));
        assertFalse(WarmUp.canConnectAt(tooLong));
        Path usable = Files.createTempDirectory("reached").resolve("at");
        assertTrue(WarmUp.canConnectAt(usable));
        assertFalse(Files.exists(usable));
        Files.delete(usable.getParent());
    }

    /** Counts the folders of this process: others that warm up at the same time have folders there, too. */
    private static long countWarmUpFolders() throws Exception {
        String prefix = WarmUp.FOLDER_PREFIX + ProcessHandle.current().pid() + "-";
        try (Stream<Path> all = Files.list(Path.of(System.getProperty("java.io.tmpdir")))) {
            return all.filter(each -> each.getFileName().toString().startsWith(prefix))
                    .count();
        }
    }
}
