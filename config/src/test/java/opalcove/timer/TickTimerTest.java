package opalcove.timer;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the order of ticks and of other timers of the same event loop. */
public class TickTimerTest {
    private static final long TIMEOUT_SECONDS = 60;
    private static final long OVERDUE_MS = 1000;
    private static final long INPUT_DURATION_MS = 5;

    private final List<String> order = new ArrayList<>();
    private final CompletableFuture<List<String>> done = new CompletableFuture<>();
    private Vertx vertx;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
    }

    @AfterMethod
    public void close() throws Exception {
        vertx.close().await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void record(String event) {
        order.add(event);
        if (order.size() == 2) {
            done.complete(List.copyOf(order));
        }
    }

    /** Guards against a tick that each datagram postpones, and against one that is moved by a later due time. */
    @Test
    public void runsDueTickBeforeLaterTimersDuringContinuousInput() throws Exception {
        vertx.runOnContext(run -> {
            long startMs = nowMs();
            TickTimer timer = new TickTimer(vertx, TickTimerTest::nowMs, () -> record("tick"));
            timer.arm(startMs - OVERDUE_MS);
            vertx.setTimer(1, due -> record("next timer"));
            while (nowMs() < startMs + INPUT_DURATION_MS) {
                timer.arm(startMs - OVERDUE_MS);
            }
            timer.arm(startMs + TimeUnit.HOURS.toMillis(1));
        });
        assertEquals(done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), List.of("tick", "next timer"));
    }
}
