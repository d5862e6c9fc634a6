package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import opalcove.lifecycle.Application;

/**
 * What a front reads of its clients' connections, and whether a client is still connected. That a client has left, by
 * a close or a reset, shows only in a read, and only behind all that it sent before. A connection that is read tells
 * it within a turn of the event loop. One whose reading is paused is read all the same, with its bytes kept for
 * later: from time to time, and right before an attempt is made for it.
 */
final class DisconnectDetector {
    /**
     * How often paused connections that are owed answers are looked at, ms: what waits for a client that left is
     * ended.
     */
    private static final long LOOK_MS = 100;
    /**
     * How old the knowledge that a client is connected may be when an attempt is made for it, ns: a quarter of the 0.1
     * s after which an attempt for a client that left breaks a rule.
     */
    private static final long STALE_NS = TimeUnit.MILLISECONDS.toNanos(25);
    /** What may have lain unread for longer than this counts as old, ns: less is covered by the slack on deadlines. */
    private static final long OLD_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /**
     * Most bytes that looks may bring and that are kept till the connection is read again: of one, and of all
     * together.
     */
    private static final int MOST_KEPT = 256 * 1024;

    private static final int MOST_KEPT_ALL = 2 * 1024 * 1024;
    /** Most reads of one look. They grow to 64 KiB, so that fewer bring as much as may be kept. */
    private static final int MOST_READS = 16;

    private final Vertx vertx;
    /** Up to when the event loop has read the connections that are not paused. */
    private final LongSupplier readUpTo;
    /** Since when what the event loop reads in this turn may have lain unread. */
    private final LongSupplier unreadSince;

    private final Set<Input> paused = new HashSet<>();
    private boolean timerSet;
    /** Bytes kept, of all connections. */
    private int keptAll;

    /** Made on the event loop of the connections. */
    DisconnectDetector(Vertx vertx) {
        this.vertx = vertx;
        readUpTo = Application.readUpTo(vertx);
        unreadSince = Application.unreadSince(vertx);
    }

    /** Looks at a paused connection only while it is owed answers: nothing waits for a client otherwise. */
    Input input(RawSocket socket, RespDecoder reader, BooleanSupplier isOwedAnswers) {
        return new Input(socket, reader, isOwedAnswers);
    }

    private void setTimer() {
        timerSet = true;
        vertx.setTimer(LOOK_MS, due -> lookAtPaused());
    }

    private void lookAtPaused() {
        for (Input each : List.copyOf(paused)) {
            if (each.isOwedAnswers.getAsBoolean()) {
                each.look();
            }
        }
        timerSet = false;
        if (!paused.isEmpty()) {
            setTimer();
        }
    }

    /** The input of one connection. */
    final class Input {
        private final RawSocket socket;
        private final RespDecoder reader;
        private final BooleanSupplier isOwedAnswers;
        /** What was read and not looked into while paused; null for nothing. */
        private ByteBuf kept;

        private boolean isPaused;
        /** Nothing is read at all, not even by a look: what comes stays with the system. */
        private boolean isHeld;
        /** Bytes are looked into, paused or not; after the end they are dropped by the reader. */
        private boolean readsAll;

        private boolean ended;
        /** Bytes are being looked into at this moment: the reader cannot take further ones, which are kept. */
        private boolean reading;

        private long bytesRead;
        private long lookedAt = System.nanoTime();
        /** When bytes were read last, and up to when the loop had read this connection to its end before that. */
        private long bytesReadAt = lookedAt;

        private long readToEndBefore = lookedAt;
        /** While not every turn of the loop reads this connection: up to when it was known to be read to its end. */
        private long emptyUpTo;
        /** When the loop began to read this connection again: what it reads first may have come since {@link #emptyUpTo}. */
        private long readAgainAt = lookedAt;
        /** Since when what is being looked into may have lain unread, and what is kept. */
        private long cameSince = lookedAt;

        private long keptSince;
        /** What is read till the end of this turn is as old as what was read before it. */
        private boolean readsToEnd;

        private long oldSince;

        private Input(RawSocket socket, RespDecoder reader, BooleanSupplier isOwedAnswers) {
            this.socket = socket;
            this.reader = reader;
            this.isOwedAnswers = isOwedAnswers;
            emptyUpTo = socket.waitingSince();
        }

        /** Takes what was read of the socket; the bytes are released here. */
        void read(ByteBuf bytes) {
            bytesRead += bytes.readableBytes();
            // What came now was not there when the loop last read all: nor was the end, which comes behind it.
            readToEndBefore = readUpTo.getAsLong();
            bytesReadAt = System.nanoTime();
            long since = cameSinceNow();
            readToEndIfOld(since);
            if (!reading && (!isPaused || readsAll || ended)) {
                cameSince = since;
                take(bytes);
                return;
            }
            if (kept == null) {
                kept = socket.aside(bytes.readableBytes());
                keptSince = since;
            }
            keptAll += bytes.readableBytes();
            kept.writeBytes(bytes);
            bytes.release();
        }

        /** Since when what is read now may have lain unread. */
        private long cameSinceNow() {
            if (readsToEnd) {
                return oldSince;
            }
            boolean readEachTurn = !isPaused && !isHeld && readToEndBefore - readAgainAt >= 0;
            return readEachTurn ? unreadSince.getAsLong() : emptyUpTo;
        }

        /**
         * Where what was read may be old, what lies behind it may be as old: it is read in this turn, too. Guards against reads
         * that bring less than there is, after which the next turn takes the rest for new.
         */
        private void readToEndIfOld(long since) {
            if (!readsToEnd && !isPaused && !isHeld && System.nanoTime() - since > OLD_NS) {
                readsToEnd = true;
                oldSince = since;
                vertx.runOnContext(turnEnds -> {
                    look();
                    readsToEnd = false;
                });
            }
        }

        /** Looks into bytes, and then into those that looks for an attempt of theirs have brought. */
        private void take(ByteBuf bytes) {
            reading = true;
            try {
                reader.take(bytes);
            } finally {
                reading = false;
            }
            if (!isPaused || readsAll || ended) {
                takeKept();
            }
        }

        private void takeKept() {
            ByteBuf bytes = kept;
            if (bytes != null && !reading) {
                kept = null;
                keptAll -= bytes.readableBytes();
                cameSince = keptSince;
                take(bytes);
            }
        }

        boolean isPaused() {
            return isPaused;
        }

        /** How long what is being looked into may have lain unread, ms, as far as can be known: no less than it did. */
        double unreadMs() {
            return Math.max(0, System.nanoTime() - cameSince) / 1e6;
        }

        /** Whether something was read and not looked into. */
        boolean hasKept() {
            return kept != null;
        }

        /**
         * Leaves all that comes with the system, until it is let go. Guards what comes against being read by a gateway that
         * may have to end the connection: its client sends again what was not read.
         */
        void hold() {
            if (!isHeld) {
                stopReading();
                isHeld = true;
            }
        }

        boolean isHeld() {
            return isHeld;
        }

        /** Reads on after a hold. */
        void letGo() {
            if (isHeld) {
                isHeld = false;
                if (!isPaused) {
                    readAgain();
                }
            }
        }

        private void stopReading() {
            if (!isPaused && !isHeld) {
                emptyUpTo = readUpTo.getAsLong();
                socket.reads(false);
            }
        }

        private void readAgain() {
            if (!isHeld) {
                readAgainAt = System.nanoTime();
                socket.reads(true);
            }
        }

        /** What comes is not looked into for now. */
        void pause() {
            if (!isPaused) {
                stopReading();
                isPaused = true;
                paused.add(this);
                if (!timerSet) {
                    setTimer();
                }
            }
        }

        /**
         * Reads on, with what was kept first. Guards what was kept of a client that has left meanwhile against being
         * served: it is dropped with the connection.
         */
        void resume() {
            if (kept != null && !isConnected()) {
                return;
            }
            isPaused = false;
            paused.remove(this);
            takeKept();
            // What came meanwhile may have it wait again.
            if (!isPaused) {
                readAgain();
            }
        }

        /** Looks into all that lies unread now, paused or not. Not to be called while this connection is being read. */
        void readAll() {
            readsAll = true;
            takeKept();
            if (!isHeld) {
                socket.readNow();
            }
            readsAll = false;
        }

        /** From now on all that comes is dropped, by a reader that has stopped. */
        void drop() {
            ended = true;
        }

        /** Nothing is looked at any more, and what was kept is let go. */
        void end() {
            ended = true;
            reader.stop();
            paused.remove(this);
            if (kept != null) {
                keptAll -= kept.readableBytes();
                kept.release();
                kept = null;
            }
        }

        /**
         * Whether the client is still connected. Looks at the socket where the last look is too old, at most once a
         * turn of the event loop, and once more in each {@link #STALE_NS} of a long turn; a connection that is read
         * costs no look of its own while the loop comes to its sockets that often. Not known, and so taken to be
         * connected, where more lies unread than may be kept.
         */
        boolean isConnected() {
            if (socket.isOpen() && !isHeld && !isKnown()) {
                look();
            }
            return socket.isOpen();
        }

        private boolean isKnown() {
            long loopReadUpTo = readUpTo.getAsLong();
            if (isPaused && lookedAt - loopReadUpTo < 0) {
                return false;
            }
            // Where this turn of the loop brought bytes, the end may lie unread behind them.
            boolean endMayLieBehind = bytesReadAt - loopReadUpTo >= 0;
            long readToEnd = endMayLieBehind ? readToEndBefore : loopReadUpTo;
            long known = lookedAt - readToEnd >= 0 ? lookedAt : readToEnd;
            return System.nanoTime() - known < STALE_NS;
        }

        /**
         * Reads till nothing more comes, for the end shows only then; a single read of a paused socket brings no more
         * than one buffer, and ends before the end that lies behind it.
         */
        private void look() {
            if (isHeld) {
                return;
            }
            lookedAt = System.nanoTime();
            long before = -1;
            for (int reads = 0; reads < MOST_READS && bytesRead != before && socket.isOpen() && hasRoom(); reads++) {
                before = bytesRead;
                socket.readNow();
            }
            if (bytesRead == before) {
                emptyUpTo = lookedAt;
            }
        }

        private boolean hasRoom() {
            boolean keeps = reading || isPaused && !ended;
            return !keeps || keptAll < MOST_KEPT_ALL && (kept == null || kept.readableBytes() < MOST_KEPT);
        }
    }
}
