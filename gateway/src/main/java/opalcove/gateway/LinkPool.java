package opalcove.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import opalcove.decision.Admission;
import org.tinylog.Logger;

/**
 * Links to the app nodes over any wire. A line carries one attempt at a time, so that no answer waits behind another
 * and an attempt is given up, as its node can see, by closing its line. Lines are used again, the latest first.
 */
public final class LinkPool implements NodeLinks {
    /**
     * The part of the nodes' idle time after which a line is closed here. Guards against writing to a line that its
     * node has just closed, which would end as a reset that may have run; a node may be earlier than it told.
     */
    private static final double IDLE_PART = 0.5;
    private static final double IDLE_DEFAULT_MS = 10_000;
    private static final long SWEEP_MS = 1000;
    /** How often the lines that just carried an answer are looked at, ms. */
    private static final long SETTLE_MS = 10;

    /**
     * How long each attempt gets a line of its own after a used line has broken under one. Guards against nodes, and
     * machines between, that drop lines at rest: such a break may have run and tells nothing of the node's health.
     */
    private static final double DISTRUST_MS = 10_000;

    /** Opens lines on one wire. */
    public interface Dialler {
        /** Succeeds with a line that is ready for an attempt, or fails within the settings' time for connecting. */
        Future<Line> dial(String address);
    }

    /** One connection to an app node. */
    public interface Line {
        /**
         * Names who hears of the node's reply to an attempt and, once, of the end of the connection. What cannot be read
         * ends the line: that attempt may have run.
         */
        void attach(Consumer<NodeEnd> replies, Runnable closed);

        /** Sends an attempt; succeeds once its last byte is written. */
        Future<Void> send(Ask ask, double waitMs);

        void close();
    }

    private final Dialler dialler;
    private final double idleMs;
    private final int most;
    private final Vertx vertx;
    /** By node; a shelf leaves with its node. */
    private final Map<String, Shelf> shelves = new HashMap<>();
    private List<Link> settling = new ArrayList<>();
    private List<Link> settledOnce = new ArrayList<>();
    private int links;
    private boolean distrusted;
    private long brokeAt;

    public LinkPool(Vertx vertx, Admission.Settings settings, Dialler dialler, int most) {
        this.vertx = vertx;
        this.dialler = dialler;
        this.most = most;
        double told = settings.limits().idleCloseMs();
        idleMs = (told > 0 ? told : IDLE_DEFAULT_MS) * IDLE_PART;
        vertx.setPeriodic(SWEEP_MS, swept -> closeIdle());
    }

    @Override
    public Attempt attempt(AppNode node, Ask ask, double waitMs) {
        Carried attempt = new Carried(ask, waitMs);
        Shelf shelf = shelves.computeIfAbsent(node.name(), name -> new Shelf());
        if (!shelf.idle.isEmpty()) {
            attempt.sendOn(shelf.idle.pollFirst());
        } else if (links >= most) {
            // Guards the descriptors that terminals need.
            attempt.finish(NodeEnd.silent(Admission.Result.UNREACHABLE));
        } else {
            links++;
            dial(node.address()).onComplete(dialled -> {
                if (dialled.failed()) {
                    links--;
                    attempt.finish(NodeEnd.silent(Admission.Result.UNREACHABLE));
                } else {
                    attempt.dialled(new Link(dialled.result(), shelf));
                }
            });
        }
        return attempt;
    }

    /** Guards the ask against a node list that gives no usable address: that node cannot be reached. */
    private Future<Line> dial(String address) {
        try {
            return dialler.dial(address);
        } catch (BadSettings e) {
            Logger.warn("an app node cannot be dialled: {}", e.getMessage());
            return Future.failedFuture(e);
        }
    }

    @Override
    public void forget(AppNode node) {
        Shelf shelf = shelves.remove(node.name());
        if (shelf != null) {
            shelf.open = false;
            List.copyOf(shelf.idle).forEach(link -> link.line.close());
        }
    }

    @Override
    public int open() {
        return links;
    }

    @Override
    public int resting() {
        return shelves.values().stream().mapToInt(shelf -> shelf.idle.size()).sum();
    }

    private boolean reusable() {
        distrusted &= (System.nanoTime() - brokeAt) / 1e6 < DISTRUST_MS;
        return !distrusted;
    }

    private void distrust() {
        distrusted = true;
        brokeAt = System.nanoTime();
        shelves.values().forEach(shelf -> List.copyOf(shelf.idle).forEach(link -> link.line.close()));
    }

    private void closeIdle() {
        long now = System.nanoTime();
        for (Shelf shelf : shelves.values()) {
            while (!shelf.idle.isEmpty() && (now - shelf.idle.peekLast().idleSince) / 1e6 > idleMs) {
                shelf.idle.pollLast().line.close();
            }
        }
    }

    /**
     * Guards the next attempt against bytes that follow an answer (a second copy, noise): a line is used again only
     * after two of these turns. Between them the event loop has read what had come by then, and what comes while a
     * line rests closes it.
     */
    private void settle(Link link) {
        if (settling.isEmpty() && settledOnce.isEmpty()) {
            vertx.setTimer(SETTLE_MS, due -> settleTurn());
        }
        settling.add(link);
    }

    private void settleTurn() {
        settledOnce.forEach(Link::rest);
        settledOnce = settling;
        settling = new ArrayList<>();
        if (!settledOnce.isEmpty()) {
            vertx.setTimer(SETTLE_MS, due -> settleTurn());
        }
    }

    /** The idle lines to one node, the latest first. It is closed once the list has the node take no new work, or elsewhere. */
    private static final class Shelf {
        final Deque<Link> idle = new ArrayDeque<>();
        boolean open = true;
    }

    /** A line and the attempt that it carries. */
    private final class Link {
        final Line line;
        final Shelf shelf;
        Carried user;
        long idleSince;
        boolean used;
        boolean ended;

        Link(Line line, Shelf shelf) {
            this.line = line;
            this.shelf = shelf;
            line.attach(this::replied, this::gone);
        }

        private void replied(NodeEnd end) {
            Carried done = user;
            if (done == null) {
                // Guards the next attempt against an answer that belongs to none.
                line.close();
                return;
            }
            user = null;
            used = true;
            settle(this);
            done.finish(end);
        }

        void rest() {
            if (ended) {
                return;
            }
            if (shelf.open && reusable()) {
                idleSince = System.nanoTime();
                shelf.idle.addFirst(this);
            } else {
                // Guards also a new node at the same place, and a drained one, against lines of the one that left.
                line.close();
            }
        }

        private void gone() {
            ended = true;
            links--;
            shelf.idle.remove(this);
            if (user != null) {
                if (used && !user.givenUp) {
                    distrust();
                }
                user.lineGone();
            }
        }
    }

    /** One attempt on one line. */
    private static final class Carried implements Attempt {
        private final Promise<NodeEnd> end = Promise.promise();
        private final Ask ask;
        private final double waitMs;
        private final long startedAt = System.nanoTime();
        private Link link;
        private boolean unwritten;
        private boolean givenUp;

        Carried(Ask ask, double waitMs) {
            this.ask = ask;
            this.waitMs = waitMs;
        }

        void dialled(Link fresh) {
            if (givenUp) {
                fresh.rest();
            } else {
                sendOn(fresh);
            }
        }

        void sendOn(Link free) {
            link = free;
            link.user = this;
            double left = waitMs - (System.nanoTime() - startedAt) / 1e6;
            link.line.send(ask, Math.max(1, left)).onFailure(cut -> unwritten = true);
        }

        /**
         * The line ended under the attempt: before its last byte was written the node cannot have run it. Only a write
         * that failed proves that; one of which nothing is told yet may be on its way.
         */
        void lineGone() {
            finish(NodeEnd.silent(givenUp ? Admission.Result.CANCELLED
                    : unwritten ? Admission.Result.UNREACHABLE : Admission.Result.BROKEN));
        }

        void finish(NodeEnd how) {
            end.tryComplete(how);
        }

        @Override
        public Future<NodeEnd> end() {
            return end.future();
        }

        @Override
        public void giveUp() {
            givenUp = true;
            if (link == null) {
                finish(NodeEnd.silent(Admission.Result.UNREACHABLE));
            } else if (link.user == this) {
                // The end waits for the close: a next attempt must not be out while this one is on an open line.
                link.line.close();
            }
        }
    }
}
