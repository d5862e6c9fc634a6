package opalcove.backend;

import io.netty.util.concurrent.EventExecutor;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import opalcove.config.Backend;
import opalcove.config.InvalidConfigurationException;
import opalcove.core.AttemptResult;
import opalcove.core.BackendTransport;
import opalcove.core.Request;
import opalcove.core.StreamedValue;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;
import opalcove.metrics.Errno;
import opalcove.transport.DescriptorCounter;
import org.tinylog.Logger;

/**
 * Links to the app nodes over any wire. A line carries one attempt at a time, so that no answer waits behind another
 * and an attempt is given up, as its node can see, by closing its line. Lines are used again, the latest first.
 */
public final class ConnectionPool implements BackendTransport {
    /**
     * The part of the nodes' idle time after which a line is closed here. Guards against writing to a line that its
     * node has just closed, which would end as a reset that may have run; a node may be earlier than it told.
     */
    private static final double IDLE_PART = 0.5;

    private static final double IDLE_DEFAULT_MS = 10_000;
    private static final long SWEEP_MS = 1000;
    /** How long a line that carried an answer is listened to before it is used again, ns. */
    private static final long REST_NS = 10_000_000;
    /** How often it is seen whether lines wait for that and no answers come, ms. */
    private static final long SETTLE_MS = 50;

    /**
     * How long each attempt gets a line of its own after a used line has broken under one. Guards against nodes, and
     * machines between, that drop lines at rest: such a break may have run and tells nothing of the node's health.
     */
    private static final double DISTRUST_MS = 10_000;

    /**
     * A line that rested for longer than this part of the nodes' idle time is looked at before it is used again: its node
     * may have closed it for resting. One that is used again sooner costs no such look, a read of its own, but after a
     * second answer.
     */
    private static final double SURE_PART = 1.0 / 30;
    /** How long each line is looked at before it is used again after a second answer has come on one, ms. */
    private static final double WARY_MS = 10_000;
    /** Lines at rest give way once all but this part of the most links are open. */
    private static final int SPARE_PART = 8;

    /** Opens lines on one wire. */
    public interface Connector {
        /** Succeeds with a line that is ready for an attempt, or fails within the settings' time for connecting. */
        Future<BackendConnection> connect(String address);
    }

    /** One connection to an app node. */
    public interface BackendConnection {
        /** Names who hears of what comes of this line. */
        void setListener(Listener user);

        /**
         * Whether the connection is still there, having read what has come of it. What its node has done (closed it, sent
         * more than it was asked for) may not have been read in this turn yet.
         */
        default boolean isAlive() {
            return true;
        }

        /** Sends an attempt, by the end of this turn of the event loop. */
        void send(Request request, double waitMs);

        /** Ends the connection; an attempt whose bytes still wait for the end of this turn is not sent any more. */
        void close();

        /** Hears of a line. */
        interface Listener {
            /** A long value has begun to come in reply to the attempt; tells whether it is taken. */
            boolean acceptsStreamedValue(StreamedValue value);

            /** The node's reply to an attempt. What cannot be read ends the line: that attempt may have run. */
            void onReply(AttemptResult end);

            /**
             * Asked right before an attempt that was sent leaves, at the end of its turn, by lines that wait for that:
             * whether it still may. Where not, the line ends with nothing of the attempt sent.
             */
            default boolean maySend() {
                return true;
            }

            /** The attempt's last byte was not written and never will be: its node cannot have run it. */
            void onWriteFailed();

            /** The connection has ended; comes once, and last. */
            void onClosed();
        }
    }

    /**
     * How long an attempt waits before it tries again for a connection that this machine had no room for, ms: twice as long
     * each time, up to a bound, and in all no longer than a connection may take to come up.
     */
    private static final long FIRST_ROOM_WAIT_MS = 1;

    private static final long LONGEST_ROOM_WAIT_MS = 16;

    private final Connector connector;
    private final double mostRoomWaitMs;
    private Consumer<Throwable> connectFailedHere = failure -> {};
    private final double idleMs;
    private final double sureMs;
    private final int most;
    /** Up to so many links are kept open while they rest. */
    private final int fewToRest;

    private final Vertx vertx;
    private final EventExecutor loop;
    /** By node; a shelf leaves with its node. */
    private final Map<String, HostPool> hostPools = new HashMap<>();
    /** Lines that carried an answer of late, the earliest first. */
    private final Deque<PooledConnection> settling = new ArrayDeque<>();

    private final Handler<Void> turnEnd = ended -> turnEnded();
    private long lastTurnEnd = System.nanoTime();
    private long readUpTo = lastTurnEnd;
    private boolean turnMarked;
    private boolean watching;
    private int links;
    /** What the links hold, those that were closed just now included. */
    private final DescriptorCounter descriptors = new DescriptorCounter();

    private boolean distrusted;
    private long brokeAt;
    private boolean wary;
    private long waryAt;

    /**
     * A pool of connections to backends.
     *
     * @param most how many connections may be open at once
     */
    public ConnectionPool(Vertx vertx, DecisionSettings settings, Connector connector, int most) {
        this.vertx = vertx;
        loop = DescriptorCounter.loopOf(vertx);
        this.connector = connector;
        this.most = most;
        fewToRest = Math.max(1, most - Math.max(1, most / SPARE_PART));
        mostRoomWaitMs = settings.limits().connectTimeoutMs();
        double told = settings.limits().idleCloseMs();
        idleMs = (told > 0 ? told : IDLE_DEFAULT_MS) * IDLE_PART;
        sureMs = (told > 0 ? told : IDLE_DEFAULT_MS) * SURE_PART;
        vertx.setPeriodic(SWEEP_MS, swept -> closeIdle());
    }

    @Override
    public Attempt startAttempt(Backend backend, Request request, double waitMs, AttemptListener ended) {
        PooledCall attempt = new PooledCall(request, waitMs, ended);
        connect(backend, attempt, FIRST_ROOM_WAIT_MS);
        return attempt;
    }

    /**
     * Puts the attempt on a line at rest or a new one; where this machine has no room for a new one now, after a wait. Guards
     * nodes against blame for what this machine lacks, and the ask against failing for it.
     */
    private void connect(Backend backend, PooledCall attempt, long waitMs) {
        HostPool hostPool = hostPool(backend);
        PooledConnection rested = take(hostPool.idle);
        if (rested != null) {
            attempt.sendOn(rested);
        } else if (descriptors.held() >= most) {
            // Guards the descriptors that terminals need.
            makeRoom();
            connectLater(backend, attempt, waitMs);
        } else {
            makeRoom();
            links++;
            descriptors.opened();
            attempt.dialling = true;
            dial(backend, hostPool, attempt, waitMs);
        }
    }

    private void connectLater(Backend backend, PooledCall attempt, long waitMs) {
        attempt.dialling = false;
        if (attempt.ageMs() + waitMs > mostRoomWaitMs) {
            attempt.finish(AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
            return;
        }
        vertx.setTimer(waitMs, due -> {
            if (attempt.isStillWanted()) {
                connect(backend, attempt, Math.min(2 * waitMs, LONGEST_ROOM_WAIT_MS));
            }
        });
    }

    @Override
    public void onLocalConnectFailure(Consumer<Throwable> action) {
        connectFailedHere = action;
    }

    @Override
    public void checkReachable(Backend backend, Consumer<Boolean> reached) {
        if (descriptors.held() >= most) {
            // Guards the descriptors that terminals need.
            reached.accept(false);
            return;
        }
        links++;
        descriptors.opened();
        HostPool hostPool = hostPool(backend);
        dial(backend.address()).onComplete(dialled -> {
            if (dialled.failed()) {
                linkEnded();
            } else {
                new PooledConnection(dialled.result(), hostPool).rest();
            }
            reached.accept(dialled.succeeded());
        });
    }

    private HostPool hostPool(Backend backend) {
        return hostPools.computeIfAbsent(backend.name(), name -> new HostPool());
    }

    /** Guards the way to a node that has no line yet against lines at rest of others that have taken all the room. */
    private void makeRoom() {
        if (links < fewToRest) {
            return;
        }
        PooledConnection longest = null;
        for (HostPool hostPool : hostPools.values()) {
            PooledConnection last = hostPool.idle.peekLast();
            if (last != null && (longest == null || last.idleSince - longest.idleSince < 0)) {
                longest = last;
            }
        }
        if (longest != null) {
            longest.line.close();
        }
    }

    /** A link has closed, or did not come up. */
    private void linkEnded() {
        links--;
        descriptors.closed(loop);
    }

    /**
     * A line for an attempt, or null. Guards the attempt against a line that its node has closed meanwhile, and against a
     * second answer to the attempt before, which would be taken for its own: neither may have been read yet.
     */
    private PooledConnection take(Deque<PooledConnection> idle) {
        long now = System.nanoTime();
        wary &= (now - waryAt) / 1e6 < WARY_MS;
        PooledConnection link = idle.pollFirst();
        while (link != null && (wary || (now - link.idleSince) / 1e6 > sureMs) && !link.line.isAlive()) {
            link = idle.pollFirst();
        }
        return link;
    }

    private void dial(Backend backend, HostPool hostPool, PooledCall attempt, long waitMs) {
        dial(backend.address()).onComplete(dialled -> {
            if (dialled.failed()) {
                linkEnded();
                if (Errno.of(dialled.cause()).isOfThisMachine()) {
                    connectFailedHere.accept(dialled.cause());
                    connectLater(backend, attempt, waitMs);
                } else {
                    attempt.finish(AttemptResult.withoutReport(AttemptStatus.UNREACHABLE));
                }
            } else {
                attempt.dialled(new PooledConnection(dialled.result(), hostPool));
            }
        });
    }

    /** Guards the ask against a node list that gives no usable address: that node cannot be reached. */
    private Future<BackendConnection> dial(String address) {
        try {
            return connector.connect(address);
        } catch (InvalidConfigurationException e) {
            Logger.warn("an app node cannot be dialled: {}", e.getMessage());
            return Future.failedFuture(e);
        }
    }

    @Override
    public void retire(Backend backend) {
        HostPool hostPool = hostPools.remove(backend.name());
        if (hostPool != null) {
            hostPool.open = false;
            List.copyOf(hostPool.idle).forEach(link -> link.line.close());
        }
    }

    @Override
    public int openConnections() {
        return links;
    }

    @Override
    public int idleConnections() {
        return hostPools.values().stream()
                .mapToInt(hostPool -> hostPool.idle.size())
                .sum();
    }

    private boolean reusable() {
        distrusted &= (System.nanoTime() - brokeAt) / 1e6 < DISTRUST_MS;
        return !distrusted;
    }

    private void distrust() {
        distrusted = true;
        brokeAt = System.nanoTime();
        hostPools.values().forEach(hostPool -> List.copyOf(hostPool.idle).forEach(link -> link.line.close()));
    }

    private void closeIdle() {
        long now = System.nanoTime();
        for (HostPool hostPool : hostPools.values()) {
            while (!hostPool.idle.isEmpty() && (now - hostPool.idle.peekLast().idleSince) / 1e6 > idleMs) {
                hostPool.idle.pollLast().line.close();
            }
        }
    }

    /**
     * Guards the next attempt against bytes that follow an answer (a second copy, noise): a line is used again only once
     * all that came within 10 ms of its answer has been read; what comes while a line rests closes it. That much is known
     * without a timer while answers come: all that had come before the end of one turn of the event loop that brought an
     * answer is read in the next turn, before that one's end. Where no more answers come, two timers tell the same.
     */
    private void settle(PooledConnection link) {
        link.answeredAt = System.nanoTime();
        settling.add(link);
        if (!turnMarked) {
            turnMarked = true;
            // Runs after all that this turn had to read.
            vertx.runOnContext(turnEnd);
        }
        if (!watching) {
            watchSettling();
        }
    }

    private void turnEnded() {
        turnMarked = false;
        readUpTo(lastTurnEnd);
        lastTurnEnd = System.nanoTime();
    }

    /** Sees to lines that settle while no answers come. */
    private void watchSettling() {
        watching = !settling.isEmpty();
        if (!watching) {
            return;
        }
        long before = readUpTo;
        vertx.setTimer(SETTLE_MS, due -> {
            if (readUpTo > before) {
                watchSettling();
            } else {
                long now = System.nanoTime();
                // By the time that a timer set now is due, the loop has read once more.
                vertx.setTimer(1, again -> {
                    readUpTo(now);
                    watchSettling();
                });
            }
        });
    }

    /** All that had come by then has been read. */
    private void readUpTo(long time) {
        readUpTo = Math.max(readUpTo, time);
        while (!settling.isEmpty() && settling.peekFirst().answeredAt + REST_NS <= readUpTo) {
            settling.pollFirst().rest();
        }
    }

    /** The idle lines to one node, the latest first. It is closed once the list has the node take no new work, or elsewhere. */
    private static final class HostPool {
        final Deque<PooledConnection> idle = new ArrayDeque<>();
        boolean open = true;
    }

    /** A line and the attempt that it carries. */
    private final class PooledConnection implements BackendConnection.Listener {
        final BackendConnection line;
        final HostPool hostPool;
        PooledCall user;
        long idleSince;
        long answeredAt;
        boolean used;
        boolean ended;

        PooledConnection(BackendConnection line, HostPool hostPool) {
            this.line = line;
            this.hostPool = hostPool;
            line.setListener(this);
        }

        @Override
        public boolean acceptsStreamedValue(StreamedValue value) {
            return user != null && !user.givenUp && user.waiting.acceptsStreamedValue(value);
        }

        @Override
        public void onReply(AttemptResult end) {
            PooledCall done = user;
            if (done == null) {
                // Guards the next attempt against an answer that belongs to none.
                wary = true;
                waryAt = System.nanoTime();
                line.close();
                return;
            }
            user = null;
            used = true;
            settle(this);
            done.finish(end);
        }

        /** Guards an attempt whose client left in the very turn that sent it, or that was held up before its bytes left. */
        @Override
        public boolean maySend() {
            if (user == null || user.waiting.maySend(user.toldMs)) {
                return true;
            }
            if (user != null) {
                user.withdraw();
            }
            return false;
        }

        void rest() {
            if (ended) {
                return;
            }
            if (hostPool.open && reusable() && links <= fewToRest) {
                idleSince = System.nanoTime();
                hostPool.idle.addFirst(this);
            } else {
                // Guards also a new node at the same place, and a drained one, against lines of the one that left, and
                // the
                // way to other nodes where nearly all links are open.
                line.close();
            }
        }

        @Override
        public void onWriteFailed() {
            if (user != null) {
                user.unwritten = true;
            }
        }

        @Override
        public void onClosed() {
            ended = true;
            linkEnded();
            hostPool.idle.remove(this);
            if (user != null) {
                if (used && !user.givenUp && !user.withdrawn) {
                    distrust();
                }
                user.lineGone();
            }
        }
    }

    /** One attempt on one line. */
    private static final class PooledCall implements Attempt {
        private final AttemptListener waiting;
        private final Request request;
        private final double waitMs;
        private final long startedAt = System.nanoTime();
        private PooledConnection link;
        /** The deadline that its bytes tell, ms. */
        private double toldMs;

        private boolean unwritten;
        /** A connection is coming up for it. */
        private boolean dialling;

        private boolean givenUp;
        /** Its bytes have not left and do not any more. */
        private boolean withdrawn;

        private boolean ended;

        PooledCall(Request request, double waitMs, AttemptListener waiting) {
            this.request = request;
            this.waitMs = waitMs;
            this.waiting = waiting;
        }

        void dialled(PooledConnection fresh) {
            // Guards what has changed while the link came up: its node was drained or has moved, its terminal left or
            // got
            // its answer, its repeat window is over.
            if (givenUp || !waiting.isStillWanted()) {
                fresh.rest();
                finish(AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
            } else {
                sendOn(fresh);
            }
        }

        double ageMs() {
            return (System.nanoTime() - startedAt) / 1e6;
        }

        /** Whether it still waits for a connection; ends it as not sent where its ask needs it no more. */
        boolean isStillWanted() {
            if (!ended && !givenUp && !waiting.isStillWanted()) {
                finish(AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
            }
            return !ended && !givenUp;
        }

        void sendOn(PooledConnection free) {
            link = free;
            link.user = this;
            toldMs = Math.max(1, waitMs - ageMs());
            link.line.send(request, toldMs);
        }

        /**
         * The line ended under the attempt: before its last byte was written the node cannot have run it. Only a write
         * that failed proves that; one of which nothing is told yet may be on its way.
         */
        void lineGone() {
            finish(AttemptResult.withoutReport(
                    withdrawn
                            ? AttemptStatus.NOT_SENT
                            : givenUp
                                    ? AttemptStatus.CANCELLED
                                    : unwritten ? AttemptStatus.UNREACHABLE : AttemptStatus.BROKEN));
        }

        void withdraw() {
            withdrawn = true;
            link.line.close();
        }

        void finish(AttemptResult how) {
            if (!ended) {
                ended = true;
                waiting.onResult(how);
            }
        }

        @Override
        public void cancel() {
            givenUp = true;
            if (link == null) {
                finish(AttemptResult.withoutReport(dialling ? AttemptStatus.UNREACHABLE : AttemptStatus.NOT_SENT));
            } else if (link.user == this) {
                // The end waits for the close: a next attempt must not be out while this one is on an open line.
                link.line.close();
            }
        }
    }
}
