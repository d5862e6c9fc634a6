package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import opalcove.metrics.ConnectionCloseReason;
import opalcove.metrics.Invariant;
import opalcove.metrics.ShedReason;
import org.tinylog.Logger;

/**
 * A client connection. Its commands are read and executed in order. It is closed when its client disconnects, when its
 * input cannot be decoded, or when it is idle. Owned by the server's event loop.
 */
final class ClientConnection implements RawSocket.Listener, RespListener {
    /** The number of commands that await responses at which reading is paused. */
    private static final int MAX_PIPELINED = 256;

    private static final int MAX_COMMAND_ITEMS = 8;
    /** The number of written bytes that a client has not read at which reading is paused. */
    private static final int MAX_UNSENT_BYTES = 16 * 1024;
    /** How long reading is paused after an invalid command, multiplied by the number of invalid commands so far, ms. */
    private static final long ERROR_PAUSE_MS = 50;
    /**
     * The limit of that multiplier. Guards valid requests behind an invalid one on a connection that many clients
     * share: a request that waits longer than 0.5 s for its response is lost, however short its own deadline.
     */
    private static final int MAX_ERROR_PAUSES = 4;

    /** The input that is read after the output was closed. Guards the processor against a client that goes on sending. */
    private static final long MAX_DISCARDED_BYTES = 256 * 1024;

    private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(OpenConnections.IDLE_TIMEOUT_MS);

    private final ServerContext server;
    private final NetSocket netSocket;
    private final RawSocket socket;
    private final RespDecoder decoder = new RespDecoder(MAX_COMMAND_ITEMS, this);
    private final ResponsePipeline pipeline;
    private final ConnectionInput input;
    private final InputMemory memory;
    private final CommandScheduler.Share turnShare = new CommandScheduler.Share();
    /** Reading is paused until half of the pipelined commands have their responses. */
    private boolean isPipelineFull;
    /** The written bytes that the client does not read and that the memory budget counts. */
    private int unsentBytes;

    private long lastUsedNanos = System.nanoTime();
    /** When bytes last arrived, by {@link System#nanoTime}; tells whether a partially received command progresses. */
    private long lastReadNanos = lastUsedNanos;

    private int errorCount;
    private boolean isPausedForError;
    private boolean isClosing;
    /** The reason to report when a closing connection is closed, once no response is due. */
    private ConnectionCloseReason closeReason = ConnectionCloseReason.PROTOCOL;

    private boolean isHalfOpen;
    private long halfOpenSinceNanos;
    /** The bytes that arrived after the output was closed. */
    private long discardedBytes;

    /** To be called in the connect handler of the socket, on its context. */
    ClientConnection(NetSocket netSocket, ServerContext server) {
        this.netSocket = netSocket;
        this.server = server;
        socket = new RawSocket(netSocket, false, this);
        pipeline = new ResponsePipeline(this, socket);
        input = server.disconnects().input(socket, decoder, this::hasOpenCommands);
        memory = new InputMemory(this, server.memory());
        socket.setReadBufferAllocator(new ReadBufferAllocator(server.memory(), decoder::missingBytes));
        socket.setMaxPendingBytes(MAX_UNSENT_BYTES);
        netSocket.exceptionHandler(this::connectionFailed);
        netSocket.closeHandler(closed -> connectionClosed());
    }

    ServerContext server() {
        return server;
    }

    RawSocket socket() {
        return socket;
    }

    ResponsePipeline pipeline() {
        return pipeline;
    }

    ConnectionInput input() {
        return input;
    }

    InputMemory memory() {
        return memory;
    }

    /** When the connection last carried a command or a response, by {@link System#nanoTime}. */
    long lastUsedNanos() {
        return lastUsedNanos;
    }

    /** When the output of this connection was closed, by {@link System#nanoTime}. */
    long halfOpenSinceNanos() {
        return halfOpenSinceNanos;
    }

    /** Whether commands on this connection await their responses. */
    boolean hasOpenCommands() {
        return pipeline.hasOpenCommands();
    }

    /** Whether input that arrives from now on is no longer executed. */
    boolean isClosing() {
        return isClosing;
    }

    boolean isOpen() {
        return socket.isOpen();
    }

    boolean hasPendingWrites() {
        return socket.hasPendingWrites();
    }

    /** Whether no other command that was read on this connection awaits execution or its response. */
    boolean isOnlyCommandRead(PipelineSlot slot) {
        return pipeline.isOnly(slot) && !input.hasUndecoded();
    }

    /** Closes the connection after all responses have been written. */
    void close() {
        netSocket.close();
    }

    /** Closes the connection at once and discards responses that have not been written. */
    void closeAndDiscard() {
        socket.closeAndDiscard();
    }

    @Override
    public void bytesRead(ByteBuf bytes) {
        if (isHalfOpen) {
            discard(bytes);
            return;
        }
        lastReadNanos = System.nanoTime();
        try {
            input.bytesRead(bytes);
        } catch (OutOfMemoryError e) {
            allocationFailed(e);
        }
    }

    /** Drops what arrives after the output was closed: the client sends it again on another connection. */
    private void discard(ByteBuf bytes) {
        discardedBytes += bytes.readableBytes();
        bytes.release();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            closeAndDiscard();
        }
    }

    @Override
    public void readsCompleted() {
        input.readsCompleted();
    }

    private void connectionFailed(Throwable failure) {
        Logger.debug("client connection failed: {}", failure.getMessage());
        if (failure instanceof OutOfMemoryError e) {
            server.memory().allocationFailed(e);
        }
    }

    /**
     * Closes the connection after an allocation for it has failed. Guards its client against waiting for a response
     * that is never written.
     */
    void allocationFailed(OutOfMemoryError failure) {
        server.memory().allocationFailed(failure);
        closeAndDiscard();
    }

    @Override
    public boolean reservesShortString(RespDecoder command) {
        return memory.reservesShortString(command);
    }

    @Override
    public MemoryDecision reserveMemory(RespDecoder command, int length) {
        return memory.reserve(command, length);
    }

    /** Continues the command whose memory has been reserved. */
    void continueBlocked() {
        // The client could not send the rest meanwhile.
        lastReadNanos = System.nanoTime();
        continueInput(decoder::continueDecoding);
    }

    /** Continues the command that gets no memory, without its body. */
    void skipBlocked() {
        lastReadNanos = System.nanoTime();
        continueInput(decoder::skipString);
    }

    private void continueInput(Runnable continueDecoder) {
        try {
            input.continueDecoder(continueDecoder);
            resumeIfDrained();
        } catch (OutOfMemoryError e) {
            allocationFailed(e);
        }
    }

    @Override
    public void valueDecoded(RespDecoder command) {
        lastUsedNanos = System.nanoTime();
        PipelineSlot slot = pipeline.add();
        execute(command, slot);
        if (!isClosing) {
            pauseIfLimited(slot.request() != null);
        }
    }

    private void execute(RespDecoder command, PipelineSlot slot) {
        if (command.hasSkippedString()) {
            server.dispatcher().refuse(memory.takeRefusedClass(), slot, ShedReason.NO_MEMORY);
            return;
        }
        if (!CommandHandler.isCommand(command)) {
            reject(slot, "expected a command");
            memory.commandExecuted();
            return;
        }
        server.commands().execute(command, slot);
        memory.commandExecuted();
    }

    /**
     * Stops decoding and reading behind a command if no further one may be executed now. Guards memory against a client
     * that keeps sending commands or does not read the responses, and other clients against one that takes all of a
     * turn.
     */
    private void pauseIfLimited(boolean isRequestOpen) {
        boolean hasUsedShare = !server.scheduler().commandExecuted(turnShare, isRequestOpen);
        isPipelineFull |= pipeline.size() >= MAX_PIPELINED;
        if (hasUsedShare || isPipelineFull || !socket.isWritable()) {
            decoder.pause();
            input.pause();
        }
        if (hasUsedShare) {
            server.scheduler().continueLater(turnShare, this::resumeIfDrained);
        }
    }

    /**
     * Responds to an invalid command with an error and pauses reading for a while. Guards the processor against a
     * client that sends the same command again as soon as it is rejected.
     */
    void reject(PipelineSlot slot, String reason) {
        pipeline.writeLine(slot, "-ERR " + reason);
        errorCount = Math.min(errorCount + 1, MAX_ERROR_PAUSES);
        if (!isPausedForError) {
            isPausedForError = true;
            input.pause();
            server.vertx().setTimer(ERROR_PAUSE_MS * errorCount, over -> {
                isPausedForError = false;
                resumeIfDrained();
            });
        }
    }

    /** Called when the response of the first slot and the deferred responses behind it have been written. */
    void responsesWritten(PipelineSlot first) {
        lastUsedNanos = System.nanoTime();
        countUnsent();
        if (first.stream() != null) {
            first.stream().discard();
            input.resumeSuspended();
        }
        pipeline.advanceFirstStream();
        closeIfNoResponseIsDue();
        resumeIfDrained();
    }

    /** Counts what the client does not read. */
    void countUnsent() {
        int unsentNow = socket.isOpen() ? socket.pendingBytes() : 0;
        if (unsentNow < unsentBytes) {
            // The client reads.
            lastUsedNanos = System.nanoTime();
        }
        if (unsentNow != unsentBytes) {
            server.memory().recharge(unsentBytes, unsentNow);
            unsentBytes = unsentNow;
        }
    }

    @Override
    public void flushed() {
        countUnsent();
    }

    @Override
    public void becameWritable() {
        countUnsent();
        if (pipeline.writeDeferred()) {
            pipeline.advanceFirstStream();
            closeIfNoResponseIsDue();
        } else {
            pipeline.continueFirstStream();
        }
        resumeIfDrained();
    }

    /** Resumes decoding, and reading unless it is paused for an error, if nothing speaks against it any more. */
    void resumeIfDrained() {
        isPipelineFull &= pipeline.size() >= MAX_PIPELINED / 2;
        boolean isLimited = turnShare.isWaiting() || isPipelineFull || memory.isWaiting() || !socket.isWritable();
        if (isClosing || isLimited || !input.isPaused()) {
            return;
        }
        try {
            if (isPausedForError) {
                input.resumeDecoder();
            } else {
                input.resume();
            }
        } catch (OutOfMemoryError e) {
            allocationFailed(e);
        }
    }

    /** Closes the connection in the middle of a value, so that its client detects that the value is incomplete. */
    void endInIncompleteValue() {
        int behind = pipeline.removeFirst();
        if (behind > 0) {
            server.dispatcher()
                    .invariants()
                    .violated(Invariant.CLOSED_UNANSWERED, "-", behind + " requests behind a value that was cut off");
        }
        beginHalfClose(ConnectionCloseReason.TRUNCATED);
        pipeline.cancelAll();
    }

    /**
     * Closes a connection on which a partially received command has not progressed for the idle timeout, once no
     * response is due. Guards against such a command behind open ones: the idle check would examine it only after their
     * responses, and its timeout would start anew then.
     *
     * @return whether the connection is closed, now or once no response is due
     */
    boolean endIfStalled() {
        boolean isStalled = System.nanoTime() - lastReadNanos > STALL_NANOS;
        if (isClosing || !isStalled || !decoder.isMidValue() || input.isPaused() || input.isSuspended()) {
            return false;
        }
        input.decodeUnread();
        if (isClosing || !decoder.isMidValue() || System.nanoTime() - lastReadNanos < STALL_NANOS) {
            return false;
        }
        if (pipeline.isEmpty()) {
            beginHalfClose(ConnectionCloseReason.STALLED);
        } else {
            closeReason = ConnectionCloseReason.STALLED;
            decodingFailed("half a command");
        }
        return true;
    }

    /**
     * Closes a connection whose client has read nothing for the idle timeout, although all responses that are due are
     * complete. Guards memory and descriptors against clients that never read.
     *
     * @return whether the connection is closed
     */
    boolean endIfUnread() {
        boolean isUnread = !pipeline.isEmpty() && !pipeline.hasOpenCommands();
        if (!isUnread || System.nanoTime() - lastUsedNanos < STALL_NANOS) {
            return false;
        }
        beginHalfClose(isClosing ? closeReason : ConnectionCloseReason.IDLE);
        pipeline.cancelAll();
        return true;
    }

    /** Reports a protocol error and closes the connection after the responses that are due. */
    @Override
    public void decodingFailed(String reason) {
        isClosing = true;
        input.discardFurther();
        // Guards the processor against the rest of the invalid input, which may be 60 MB.
        input.pause();
        pipeline.writeLine(pipeline.add(), "-ERR Protocol error: " + reason);
    }

    private void closeIfNoResponseIsDue() {
        if (pipeline.isEmpty() && isClosing) {
            beginHalfClose(closeReason);
        } else if (pipeline.isEmpty() && server.drain().isActive()) {
            // Deferred, because this may run within a read of this connection, in which it cannot be read again.
            server.vertx().runOnContext(read -> closeIfIdle(ConnectionCloseReason.DRAINED));
        }
    }

    /**
     * Reads what may be unread and closes the connection if it is still idle after that. Guards a request that arrived
     * while the event loop was delayed (by a lack of processor time, or a long turn): a timer can be due before the
     * loop has read what arrived meanwhile, and the client regards such a request as accepted. The same holds for input
     * that is unread because reading is paused after an error or by a full pipeline, so that is read as well.
     *
     * @return whether the connection is closed
     */
    boolean closeIfIdle(ConnectionCloseReason reason) {
        if (!isClosing) {
            input.decodeUnread();
        }
        // A partially received command is a request in flight while its bytes arrive. If it does not progress, the
        // client has stalled.
        boolean isProgressing = decoder.isBlocked() || System.nanoTime() - lastReadNanos < STALL_NANOS;
        boolean isArriving = decoder.isMidValue() && isProgressing;
        boolean isIdle = pipeline.isEmpty() && !isClosing && !isArriving && !turnShare.isWaiting();
        if (isIdle) {
            beginHalfClose(reason);
        }
        return isIdle;
    }

    /**
     * Closes the output of the connection, on which no response is due, and drops input that was read and not executed.
     * Guards against forwarding such input later: its response could not be sent, and the client, which saw the end of
     * the connection first, may have sent it again elsewhere.
     */
    private void beginHalfClose(ConnectionCloseReason reason) {
        server.dispatcher().clientConnectionClosed(reason);
        stopReading();
        server.halfOpen().add(this);
        isHalfOpen = true;
        halfOpenSinceNanos = System.nanoTime();
        socket.closeOutput();
    }

    /** Stops the input: nothing that arrives from now on is executed. */
    private void stopReading() {
        isClosing = true;
        input.close();
        memory.close();
        server.open().remove(this);
    }

    private void connectionClosed() {
        stopReading();
        server.halfOpen().remove(this);
        pipeline.cancelAll();
        countUnsent();
        server.connectionClosed().run();
    }
}
