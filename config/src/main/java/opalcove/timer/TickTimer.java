package opalcove.timer;

import io.vertx.core.Vertx;
import java.util.function.LongSupplier;

/**
 * The timer of a protocol that says after each event when its next tick is due. A timer that is set is only ever moved to
 * an earlier time: input that comes without a pause cannot put off a tick that is due. A tick may come earlier than the
 * protocol last asked for, never later. Used on one event loop only.
 */
public final class TickTimer {
    private static final long NONE = -1;
    private static final long MIN_DELAY_MS = 1;

    private final Vertx vertx;
    private final LongSupplier clockMs;
    private final Runnable tick;
    private long timer = NONE;
    private long armedForMs;

    /** A timer that is not set yet; clockMs is the monotonic clock that ticks are due by, in ms. */
    public TickTimer(Vertx vertx, LongSupplier clockMs, Runnable tick) {
        this.vertx = vertx;
        this.clockMs = clockMs;
        this.tick = tick;
    }

    /** Has the next tick run at that time of the clock, or as soon after as possible, unless an earlier one is set. */
    public void arm(long dueMs) {
        if (timer != NONE) {
            if (armedForMs <= dueMs) {
                return;
            }
            vertx.cancelTimer(timer);
        }
        armedForMs = dueMs;
        timer = vertx.setTimer(Math.max(MIN_DELAY_MS, dueMs - clockMs.getAsLong()), due -> {
            timer = NONE;
            tick.run();
        });
    }
}
