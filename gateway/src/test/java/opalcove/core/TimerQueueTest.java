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
    private static TimerQueue.Timer alarm(Runnable action) {
        return new TimerQueue.Timer() {
            @Override
            void onExpiry() {
                action.run();
            }
        };
    }

    /** Cancelled ones are let go of at once, and the others keep their order, whichever leave. */
    @Test
    public void whatIsCancelledLeavesNothingBehind() throws Exception {
        Vertx vertx = Vertx.vertx();
        List<Integer> rung = new ArrayList<>();
        CompletableFuture<Integer> left = new CompletableFuture<>();
        vertx.runOnContext(go -> {
            Clock clock = new Clock();
            TimerQueue alarms = new TimerQueue(vertx, clock);
            double soon = clock.now() + 20;
            List<TimerQueue.Timer> all = new ArrayList<>();
            for (int i = 0; i < 1000; i++) {
                int number = i * 7919 % 1000;
                TimerQueue.Timer each = alarm(() -> rung.add(number));
                all.add(each);
                alarms.scheduleAt(soon + number / 50.0, each);
            }
            for (int i = 0; i < 1000; i++) {
                if (i % 3 > 0) {
                    alarms.cancel(all.get(i * 31 % 1000));
                }
            }
            int kept = alarms.size();
            alarms.scheduleAt(soon + 40, alarm(() -> left.complete(kept)));
        });
        int kept = left.get(20, TimeUnit.SECONDS);
        assertEquals(kept, 334);
        assertEquals(rung.size(), 334);
        for (int i = 1; i < rung.size(); i++) {
            assertTrue(rung.get(i) > rung.get(i - 1), rung.get(i - 1) + " before " + rung.get(i));
        }
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** One fails: those that are due with it and those that come later go off all the same. */
    @Test
    public void oneThatFailsHoldsUpNoOther() throws Exception {
        Vertx vertx = Vertx.vertx();
        List<String> rung = new ArrayList<>();
        CompletableFuture<Void> last = new CompletableFuture<>();
        vertx.runOnContext(go -> {
            Vertx.currentContext().exceptionHandler(failed -> rung.add(failed.getMessage()));
            Clock clock = new Clock();
            TimerQueue alarms = new TimerQueue(vertx, clock);
            double soon = clock.now() + 20;
            alarms.scheduleAt(soon, alarm(() -> {
                throw new IllegalStateException("fails");
            }));
            alarms.scheduleAt(soon, alarm(() -> rung.add("due with it")));
            alarms.scheduleAt(soon + 20, alarm(() -> last.complete(null)));
        });
        last.get(20, TimeUnit.SECONDS);
        assertEquals(rung, List.of("fails", "due with it"));
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    @Test
    public void theyGoOffInTheOrderOfTheirTimesUnlessCancelled() throws Exception {
        Vertx vertx = Vertx.vertx();
        List<String> rung = new ArrayList<>();
        CompletableFuture<List<String>> all = new CompletableFuture<>();
        vertx.runOnContext(go -> {
            TimerQueue alarms = new TimerQueue(vertx, new Clock());
            TimerQueue.Timer never = alarm(() -> rung.add("cancelled before it was due"));
            TimerQueue.Timer later = alarm(() -> rung.add("cancelled by an alarm"));
            alarms.schedule(30, alarm(() -> rung.add("second")));
            alarms.schedule(5, never);
            alarms.schedule(10, alarm(() -> rung.add("first")));
            alarms.schedule(40, later);
            alarms.schedule(20, alarm(() -> alarms.cancel(later)));
            alarms.schedule(50, alarm(() -> {
                alarms.schedule(0, alarm(() -> all.complete(rung)));
                rung.add("last, and not before what it set");
            }));
            alarms.cancel(never);
            alarms.cancel(never);
            rung.add("nothing goes off at once");
        });
        assertEquals(
                all.get(20, TimeUnit.SECONDS),
                List.of("nothing goes off at once", "first", "second", "last, and not before what it set"));
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
