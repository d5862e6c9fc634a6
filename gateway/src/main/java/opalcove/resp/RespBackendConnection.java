package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import opalcove.backend.BackendConnection;
import opalcove.core.AttemptResult;
import opalcove.core.Request;
import org.tinylog.Logger;

/**
 * A RESP2 connection to a backend. It sends attempts and decodes their replies in order. What it delivers keeps no
 * access to it after the end of a reply, because it is reused then. Owned by the event loop of its pool.
 */
final class RespBackendConnection implements BackendConnection, RawSocket.Listener, RespListener {
    /** The maximum number of bytes of a streamed value that one read returns. */
    static final int READ_LIMIT_BYTES = 8 * 1024;
    /** How long a partially received reply may make no progress. */
    private static final long STALL_MS = 300;
    /** How long a streamed value may make no progress while it is read. */
    private static final long STREAM_STALL_MS = 5000;
    /** How long a streamed value may make no progress while its reading is paused because its client reads nothing. */
    private static final long PAUSED_STREAM_STALL_MS = 30_000;

    private static final long NO_TIMER = -1;

    private final Vertx vertx;
    private final NetSocket netSocket;
    private final RawSocket socket;
    private final BackendReplyDecoder replyDecoder;
    private final ReadBufferAllocator readBuffers;
    private final MemoryBudget budget;
    private final MemoryReservation memory;
    private final RespDecoder decoder = new RespDecoder(BackendReplyDecoder.PARTS, this);
    private Listener listener;
    private long stallTimer = NO_TIMER;
    /** The long value of the reply that is arriving; null if there is none. */
    private ReplyStream stream;

    private boolean isPaused;

    /** To be called in the connect handler of the socket, on its context. */
    RespBackendConnection(Vertx vertx, NetSocket netSocket, BackendReplyDecoder replyDecoder, MemoryBudget budget) {
        this.vertx = vertx;
        this.netSocket = netSocket;
        this.replyDecoder = replyDecoder;
        socket = new RawSocket(netSocket, true, this);
        readBuffers = new ReadBufferAllocator(budget, decoder::missingBytes);
        socket.setReadBufferAllocator(readBuffers);
        this.budget = budget;
        memory = new MemoryReservation(budget, this::continueBlocked);
    }

    @Override
    public void setListener(Listener newListener) {
        listener = newListener;
        netSocket.exceptionHandler(this::connectionFailed);
        netSocket.closeHandler(closed -> {
            decoder.stop();
            memory.release();
            cancelStallTimer();
            // An attempt that still waited for the end of this turn was not sent, whichever side closed the connection.
            socket.discardUnflushed();
            if (stream != null) {
                stream.connectionClosed();
            }
            listener.onClosed();
        });
    }

    @Override
    public void bytesRead(ByteBuf bytes) {
        try {
            decoder.decode(bytes);
        } catch (OutOfMemoryError e) {
            allocationFailed(e);
        }
        inputDecoded();
    }

    private void inputDecoded() {
        restartStallTimer();
        if (decoder.isMidValue()) {
            listener.onPartialReply();
        }
    }

    private void connectionFailed(Throwable failure) {
        if (failure instanceof OutOfMemoryError e) {
            budget.allocationFailed(e);
        }
        netSocket.close();
    }

    private void allocationFailed(OutOfMemoryError failure) {
        budget.allocationFailed(failure);
        decodingFailed("no memory for the reply");
    }

    @Override
    public MemoryDecision reserveMemory(RespDecoder reply, int length) {
        if (memory.reserve(memoryUse(), length)) {
            return MemoryDecision.RESERVED;
        }
        memory.await(this::memoryUse, length);
        socket.setAutoRead(false);
        return MemoryDecision.WAIT;
    }

    private MemoryBudget.Use memoryUse() {
        return listener.isNextResponse() ? MemoryBudget.Use.NEXT_RESPONSE : MemoryBudget.Use.LATER_RESPONSE;
    }

    /** Continues the reply whose memory has been reserved. */
    private void continueBlocked() {
        socket.setAutoRead(!isPaused);
        try {
            decoder.continueDecoding();
        } catch (OutOfMemoryError e) {
            allocationFailed(e);
        }
        inputDecoded();
    }

    @Override
    public boolean mayFlush() {
        return listener.maySend();
    }

    @Override
    public void writeFailed() {
        listener.onWriteFailed();
    }

    @Override
    public void valueDecoded(RespDecoder reply) {
        AttemptResult result = replyDecoder.decode(reply);
        stream = null;
        if (result == null) {
            decodingFailed("a reply of unknown form");
        } else {
            listener.onReply(result);
        }
        memory.release();
    }

    /**
     * Guards the attempt against a reply that is shorter than announced: backends write a reply at once, so a partially
     * received reply that makes no progress will not be completed.
     */
    private void restartStallTimer() {
        cancelStallTimer();
        if (decoder.isMidValue()) {
            stallTimer = vertx.setTimer(stallTimeoutMs(), due -> decodingFailed("a reply without an end"));
        }
    }

    private long stallTimeoutMs() {
        if (memory.isWaiting()) {
            return PAUSED_STREAM_STALL_MS;
        }
        if (stream == null || stream.isComplete()) {
            return STALL_MS;
        }
        return isPaused ? PAUSED_STREAM_STALL_MS : STREAM_STALL_MS;
    }

    private void cancelStallTimer() {
        if (stallTimer != NO_TIMER) {
            vertx.cancelTimer(stallTimer);
            stallTimer = NO_TIMER;
        }
    }

    @Override
    public boolean streamStarted(int length) {
        stream = new ReplyStream(length, this::setReading);
        readBuffers.limit(READ_LIMIT_BYTES);
        return listener.acceptsStreamedValue(stream);
    }

    @Override
    public void streamPart(ByteBuf bytes) {
        stream.deliver(bytes);
    }

    @Override
    public void streamEnded() {
        readBuffers.removeLimit();
        stream.complete();
        // The rest of the reply is read even if the client of the value reads nothing.
        setReading(true);
    }

    private void setReading(boolean reads) {
        if (isPaused == reads) {
            isPaused = !reads;
            socket.setAutoRead(reads);
            restartStallTimer();
        }
    }

    /** Closes the connection. The attempt fails as after a reset, and no further input is decoded. */
    @Override
    public void decodingFailed(String reason) {
        Logger.debug("closing a backend connection: {}", reason);
        decoder.stop();
        socket.closeAndDiscard();
    }

    @Override
    public boolean isAlive() {
        socket.readNow();
        return socket.isOpen();
    }

    @Override
    public void send(Request request, double timeoutMs) {
        RequestEncoder.encode(request, timeoutMs, socket);
    }

    @Override
    public void close() {
        socket.closeAndDiscard();
    }
}
