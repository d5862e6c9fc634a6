package opalcove.timer;

import io.vertx.core.Vertx;
import java.util.function.LongSupplier;

/**
 * The timer of a protocol that states after each event when its next tick is due. A timer that is set is only ever
 * moved to an earlier time, so that continuous input cannot postpone a tick that is due. A tick may run earlier than
 * the protocol last requested, but not later. Must be used on one event loop only.
 */
public final class TickTimer {
    private static final long NO_TIMER = -1;
    private static final long MIN_DELAY_MS = 1;

    private final Vertx vertx;
    private final LongSupplier clockMs;
    private final Runnable tick;
    private long timerId = NO_TIMER;
    private long armedDueMs;

    /**
     * Creates a timer that is not set yet.
     *
     * @param clockMs the monotonic clock of the due times, in ms
     * @param tick run on the event loop whenever the timer fires
     */
    public TickTimer(Vertx vertx, LongSupplier clockMs, Runnable tick) {
        this.vertx = vertx;
        this.clockMs = clockMs;
        this.tick = tick;
    }

    /**
     * Schedules the next tick for this time of the clock, in ms, or for now if it has passed; a timer set earlier
     * stays.
     */
    public void arm(long dueMs) {
        if (timerId != NO_TIMER) {
            if (armedDueMs <= dueMs) {
                return;
            }
            vertx.cancelTimer(timerId);
        }
        armedDueMs = dueMs;
        timerId = vertx.setTimer(Math.max(MIN_DELAY_MS, dueMs - clockMs.getAsLong()), due -> {
            timerId = NO_TIMER;
            tick.run();
        });
    }
}
