package opalcove.resp;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The input of one client connection: decodes what is read, or buffers it while decoding is paused, and knows how long
 * it may have lain unread. All times are by {@link System#nanoTime}. Owned by the connection's event loop.
 */
final class ConnectionInput {
    /**
     * How old the knowledge that a client is connected may be when an attempt is made for it: a quarter of the 0.1 s
     * after which an attempt for a disconnected client breaks a rule.
     */
    private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
    /** What may have lain unread for longer than this counts as old: less is covered by the slack on deadlines. */
    private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Most bytes that polls may buffer until this connection is read again. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;
    /** Most reads of one poll. They grow to 64 KiB, so that fewer bring as much as may be buffered. */
    private static final int MAX_READS = 16;

    private final DisconnectDetector detector;
    private final RawSocket socket;
    private final RespDecoder decoder;
    private final BooleanSupplier hasOpenRequests;
    /** What was read and not decoded while paused; null for nothing. */
    private ByteBuf buffered;

    private boolean isPaused;
    /** Nothing is read at all, not even by a poll: what arrives stays with the kernel. */
    private boolean isSuspended;
    /** Bytes are decoded, paused or not; after the end the decoder drops them. */
    private boolean decodesAll;

    private boolean isEnded;
    /** Bytes are being decoded at this moment: the decoder cannot take further ones, which are buffered. */
    private boolean isDecoding;

    private long bytesReadCount;
    private long polledAt = System.nanoTime();
    /** When bytes were read last, and up to when the loop had read this connection to its end before that. */
    private long bytesReadAt = polledAt;

    private long previousReadToEnd = polledAt;
    /** While not every turn of the loop reads this connection: up to when it was known to be read to its end. */
    private long emptyUpTo;
    /** When the loop began to read this connection again: what it reads first may be from {@link #emptyUpTo} on. */
    private long resumedAt = polledAt;
    /** Since when what is being decoded may have lain unread, and what is buffered. */
    private long unreadSince = polledAt;

    private long bufferedSince;
    /** What is read until the end of this turn is as old as what was read before it. */
    private boolean isReadingStaleInput;

    private long staleSince;

    ConnectionInput(
            DisconnectDetector detector, RawSocket socket, RespDecoder decoder, BooleanSupplier hasOpenRequests) {
        this.detector = detector;
        this.socket = socket;
        this.decoder = decoder;
        this.hasOpenRequests = hasOpenRequests;
        emptyUpTo = socket.waitingSince();
    }

    boolean hasOpenRequests() {
        return hasOpenRequests.getAsBoolean();
    }

    /** Takes what was read of the socket; the bytes are released here. */
    void bytesRead(ByteBuf bytes) {
        bytesReadCount += bytes.readableBytes();
        // What arrived now was not there when the loop last read all: nor was the end, which comes behind it.
        previousReadToEnd = detector.readUpToNanos();
        bytesReadAt = System.nanoTime();
        long since = unreadSinceNow();
        readToEndIfStale(since);
        if (!isDecoding && (!isPaused || decodesAll || isEnded)) {
            unreadSince = since;
            decode(bytes);
            return;
        }
        if (buffered == null) {
            buffered = socket.allocate(bytes.readableBytes());
            bufferedSince = since;
        }
        detector.addBuffered(bytes.readableBytes());
        buffered.writeBytes(bytes);
        bytes.release();
    }

    /** Since when what is read now may have lain unread. */
    private long unreadSinceNow() {
        if (isReadingStaleInput) {
            return staleSince;
        }
        boolean isReadEachTurn = !isPaused && !isSuspended && previousReadToEnd - resumedAt >= 0;
        return isReadEachTurn ? detector.unreadSinceNanos() : emptyUpTo;
    }

    /**
     * Where what was read may be old, what lies behind it may be as old: it is read in this turn, too. Guards against
     * reads that bring less than there is, after which the next turn would take the rest for new.
     */
    private void readToEndIfStale(long since) {
        if (!isReadingStaleInput && !isPaused && !isSuspended && System.nanoTime() - since > STALE_NANOS) {
            isReadingStaleInput = true;
            staleSince = since;
            detector.vertx().runOnContext(turnEnds -> {
                poll();
                isReadingStaleInput = false;
            });
        }
    }

    /** Decodes bytes, and then those that polls for an attempt of theirs have brought. */
    private void decode(ByteBuf bytes) {
        isDecoding = true;
        try {
            decoder.decode(bytes);
        } finally {
            isDecoding = false;
        }
        if (!isPaused || decodesAll || isEnded) {
            decodeBuffered();
        }
    }

    private void decodeBuffered() {
        ByteBuf bytes = buffered;
        if (bytes != null && !isDecoding) {
            buffered = null;
            detector.removeBuffered(bytes.readableBytes());
            unreadSince = bufferedSince;
            decode(bytes);
        }
    }

    boolean isPaused() {
        return isPaused;
    }

    /** How long what is being decoded may have lain unread, ms: an upper bound, as far as it can be known. */
    double unreadMs() {
        return Math.max(0, System.nanoTime() - unreadSince) / 1e6;
    }

    /** Whether something was read and not decoded. */
    boolean hasBuffered() {
        return buffered != null;
    }

    /**
     * Leaves all that arrives with the kernel until {@link #resumeSuspended}. Guards what arrives against being read by
     * a gateway that may have to end the connection: its client sends again what was not read.
     */
    void suspend() {
        if (!isSuspended) {
            stopReading();
            isSuspended = true;
        }
    }

    boolean isSuspended() {
        return isSuspended;
    }

    /** Reads again after {@link #suspend}, unless paused. */
    void resumeSuspended() {
        if (isSuspended) {
            isSuspended = false;
            if (!isPaused) {
                readAgain();
            }
        }
    }

    private void stopReading() {
        if (!isPaused && !isSuspended) {
            emptyUpTo = detector.readUpToNanos();
            socket.setAutoRead(false);
        }
    }

    private void readAgain() {
        if (!isSuspended) {
            resumedAt = System.nanoTime();
            socket.setAutoRead(true);
        }
    }

    /** Decodes nothing for now; the connection is polled for a disconnect. */
    void pause() {
        if (!isPaused) {
            stopReading();
            isPaused = true;
            detector.addPaused(this);
        }
    }

    /**
     * Decodes again, what was buffered first. Guards what was buffered of a client that has disconnected meanwhile
     * against being served: it is dropped with the connection.
     */
    void resume() {
        if (buffered != null && !isConnected()) {
            return;
        }
        isPaused = false;
        detector.removePaused(this);
        decodeBuffered();
        // What was buffered may have paused it again.
        if (!isPaused) {
            readAgain();
        }
    }

    /** Decodes all that lies unread now, paused or not. Not to be called while this connection is being read. */
    void decodeUnread() {
        decodesAll = true;
        decodeBuffered();
        if (!isSuspended) {
            socket.readNow();
        }
        decodesAll = false;
    }

    /** From now on all that arrives is dropped, by a decoder that has stopped. */
    void discardFurther() {
        isEnded = true;
    }

    /** Ends decoding and polling, and releases what was buffered. */
    void close() {
        isEnded = true;
        decoder.stop();
        detector.removePaused(this);
        if (buffered != null) {
            detector.removeBuffered(buffered.readableBytes());
            buffered.release();
            buffered = null;
        }
    }

    /**
     * Whether the client is still connected. Polls the socket where the last poll is too old, at most once a turn of
     * the event loop, and once more in each {@link #MAX_AGE_NANOS} of a long turn; a connection that is read costs no
     * poll of its own while the loop reads its sockets that often. Not known, and so assumed to be connected, where
     * more lies unread than may be buffered.
     */
    boolean isConnected() {
        if (socket.isOpen() && !isSuspended && !isKnown()) {
            poll();
        }
        return socket.isOpen();
    }

    private boolean isKnown() {
        long loopReadUpTo = detector.readUpToNanos();
        if (isPaused && polledAt - loopReadUpTo < 0) {
            return false;
        }
        // Where this turn of the loop brought bytes, the end may lie unread behind them.
        boolean endMayLieBehind = bytesReadAt - loopReadUpTo >= 0;
        long readToEnd = endMayLieBehind ? previousReadToEnd : loopReadUpTo;
        long known = polledAt - readToEnd >= 0 ? polledAt : readToEnd;
        return System.nanoTime() - known < MAX_AGE_NANOS;
    }

    /**
     * Reads until nothing more arrives, for the end shows only then; a single read of a paused socket brings no more
     * than one buffer, and ends before the end that lies behind it.
     */
    void poll() {
        if (isSuspended) {
            return;
        }
        polledAt = System.nanoTime();
        long before = -1;
        for (int reads = 0;
                reads < MAX_READS && bytesReadCount != before && socket.isOpen() && hasBufferSpace();
                reads++) {
            before = bytesReadCount;
            socket.readNow();
        }
        if (bytesReadCount == before) {
            emptyUpTo = polledAt;
        }
    }

    private boolean hasBufferSpace() {
        boolean isBuffering = isDecoding || isPaused && !isEnded;
        return !isBuffering
                || detector.hasBufferSpace() && (buffered == null || buffered.readableBytes() < MAX_BUFFERED_BYTES);
    }
}
