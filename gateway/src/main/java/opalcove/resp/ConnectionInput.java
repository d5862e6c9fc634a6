package opalcove.resp;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The input of one client connection. It decodes what is read, or buffers it while decoding is paused, and computes how
 * long the input may have been unread. All times are by {@link System#nanoTime}. Owned by the connection's event loop.
 */
final class ConnectionInput {
    /**
     * The maximum age of the last check that a client is connected when an attempt is made for it: a quarter of the
     * 100 ms after which an attempt for a disconnected client violates an invariant.
     */
    private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
    /**
     * Input that may have been unread for longer than this is stale; a shorter time is within the slack on deadlines.
     */
    private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** The maximum number of bytes that polls buffer until this connection is read again. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;
    /** The maximum number of reads of one poll. Reads grow to 64 KiB, so fewer reach the buffer limit. */
    private static final int MAX_READS = 16;

    private final DisconnectDetector detector;
    private final RawSocket socket;
    private final RespDecoder decoder;
    private final BooleanSupplier hasOpenRequests;
    /** Bytes that were read and not decoded, because decoding is paused; null if there are none. */
    private ByteBuf buffered;
    /** The size of the buffers of undecoded bytes, here and in the decoder, as the detector counts it. */
    private int undecodedBytes;

    private boolean isPaused;
    /** Nothing is read at all, not even by a poll: bytes that arrive stay in the kernel. */
    private boolean isSuspended;
    /** Bytes are decoded even while paused; after the end the decoder drops them. */
    private boolean decodesAll;

    private boolean isEnded;
    /** The decoder is running: it is not reentrant, so bytes that are read meanwhile are buffered. */
    private boolean isDecoding;

    private long bytesReadCount;
    private long polledAt = System.nanoTime();
    /** When bytes were last read. */
    private long bytesReadAt = polledAt;
    /** Whether the last read filled its buffer and the socket was not read to its end since. */
    private boolean isMoreUnread;
    /** The number of reads of this turn of the event loop. */
    private int readCount;
    /** Since when the bytes of the last read may have been unread. */
    private long lastReadSince = polledAt;
    /** Up to when the event loop had read this connection to its end before that. */
    private long previousReadToEnd = polledAt;
    /** Up to when this connection was known to be read to its end, while not every turn of the event loop reads it. */
    private long emptyUpTo;
    /**
     * When the event loop resumed reading this connection: the first bytes may have arrived since {@link #emptyUpTo}.
     */
    private long resumedAt = polledAt;
    /** Since when the bytes that are being decoded may have been unread. */
    private long unreadSince = polledAt;
    /** Since when the buffered bytes may have been unread. */
    private long bufferedSince;
    /** Bytes read until the end of this turn may be as old as those read before them. */
    private boolean isReadingStaleInput;
    /** Since when those bytes may have been unread. */
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

    /** Decodes or buffers bytes that were read from the socket, and releases them. */
    void bytesRead(ByteBuf bytes) {
        bytesReadCount += bytes.readableBytes();
        // These bytes had not arrived when the loop last read to the end, so neither had a disconnect behind them.
        previousReadToEnd = detector.readUpToNanos();
        bytesReadAt = System.nanoTime();
        long since = unreadSinceNow();
        lastReadSince = since;
        isMoreUnread = !bytes.isWritable();
        readCount++;
        readToEndIfStale(since);
        if (!isDecoding && !decoder.isWaiting() && (!isPaused || decodesAll || isEnded)) {
            unreadSince = since;
            decode(bytes);
            return;
        }
        if (buffered == null) {
            buffered = socket.allocate(bytes.readableBytes());
            bufferedSince = since;
        }
        try {
            buffered.writeBytes(bytes);
        } finally {
            bytes.release();
            countUndecoded();
        }
    }

    private void countUndecoded() {
        int undecodedNow = (buffered == null ? 0 : buffered.capacity()) + decoder.undecodedBytes();
        detector.addBuffered(undecodedNow - undecodedBytes);
        undecodedBytes = undecodedNow;
    }

    /** Called when the event loop has read the socket as far as it does in one turn. */
    void readsCompleted() {
        boolean hasReadAll = readCount < RawSocket.MAX_READS_PER_TURN && !isPaused && !isSuspended;
        if (hasReadAll) {
            isMoreUnread = false;
        }
        readCount = 0;
    }

    /** Returns since when bytes that are read now may have been unread. */
    private long unreadSinceNow() {
        if (isReadingStaleInput) {
            return staleSince;
        }
        boolean isReadEachTurn = !isPaused && !isSuspended && previousReadToEnd - resumedAt >= 0;
        if (!isReadEachTurn) {
            return emptyUpTo;
        }
        return isMoreUnread ? lastReadSince : detector.unreadSinceNanos();
    }

    /**
     * Reads the rest of the input in this turn if the bytes just read may be stale, because the rest may be as old.
     * Guards against reads that return only a part of the input, after which the next turn would regard the rest as
     * new.
     */
    private void readToEndIfStale(long since) {
        if (!isReadingStaleInput && !isPaused && !isSuspended && System.nanoTime() - since > STALE_NANOS) {
            isReadingStaleInput = true;
            staleSince = since;
            detector.vertx().runOnContext(turnEnds -> {
                if (!isPaused) {
                    poll();
                }
                isReadingStaleInput = false;
            });
        }
    }

    /** Decodes the bytes, and then those that polls read for an attempt that the bytes caused. */
    private void decode(ByteBuf bytes) {
        isDecoding = true;
        try {
            decoder.decode(bytes);
        } finally {
            decodingStopped();
        }
        decodeBufferedIfAllowed();
    }

    /** Continues decoding that was paused with bytes of the last read undecoded, although reading may stay paused. */
    void resumeDecoder() {
        if (decoder.isPaused()) {
            continueDecoder(decoder::resume);
        }
    }

    /** Continues decoding that was paused or waited for memory, with or without it, by this call of the decoder. */
    void continueDecoder(Runnable continueDecoder) {
        if (isDecoding) {
            continueDecoder.run();
            return;
        }
        isDecoding = true;
        try {
            continueDecoder.run();
        } finally {
            decodingStopped();
        }
        decodeBufferedIfAllowed();
    }

    private void decodingStopped() {
        isDecoding = false;
        countUndecoded();
    }

    private void decodeBufferedIfAllowed() {
        if (!isPaused || decodesAll || isEnded) {
            decodeBuffered();
        }
    }

    private void decodeBuffered() {
        ByteBuf bytes = buffered;
        if (bytes != null && !isDecoding && !decoder.isWaiting()) {
            buffered = null;
            unreadSince = bufferedSince;
            decode(bytes);
        }
    }

    boolean isPaused() {
        return isPaused;
    }

    /** How long the bytes being decoded may have been unread, ms: an upper bound, as far as it can be determined. */
    double unreadMs() {
        return Math.max(0, System.nanoTime() - unreadSince) / 1e6;
    }

    /** Whether bytes were read and not decoded. */
    boolean hasUndecoded() {
        return buffered != null || decoder.undecodedBytes() > 0;
    }

    /**
     * Stops all reads until {@link #resumeSuspended}, so that bytes that arrive stay in the kernel. Guards requests
     * against being read on a connection that the gateway may have to close: the client retries requests that were not
     * read.
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

    /** Resumes reading after {@link #suspend}, unless paused. */
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
            emptyUpTo = isMoreUnread ? lastReadSince : detector.readUpToNanos();
            socket.setAutoRead(false);
        }
    }

    private void readAgain() {
        if (!isSuspended) {
            resumedAt = System.nanoTime();
            socket.setAutoRead(true);
        }
    }

    /** Pauses decoding; meanwhile the connection is polled for a disconnect. */
    void pause() {
        if (!isPaused) {
            stopReading();
            isPaused = true;
            detector.addPaused(this);
        }
    }

    /**
     * Resumes decoding, beginning with the buffered bytes. Guards against serving buffered commands of a client that
     * has disconnected meanwhile: they are dropped with the connection.
     */
    void resume() {
        if (hasUndecoded() && !isConnected()) {
            return;
        }
        isPaused = false;
        detector.removePaused(this);
        resumeDecoder();
        if (!isPaused) {
            decodeBuffered();
        }
        // A buffered command may have paused decoding again.
        if (!isPaused) {
            readAgain();
        }
    }

    /** Decodes all input that is unread now, even while paused. Must not be called within a read of this connection. */
    void decodeUnread() {
        decodesAll = true;
        resumeDecoder();
        decodeBuffered();
        if (!isSuspended && !decoder.isWaiting()) {
            socket.readNow();
        }
        decodesAll = false;
    }

    /** Drops all bytes that arrive from now on; the decoder has stopped. */
    void discardFurther() {
        isEnded = true;
    }

    /** Ends decoding and polling, and releases the buffered bytes. */
    void close() {
        isEnded = true;
        decoder.stop();
        detector.removePaused(this);
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
        countUndecoded();
    }

    /**
     * Whether the client is still connected. Polls the socket if the last check is too old: at most once per turn of
     * the event loop, and once more for each {@link #MAX_AGE_NANOS} of a long turn. A connection that is not paused
     * needs no poll while the loop reads its sockets that often. If more bytes are unread than may be buffered, the
     * state is unknown and the client is assumed to be connected.
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
        // If bytes were read in this turn of the loop, a disconnect may be unread behind them.
        boolean endMayLieBehind = bytesReadAt - loopReadUpTo >= 0;
        long readToEnd = endMayLieBehind ? previousReadToEnd : loopReadUpTo;
        long known = polledAt - readToEnd >= 0 ? polledAt : readToEnd;
        return System.nanoTime() - known < MAX_AGE_NANOS;
    }

    /**
     * Reads until no more bytes arrive, because a disconnect is detected only then. A single read of a paused socket
     * returns at most one buffer, and does not reach a disconnect behind it.
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
            isMoreUnread = false;
            emptyUpTo = polledAt;
        }
    }

    private boolean hasBufferSpace() {
        boolean isBuffering = isDecoding || isPaused && !isEnded;
        return !isBuffering || detector.hasBufferSpace() && undecodedBytes < MAX_BUFFERED_BYTES;
    }
}
