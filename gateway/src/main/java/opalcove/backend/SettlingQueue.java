package opalcove.backend;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Connections that carried a reply lately, the earliest first, which become idle once nothing can follow that reply. Guards
 * the next attempt against bytes that do (a second reply, noise): a connection is used again only once all that came within
 * 10 ms of its reply has been read; what comes while it is idle closes it.
 *
 * <p>That much is known without a timer while replies come: all that had come before the end of one turn of the event loop
 * that brought a reply is read in the next turn, before that one's end. Where no more replies come, two timers show the
 * same. Used on the event loop only.
 */
final class SettlingQueue {
    /** How long a connection that carried a reply is listened to before it is used again, ns. */
    private static final long SETTLE_NANOS = 10_000_000;
    /** How often it is checked whether connections settle while no replies come, ms. */
    private static final long WATCH_INTERVAL_MS = 50;

    private final Vertx vertx;
    private final Deque<PooledConnection> settling = new ArrayDeque<>();
    private final Handler<Void> turnEnd = ignored -> turnEnded();
    private long lastTurnEndNanos = System.nanoTime();
    private long readUpToNanos = lastTurnEndNanos;
    private boolean turnEndScheduled;
    private boolean watching;

    SettlingQueue(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Makes the connection idle once it has settled. */
    void add(PooledConnection connection) {
        connection.repliedAtNanos = System.nanoTime();
        settling.add(connection);
        if (!turnEndScheduled) {
            turnEndScheduled = true;
            // Runs after all that this turn had to read.
            vertx.runOnContext(turnEnd);
        }
        if (!watching) {
            watch();
        }
    }

    private void turnEnded() {
        turnEndScheduled = false;
        inputRead(lastTurnEndNanos);
        lastTurnEndNanos = System.nanoTime();
    }

    /** Has connections settle also while no replies come. */
    private void watch() {
        watching = !settling.isEmpty();
        if (!watching) {
            return;
        }
        long readBeforeNanos = readUpToNanos;
        vertx.setTimer(WATCH_INTERVAL_MS, due -> {
            if (readUpToNanos > readBeforeNanos) {
                watch();
            } else {
                long nowNanos = System.nanoTime();
                // By the time that a timer set now expires, the loop has read once more.
                vertx.setTimer(1, again -> {
                    inputRead(nowNanos);
                    watch();
                });
            }
        });
    }

    /** All input that had come by then has been read. */
    private void inputRead(long timeNanos) {
        readUpToNanos = Math.max(readUpToNanos, timeNanos);
        while (!settling.isEmpty() && settling.peekFirst().repliedAtNanos + SETTLE_NANOS <= readUpToNanos) {
            settling.pollFirst().makeIdle();
        }
    }
}
