package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import opalcove.metrics.ConnectionCloseReason;
import opalcove.metrics.Invariant;
import org.tinylog.Logger;

/**
 * One client connection: its commands are read and executed in order, and it is ended when its client disconnects, when
 * what it sends cannot be decoded, or while it is idle. Owned by the server's event loop.
 */
final class ClientConnection implements RawSocket.Listener, RespListener {
    /** Commands that may await responses before no more is read. */
    private static final int MAX_PIPELINED = 256;

    private static final int MAX_COMMAND_ITEMS = 8;
    /** How long nothing is read after an invalid command; multiplied by the number of such commands so far. */
    private static final long ERROR_PAUSE_MS = 50;
    /**
     * Guards valid requests behind an invalid one on a connection that many clients share: one that waits longer than
     * half a second for its response is lost, however short its own deadline.
     */
    private static final int MAX_ERROR_PAUSES = 4;

    private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(OpenConnections.IDLE_TIMEOUT_MS);

    private final ServerContext server;
    private final NetSocket netSocket;
    private final RawSocket socket;
    private final RespDecoder decoder = new RespDecoder(MAX_COMMAND_ITEMS, this);
    private final ResponsePipeline pipeline;
    private final ConnectionInput input;
    private long lastUsedNanos = System.nanoTime();
    /** When bytes last arrived, for half a command that is in flight. */
    private long lastReadNanos = lastUsedNanos;

    private int errorCount;
    private boolean isPausedForError;
    private boolean isClosing;
    /** Why it is ended once no response is due, where it is closing. */
    private ConnectionCloseReason closeReason = ConnectionCloseReason.PROTOCOL;

    private long halfOpenSinceNanos;

    /** Made in the handler that gets the socket, on its context. */
    ClientConnection(NetSocket netSocket, ServerContext server) {
        this.netSocket = netSocket;
        this.server = server;
        socket = new RawSocket(netSocket, false, this);
        pipeline = new ResponsePipeline(this, socket);
        input = server.disconnects().input(socket, decoder, this::hasOpenCommands);
        netSocket.exceptionHandler(e -> Logger.debug("a client connection failed: {}", e.getMessage()));
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

    /** When the connection last carried a command or a response, by {@link System#nanoTime}. */
    long lastUsedNanos() {
        return lastUsedNanos;
    }

    /** When its output was closed, by {@link System#nanoTime}. */
    long halfOpenSinceNanos() {
        return halfOpenSinceNanos;
    }

    /** Whether responses are due. */
    boolean hasOpenCommands() {
        return !pipeline.isEmpty();
    }

    /** Whether nothing that arrives is executed any more. */
    boolean isClosing() {
        return isClosing;
    }

    boolean isOpen() {
        return socket.isOpen();
    }

    boolean hasPendingWrites() {
        return socket.hasPendingWrites();
    }

    /** Whether no other command was read on this connection that awaits its response, or execution. */
    boolean isOnlyCommandRead(PipelineSlot slot) {
        return pipeline.isOnly(slot) && !input.hasBuffered();
    }

    /** Closes the connection once all responses are written. */
    void close() {
        netSocket.close();
    }

    /** Closes the connection at once; responses not yet written are discarded. */
    void closeAndDiscard() {
        socket.closeAndDiscard();
    }

    @Override
    public void bytesRead(ByteBuf bytes) {
        lastReadNanos = System.nanoTime();
        input.bytesRead(bytes);
    }

    @Override
    public void valueDecoded(RespDecoder command) {
        lastUsedNanos = System.nanoTime();
        PipelineSlot slot = pipeline.add();
        if (!CommandHandler.isCommand(command)) {
            reject(slot, "expected a command");
            return;
        }
        server.commands().execute(command, slot);
        if (pipeline.size() >= MAX_PIPELINED || !socket.isWritable()) {
            // Guards memory against a client that keeps sending commands and reads no responses.
            input.pause();
        }
    }

    /**
     * Responds to an invalid command with an error. Guards the processor against a client that sends the same again as
     * soon as it is rejected: for a while nothing more is read from it.
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

    /** The response of the first slot has been written, and those held back behind it. */
    void responsesWritten(PipelineSlot first) {
        lastUsedNanos = System.nanoTime();
        if (first.stream() != null) {
            first.stream().discard();
            input.resumeSuspended();
        }
        pipeline.advanceFirstStream();
        closeIfNoResponseIsDue();
        resumeIfDrained();
    }

    @Override
    public void writabilityChanged() {
        pipeline.continueFirstStream();
        resumeIfDrained();
    }

    private void resumeIfDrained() {
        boolean isDrained = pipeline.size() < MAX_PIPELINED / 2 && socket.isWritable();
        if (input.isPaused() && !isPausedForError && !isClosing && isDrained) {
            input.resume();
        }
    }

    /** Ends the connection in the middle of a value: that is how its client can tell that the value is incomplete. */
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
     * Ends a connection on which half a command has not progressed for the idle timeout, once no response is due; tells
     * whether it did. Guards against half a command behind others, which would be examined only once they are answered,
     * and would then time out anew.
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

    /** What cannot be decoded ends this connection after the responses that are due. */
    @Override
    public void decodingFailed(String reason) {
        isClosing = true;
        input.discardFurther();
        // Guards the processor against the rest of what is not a command, which may be 60 MB.
        input.pause();
        pipeline.writeLine(pipeline.add(), "-ERR Protocol error: " + reason);
    }

    private void closeIfNoResponseIsDue() {
        if (pipeline.isEmpty() && isClosing) {
            beginHalfClose(closeReason);
        } else if (pipeline.isEmpty() && server.drain().isActive()) {
            // Not within the reading of this very connection, in which it cannot be read once more.
            server.vertx().runOnContext(read -> closeIfIdle(ConnectionCloseReason.DRAINED));
        }
    }

    /**
     * Ends the connection if it is still idle after a further read of what may lie unread; tells whether it did. Guards
     * a request that arrived while the event loop was held up (by a lack of processor time, or a long turn): a timer
     * can be due before the loop has read what arrived meanwhile, and to its client such a request is taken. Paused
     * reads (after an error, or a full pipeline) do not exempt it: what lies behind them is taken too.
     */
    boolean closeIfIdle(ConnectionCloseReason reason) {
        if (!isClosing) {
            input.decodeUnread();
        }
        // Half a command whose bytes still arrive is a request in flight; one that does not progress is a stalled
        // client.
        boolean isArriving = decoder.isMidValue() && System.nanoTime() - lastReadNanos < STALL_NANOS;
        boolean isIdle = pipeline.isEmpty() && !isClosing && !isArriving;
        if (isIdle) {
            beginHalfClose(reason);
        }
        return isIdle;
    }

    /**
     * Closes the output of the connection, on which no response is due. Guards what was read from it and not executed
     * against being forwarded later: its response would have nowhere to go, and the client, which saw the connection
     * end first, may have sent it again elsewhere.
     */
    private void beginHalfClose(ConnectionCloseReason reason) {
        server.dispatcher().clientConnectionClosed(reason);
        stopReading();
        server.halfOpen().add(this);
        halfOpenSinceNanos = System.nanoTime();
        socket.closeOutput();
    }

    /** From now on nothing that arrives is executed. */
    private void stopReading() {
        isClosing = true;
        input.close();
        server.open().remove(this);
    }

    private void connectionClosed() {
        stopReading();
        server.halfOpen().remove(this);
        pipeline.cancelAll();
        server.connectionClosed().run();
    }
}
