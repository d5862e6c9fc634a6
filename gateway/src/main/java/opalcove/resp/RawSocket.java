package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import opalcove.lifecycle.Application;

/**
 * Reads and writes the bytes of a Vert.x socket without the copies and allocations of its streams. Bytes are passed on
 * in the buffer that they were read into, and the bytes written in one turn of the event loop are flushed in one call
 * at its end. Everything else (opening, closing, errors) is handled by Vert.x. Owned by the socket's event loop.
 *
 * <p>Invariants: bytes are sent in the order of the calls; bytes that wait for the end of the turn when the socket is
 * closed by {@link #closeAndDiscard} are never sent; every buffer passed to a write method is released, sent or not; a
 * write does not call the listener before it returns, except to record that the write has failed.
 */
final class RawSocket extends ChannelInboundHandlerAdapter implements Runnable, ChannelFutureListener {
    /** The maximum number of reads of a socket in one turn of the event loop. */
    static final int MAX_READS_PER_TURN = 16;

    private static final int MIN_BATCH_BYTES = 512;
    private static final ByteBuf CRLF = Unpooled.unreleasableBuffer(
            Unpooled.directBuffer(2).writeByte('\r').writeByte('\n').asReadOnly());

    /** Receives the events of a socket, on its event loop. */
    interface Listener {
        /** Called when bytes were read; the listener must release them. */
        void bytesRead(ByteBuf bytes);

        /** Called after the reads of one turn of the event loop, or of {@link #readNow}. */
        default void readsCompleted() {}

        /**
         * Called after the socket has become writable again, never from within a write or a close; by then it may have
         * become unwritable once more.
         */
        default void becameWritable() {}

        /**
         * Called at the end of a turn, right before the bytes written in it are flushed.
         *
         * @return whether they may still be sent; if not, the socket is closed and no byte of this turn is sent
         */
        default boolean mayFlush() {
            return true;
        }

        /** Called after the bytes written in one turn were passed to the system, as far as it took them. */
        default void flushed() {}

        /**
         * Called when written bytes were not sent and never will be, possibly from within the write; the listener may
         * only record it.
         */
        default void writeFailed() {}
    }

    private final ContextInternal context;
    private final ChannelHandlerContext channel;
    private final Listener listener;
    private final Handler<Object> readHandler;
    private final Runnable writabilityTask = this::reportWritability;
    private final boolean reportsWriteFailures;
    private final long waitingSince;
    private ByteBuf batch;
    private boolean isFlushScheduled;
    private boolean isFlushing;
    private boolean isWritabilityReportScheduled;

    /**
     * To be called in the connect handler of the socket, on its context.
     *
     * @param reportsWriteFailures whether the listener is notified of failed writes
     */
    RawSocket(NetSocket socket, boolean reportsWriteFailures, Listener listener) {
        this.reportsWriteFailures = reportsWriteFailures;
        this.listener = listener;
        context = (ContextInternal) Vertx.currentContext();
        readHandler = bytes -> listener.bytesRead((ByteBuf) bytes);
        var pipeline = ((NetSocketInternal) socket).channelHandlerContext().pipeline();
        pipeline.addBefore("handler", "raw", this);
        channel = pipeline.context(this);
        waitingSince = Application.waitingSince(context.owner(), channel.channel());
    }

    /**
     * Returns since when this connection may have waited to be accepted, by {@link System#nanoTime}. For a connection
     * that the gateway opened, returns when it was opened.
     */
    long waitingSince() {
        return waitingSince;
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object bytes) {
        context.emit(bytes, readHandler);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext from) {
        listener.readsCompleted();
        from.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext from) {
        if (isWritable() && !isWritabilityReportScheduled) {
            isWritabilityReportScheduled = true;
            // Guards whoever writes or closes: the flush within it can make the socket writable, and its caller has not
            // updated its own state yet. The flush at the end of a turn has no such caller, and reports by itself.
            if (!isFlushing) {
                channel.executor().execute(writabilityTask);
            }
        }
        from.fireChannelWritabilityChanged();
    }

    private void reportWritability() {
        if (isWritabilityReportScheduled) {
            isWritabilityReportScheduled = false;
            if (!channel.isRemoved()) {
                context.emit(null, changed -> listener.becameWritable());
            }
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext from) {
        releaseBatch();
    }

    /** Sets how many bytes may wait to be sent while the socket counts as writable. */
    void setMaxPendingBytes(int bytes) {
        channel.channel().config().setWriteBufferWaterMark(new WriteBufferWaterMark(bytes / 2, bytes));
    }

    /** Reads into buffers of this allocator; to be called before the first read. */
    void setReadBufferAllocator(ReadBufferAllocator allocator) {
        allocator.maxMessagesPerRead(MAX_READS_PER_TURN);
        channel.channel().config().setRecvByteBufAllocator(allocator);
    }

    /** Sets whether the socket is read. Bytes that have been read already are still passed to the listener. */
    void setAutoRead(boolean autoRead) {
        channel.channel().config().setAutoRead(autoRead);
    }

    /** Reads the unread bytes now. Must not be called within a read of this socket. */
    void readNow() {
        if (channel.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
            nio.read();
        }
    }

    boolean isOpen() {
        return channel.channel().isActive();
    }

    boolean isWritable() {
        return channel.channel().isWritable();
    }

    /** Whether written bytes have not been sent yet. */
    boolean hasPendingWrites() {
        var pending = channel.channel().unsafe().outboundBuffer();
        return batch != null || pending != null && !pending.isEmpty();
    }

    /** Returns a buffer with space for this many bytes, which are flushed at the end of this turn. */
    ByteBuf reserve(int bytes) {
        if (batch != null && batch.writableBytes() < bytes) {
            writeBatch();
        }
        if (batch == null) {
            batch = channel.alloc().directBuffer(Math.max(bytes, MIN_BATCH_BYTES));
        }
        scheduleFlush();
        return batch;
    }

    /** Writes a buffer without copying it. It is flushed at the end of this turn and released after that. */
    void write(ByteBuf bytes) {
        writeBatch();
        channel.write(bytes, promise());
        scheduleFlush();
    }

    void writeLineEnd() {
        write(CRLF.duplicate());
    }

    /** Allocates a buffer for bytes that are written later. */
    ByteBuf allocate(int bytes) {
        return WaitingBytes.allocate(channel.alloc(), bytes);
    }

    /** Returns these bytes in a buffer that is not much larger than they are; the caller releases the result only. */
    ByteBuf compact(ByteBuf bytes) {
        return WaitingBytes.compact(channel.alloc(), bytes);
    }

    /** Returns how many written bytes have not been sent, as far as they were passed to the channel. */
    int pendingBytes() {
        var pending = channel.channel().unsafe().outboundBuffer();
        return pending == null ? 0 : (int) pending.totalPendingWriteBytes();
    }

    private void scheduleFlush() {
        if (!isFlushScheduled) {
            isFlushScheduled = true;
            // Runs after the reads of this turn, so that all writes that they cause on this socket are flushed
            // together.
            channel.executor().execute(this);
        }
    }

    /** Flushes the bytes of this turn, at its end. */
    @Override
    public void run() {
        isFlushScheduled = false;
        if (channel.isRemoved()) {
            discardUnflushed();
        } else if (!listener.mayFlush()) {
            closeAndDiscard();
        } else {
            writeBatch();
            isFlushing = true;
            channel.flush();
            isFlushing = false;
            listener.flushed();
            reportWritability();
        }
    }

    private void writeBatch() {
        if (batch != null) {
            ByteBuf full = batch;
            batch = null;
            channel.write(full, promise());
        }
    }

    private void releaseBatch() {
        if (batch != null) {
            batch.release();
            batch = null;
        }
    }

    private ChannelPromise promise() {
        return reportsWriteFailures ? channel.newPromise().addListener(this) : channel.voidPromise();
    }

    /** Called when a write has completed. */
    @Override
    public void operationComplete(ChannelFuture write) {
        if (!write.isSuccess()) {
            listener.writeFailed();
        }
    }

    /** Releases the bytes that wait for the end of this turn, and reports them as failed. */
    void discardUnflushed() {
        if (batch != null) {
            releaseBatch();
            if (reportsWriteFailures) {
                listener.writeFailed();
            }
        }
    }

    /** Closes the socket. Bytes that wait for the end of this turn are never sent and count as failed. */
    void closeAndDiscard() {
        discardUnflushed();
        channel.close();
    }

    /** Closes the output after all written bytes have been sent; the input stays open. */
    void closeOutput() {
        writeBatch();
        Channel nettyChannel = channel.channel();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(flushed -> {
            if (flushed.isSuccess() && nettyChannel instanceof DuplexChannel duplex && nettyChannel.isActive()) {
                duplex.shutdownOutput();
            }
        });
    }
}
