package opalcove.resp;

import io.netty.channel.EventLoop;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import opalcove.lifecycle.Application;

/**
 * Limits the commands that one turn of the event loop executes: for each connection, and those that the gateway answers
 * itself for all connections. Guards other clients, timers and backends against waiting for a client that sends
 * commands at full speed. A connection that has used its share stops decoding and continues in a later turn; those that
 * wait continue in the order in which they stopped. Owned by the event loop of the connections.
 */
final class CommandScheduler {
    /** The maximum number of commands of one connection in a turn. */
    static final int MAX_CONNECTION_COMMANDS = 128;
    /**
     * The number of commands that the gateway has answered itself in a turn, for all connections, after which each
     * connection stops at its next command. Requests that are open do not count: their number is limited elsewhere.
     */
    private static final int MAX_TURN_RESPONSES = 256;

    /** The share of one connection in the current turn. Owned by the connection. */
    static final class Share {
        private long turn;
        private int commands;
        private boolean isWaiting;

        /** Whether the connection waits for a later turn. */
        boolean isWaiting() {
            return isWaiting;
        }
    }

    private record Continuation(Share share, Runnable action) {}

    private final EventLoop eventLoop;
    /** Changes in each turn of the event loop, after its reads. */
    private final LongSupplier turnId;

    private final Deque<Continuation> waiting = new ArrayDeque<>();
    private boolean isScheduled;
    private long turn;
    private int turnResponses;

    /** To be called on the event loop of the connections. */
    CommandScheduler(Vertx vertx) {
        eventLoop = ((ContextInternal) vertx.getOrCreateContext()).nettyEventLoop();
        turnId = Application.readUpTo(vertx);
    }

    /**
     * Counts an executed command.
     *
     * @param isRequestOpen whether the command is a request whose response comes later
     * @return whether the connection may execute another command in this turn
     */
    boolean commandExecuted(Share share, boolean isRequestOpen) {
        enterTurn();
        if (share.turn != turn) {
            share.turn = turn;
            share.commands = 0;
        }
        share.commands++;
        if (!isRequestOpen) {
            turnResponses++;
        }
        return share.commands < MAX_CONNECTION_COMMANDS && turnResponses < MAX_TURN_RESPONSES;
    }

    private void enterTurn() {
        long now = turnId.getAsLong();
        if (now != turn) {
            turn = now;
            turnResponses = 0;
        }
    }

    /** Runs the action in a later turn, after the sockets have been read, unless this connection waits already. */
    void continueLater(Share share, Runnable action) {
        if (!share.isWaiting) {
            share.isWaiting = true;
            waiting.add(new Continuation(share, action));
            schedule();
        }
    }

    private void schedule() {
        if (!isScheduled) {
            isScheduled = true;
            // A task without a delay would run in this turn, before any socket is read again.
            eventLoop.schedule(this::continueWaiting, 0, TimeUnit.NANOSECONDS);
        }
    }

    /** Continues connections until the responses of this turn are used up; each connection once. */
    private void continueWaiting() {
        isScheduled = false;
        enterTurn();
        for (int remaining = waiting.size(); remaining > 0 && turnResponses < MAX_TURN_RESPONSES; remaining--) {
            Continuation next = waiting.poll();
            next.share.isWaiting = false;
            next.action.run();
        }
        if (!waiting.isEmpty()) {
            schedule();
        }
    }
}
