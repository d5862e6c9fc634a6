package opalcove.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import opalcove.config.Clock;
import org.testng.annotations.Test;

public class TimerQueueTest {
    private static TimerQueue.Timer timer(Runnable action) {
        return new TimerQueue.Timer() {
            @Override
            void onExpiry() {
                action.run();
            }
        };
    }

    /** Cancelled timers are removed at once, and the others keep their order, whichever are cancelled. */
    @Test
    public void removesCancelledTimersAndPreservesOrderOfOthers() throws Exception {
        Vertx vertx = Vertx.vertx();
        List<Integer> expired = new ArrayList<>();
        CompletableFuture<Integer> remaining = new CompletableFuture<>();
        vertx.runOnContext(unused -> {
            Clock clock = new Clock();
            TimerQueue timers = new TimerQueue(vertx, clock);
            double firstDueMs = clock.now() + 20;
            List<TimerQueue.Timer> all = new ArrayList<>();
            for (int i = 0; i < 1000; i++) {
                int number = i * 7919 % 1000;
                TimerQueue.Timer each = timer(() -> expired.add(number));
                all.add(each);
                timers.scheduleAt(firstDueMs + number / 50.0, each);
            }
            for (int i = 0; i < 1000; i++) {
                if (i % 3 > 0) {
                    timers.cancel(all.get(i * 31 % 1000));
                }
            }
            int remainingCount = timers.size();
            timers.scheduleAt(firstDueMs + 40, timer(() -> remaining.complete(remainingCount)));
        });
        int remainingCount = remaining.get(20, TimeUnit.SECONDS);
        assertEquals(remainingCount, 334);
        assertEquals(expired.size(), 334);
        for (int i = 1; i < expired.size(); i++) {
            assertTrue(expired.get(i) > expired.get(i - 1), expired.get(i - 1) + " before " + expired.get(i));
        }
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** After one timer fails, those due at the same time and those due later still expire. */
    @Test
    public void expiresOtherTimersAfterOneFails() throws Exception {
        Vertx vertx = Vertx.vertx();
        List<String> expired = new ArrayList<>();
        CompletableFuture<Void> last = new CompletableFuture<>();
        vertx.runOnContext(unused -> {
            Vertx.currentContext().exceptionHandler(failure -> expired.add(failure.getMessage()));
            Clock clock = new Clock();
            TimerQueue timers = new TimerQueue(vertx, clock);
            double firstDueMs = clock.now() + 20;
            timers.scheduleAt(firstDueMs, timer(() -> {
                throw new IllegalStateException("fails");
            }));
            timers.scheduleAt(firstDueMs, timer(() -> expired.add("due with it")));
            timers.scheduleAt(firstDueMs + 20, timer(() -> last.complete(null)));
        });
        last.get(20, TimeUnit.SECONDS);
        assertEquals(expired, List.of("fails", "due with it"));
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    @Test
    public void expiresTimersInOrderUnlessCancelled() throws Exception {
        Vertx vertx = Vertx.vertx();
        List<String> expired = new ArrayList<>();
        CompletableFuture<List<String>> all = new CompletableFuture<>();
        vertx.runOnContext(unused -> {
            TimerQueue timers = new TimerQueue(vertx, new Clock());
            TimerQueue.Timer never = timer(() -> expired.add("cancelled before it was due"));
            TimerQueue.Timer later = timer(() -> expired.add("cancelled by a timer"));
            timers.schedule(30, timer(() -> expired.add("second")));
            timers.schedule(5, never);
            timers.schedule(10, timer(() -> expired.add("first")));
            timers.schedule(40, later);
            timers.schedule(20, timer(() -> timers.cancel(later)));
            timers.schedule(50, timer(() -> {
                timers.schedule(0, timer(() -> all.complete(expired)));
                expired.add("last, before the timer that it scheduled");
            }));
            timers.cancel(never);
            timers.cancel(never);
            expired.add("no timer expires immediately");
        });
        assertEquals(
                all.get(20, TimeUnit.SECONDS),
                List.of("no timer expires immediately", "first", "second", "last, before the timer that it scheduled"));
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
