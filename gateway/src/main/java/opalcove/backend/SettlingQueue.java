package opalcove.backend;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The connections that recently delivered a reply, the earliest first. Each becomes idle once no more input can follow
 * its reply: a connection is reused only after all input that arrived within 10 ms of its reply has been read.
 * Otherwise a second reply or other stray bytes would be taken for the reply to the next attempt. Input that arrives
 * while a connection is idle closes it.
 *
 * <p>While replies keep arriving, this needs no timer: all input that had arrived before the end of a turn of the event
 * loop that delivered a reply is read in the next turn, before that turn's end. When no more replies arrive, two timers
 * show the same. Used on the event loop only.
 */
final class SettlingQueue {
    /** How long a connection is observed after a reply before it is reused, ns. */
    private static final long SETTLE_NANOS = 10_000_000;
    /** How often connections are checked for having settled while no replies arrive, ms. */
    private static final long CHECK_INTERVAL_MS = 50;

    private final Vertx vertx;
    private final Deque<PooledConnection> settling = new ArrayDeque<>();
    private final Handler<Void> turnEnd = ignored -> turnEnded();
    private long lastTurnEndNanos = System.nanoTime();
    private long readUpToNanos = lastTurnEndNanos;
    private boolean turnEndScheduled;
    private boolean checkScheduled;

    SettlingQueue(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Makes the connection idle once it has settled. */
    void add(PooledConnection connection) {
        connection.repliedAtNanos = System.nanoTime();
        settling.add(connection);
        if (!turnEndScheduled) {
            turnEndScheduled = true;
            // Runs after this turn has read all its input.
            vertx.runOnContext(turnEnd);
        }
        if (!checkScheduled) {
            scheduleCheck();
        }
    }

    private void turnEnded() {
        turnEndScheduled = false;
        inputReadUpTo(lastTurnEndNanos);
        lastTurnEndNanos = System.nanoTime();
    }

    /** Lets connections settle also while no replies arrive. */
    private void scheduleCheck() {
        checkScheduled = !settling.isEmpty();
        if (!checkScheduled) {
            return;
        }
        long readBeforeNanos = readUpToNanos;
        vertx.setTimer(CHECK_INTERVAL_MS, due -> {
            if (readUpToNanos > readBeforeNanos) {
                scheduleCheck();
            } else {
                long nowNanos = System.nanoTime();
                // The event loop reads its sockets once more before a timer that is set now expires.
                vertx.setTimer(1, again -> {
                    inputReadUpTo(nowNanos);
                    scheduleCheck();
                });
            }
        });
    }

    /** Called when all input that had arrived by this time has been read. */
    private void inputReadUpTo(long timeNanos) {
        readUpToNanos = Math.max(readUpToNanos, timeNanos);
        while (!settling.isEmpty() && settling.peekFirst().repliedAtNanos + SETTLE_NANOS <= readUpToNanos) {
            settling.pollFirst().makeIdle();
        }
    }
}
