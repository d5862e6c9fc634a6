package opalcove.resp;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import opalcove.core.ClientState;

/**
 * The input of one client connection. It decodes what is read, or buffers it while decoding is paused, and computes how
 * long the input may have been unread. All times are by {@link System#nanoTime}. Owned by the connection's event loop.
 */
final class ConnectionInput {
    /**
     * The age of the last check that a client is connected from which on it is checked again before an attempt: a
     * quarter of the 100 ms after which an attempt for a disconnected client violates an invariant.
     */
    private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
    /**
     * The maximum age of what is known of a client for which an attempt is made: below those 100 ms, less the time from
     * this check to the write.
     */
    private static final long MAX_ATTEMPT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(75);
    /**
     * Input that may have been unread for longer than this is stale; a shorter time is within the slack on deadlines.
     */
    private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** The maximum number of bytes of one poll. Guards other clients against input without end that is not buffered. */
    private static final int MAX_POLL_BYTES = 8 * 1024 * 1024;

    private final DisconnectDetector detector;
    private final RawSocket socket;
    private final RespDecoder decoder;
    private final BooleanSupplier hasOpenRequests;
    /** Bytes that were read and not decoded, because decoding is paused. */
    private final UndecodedInput buffered = new UndecodedInput();
    /** The size of the buffers of undecoded bytes, here and in the decoder, as the detector counts it. */
    private int undecodedBytes;

    private boolean isPaused;
    /** Nothing is read except before an attempt for this client: bytes that arrive stay in the kernel. */
    private boolean isSuspended;
    /** Bytes are decoded even while paused; after the end the decoder drops them. */
    private boolean decodesAll;

    private boolean isEnded;
    /** The decoder is running: it is not reentrant, so bytes that are read meanwhile are buffered. */
    private boolean isDecoding;

    private long bytesReadCount;
    private long polledAt = System.nanoTime();
    /** Whether the last poll ended before the end of the input for want of memory. */
    private boolean isPollShortOfMemory;
    /** When the last poll that reached the end of the input began. */
    private long polledToEndAt = polledAt;
    /** When bytes were last read. */
    private long bytesReadAt = polledAt;
    /** Whether the last read filled its buffer and the socket was not read to its end since. */
    private boolean isMoreUnread;
    /** The number of reads of this turn of the event loop. */
    private int readCount;
    /** Since when the bytes of the last read may have been unread. */
    private long lastReadSince = polledAt;
    /** Up to when this connection had been read to its end before that: nothing unread had arrived by then. */
    private long previousReadToEnd = polledAt;
    /** The same, while not every turn of the event loop reads this connection, and until the first one that does. */
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
        if (!isMoreUnread) {
            // These bytes had not arrived by then, so neither had a disconnect behind them.
            previousReadToEnd = readToEndUpTo();
        }
        bytesReadAt = System.nanoTime();
        long since = unreadSinceNow();
        lastReadSince = since;
        isMoreUnread = !bytes.isWritable();
        readCount++;
        readToEndIfStale(since);
        if (buffered.isEmpty() && mayDecode()) {
            unreadSince = since;
            decode(bytes);
            return;
        }
        if (buffered.isEmpty()) {
            bufferedSince = since;
        }
        buffered.add(socket.compact(bytes));
        countUndecoded();
    }

    /** Whether bytes may be decoded now; else they are buffered. */
    private boolean mayDecode() {
        boolean isHeld = isReadingStopped() && !decodesAll && !isEnded;
        return !isDecoding && !decoder.isWaiting() && !isHeld;
    }

    private void countUndecoded() {
        int undecodedNow = buffered.capacity() + decoder.undecodedBytes();
        detector.addUndecoded(undecodedNow - undecodedBytes);
        undecodedBytes = undecodedNow;
    }

    /** Called when the event loop has read the socket as far as it does in one turn. */
    void readsCompleted() {
        boolean hasReadAll = readCount < RawSocket.MAX_READS_PER_TURN && !isReadingStopped();
        if (hasReadAll) {
            isMoreUnread = false;
            detector.pollCompleted(this);
        }
        readCount = 0;
    }

    /** Whether the event loop has polled this connection since it was resumed. */
    private boolean isReadEachTurn() {
        return !isReadingStopped() && detector.readUpToNanos() - resumedAt >= 0;
    }

    /** Returns up to when this connection is known to be read to its end, unless bytes have been read since. */
    private long readToEndUpTo() {
        return later(polledToEndAt, isReadEachTurn() ? detector.readUpToNanos() : emptyUpTo);
    }

    /** Returns since when bytes that are read now may have been unread. */
    private long unreadSinceNow() {
        if (isReadingStaleInput) {
            return staleSince;
        }
        if (!isReadEachTurn()) {
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
        if (!isReadingStaleInput && !isReadingStopped() && System.nanoTime() - since > STALE_NANOS) {
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
        decodePart(bytes);
        decodeBuffered();
    }

    private void decodePart(ByteBuf bytes) {
        isDecoding = true;
        try {
            decoder.decode(bytes);
        } finally {
            decodingStopped();
        }
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
        decodeBuffered();
    }

    private void decodingStopped() {
        isDecoding = false;
        countUndecoded();
    }

    private void decodeBuffered() {
        while (!buffered.isEmpty() && mayDecode()) {
            unreadSince = bufferedSince;
            decodePart(buffered.poll());
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
        return !buffered.isEmpty() || decoder.undecodedBytes() > 0;
    }

    /**
     * Stops all reads until {@link #resumeSuspended}, so that bytes that arrive stay in the kernel. Guards requests
     * against being read on a connection that the gateway may have to close: the client retries requests that were not
     * read. Only before an attempt for another open request is the connection read all the same, and what is read is
     * buffered.
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
            if (isPaused || hasUndecoded() && isDisconnected()) {
                return;
            }
            decodeBuffered();
            if (!isPaused) {
                readAgain();
            }
        }
    }

    private void stopReading() {
        if (!isReadingStopped()) {
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

    /** Whether nothing is read, except by polls. */
    boolean isReadingStopped() {
        return isPaused || isSuspended;
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
        if (hasUndecoded() && isDisconnected()) {
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
            detector.pollCompleted(this);
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
        detector.pollCompleted(this);
        buffered.release();
        countUndecoded();
    }

    /**
     * Returns what is known of the client of an attempt. If more bytes are unread than may be buffered, the state is
     * unknown; that is counted.
     */
    ClientState clientState() {
        if (isDisconnected()) {
            return ClientState.DISCONNECTED;
        }
        if (System.nanoTime() - connectedUpTo() < MAX_ATTEMPT_AGE_NANOS) {
            return ClientState.CONNECTED;
        }
        detector.checkIncomplete();
        return ClientState.UNKNOWN;
    }

    /**
     * Whether the client is known to have disconnected. Polls the socket if the last check is too old: at most once per
     * turn of the event loop, and once more for each {@link #MAX_AGE_NANOS} of a long turn. A connection that is not
     * paused needs no poll while the loop reads its sockets that often.
     */
    private boolean isDisconnected() {
        if (socket.isOpen() && !isChecked()) {
            poll();
        }
        return !socket.isOpen();
    }

    /**
     * Whether the last check is recent enough. A poll that did not reach the end for want of memory is continued once
     * there is some, but not repeated at once before.
     */
    private boolean isChecked() {
        if (isPollShortOfMemory && reserveBufferSpace()) {
            return false;
        }
        boolean isPolledThisTurn = polledAt - detector.readUpToNanos() >= 0;
        if (isReadingStopped() && !isPolledThisTurn) {
            return false;
        }
        return System.nanoTime() - later(polledAt, connectedUpTo()) < MAX_AGE_NANOS;
    }

    /** Returns up to when the client is known to have been connected: nothing was unread then. */
    private long connectedUpTo() {
        // If bytes were read in this turn of the loop, or not all of them, a disconnect may be unread behind them.
        boolean endMayLieBehind = bytesReadAt - detector.readUpToNanos() >= 0 || isMoreUnread;
        return later(polledToEndAt, endMayLieBehind ? previousReadToEnd : readToEndUpTo());
    }

    private static long later(long firstNanos, long secondNanos) {
        return firstNanos - secondNanos >= 0 ? firstNanos : secondNanos;
    }

    /**
     * Reads until no more bytes arrive, because a disconnect is detected only then. A single read of a paused socket
     * returns at most one buffer, and does not reach a disconnect behind it.
     */
    void poll() {
        polledAt = System.nanoTime();
        long end = bytesReadCount + MAX_POLL_BYTES;
        long before = -1;
        while (bytesReadCount != before && bytesReadCount < end && socket.isOpen() && reserveBufferSpace()) {
            before = bytesReadCount;
            socket.readNow();
        }
        isPollShortOfMemory = bytesReadCount != before && bytesReadCount < end;
        if (bytesReadCount == before) {
            isMoreUnread = false;
            polledToEndAt = polledAt;
            emptyUpTo = polledAt;
            detector.pollCompleted(this);
        }
    }

    private boolean reserveBufferSpace() {
        return mayDecode() || detector.reserveBufferSpace(this, undecodedBytes);
    }
}
