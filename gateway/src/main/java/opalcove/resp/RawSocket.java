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
 * The bytes of one Vert.x socket without the copies and objects that its streams make: what is read is handed over in
 * the buffer that it was read into, and what is written in one turn of the event loop is flushed in one call at its
 * end. All else of the socket (its opening, its close, errors) stays with Vert.x. Owned by the socket's event loop.
 *
 * <p>Invariants: bytes are sent in the order of the calls; what waits for the end of the turn when the socket is closed
 * by {@link #closeAndDiscard} is never sent; every buffer that was handed over here is released, sent or not.
 */
final class RawSocket extends ChannelInboundHandlerAdapter implements Runnable, ChannelFutureListener {
    private static final int MIN_BATCH_BYTES = 512;
    private static final ByteBuf CRLF = Unpooled.unreleasableBuffer(
            Unpooled.directBuffer(2).writeByte('\r').writeByte('\n').asReadOnly());

    /** Notified of what happens to a socket, on its event loop. */
    interface Listener {
        /** Bytes were read; they are the listener's to release. */
        void bytesRead(ByteBuf bytes);

        /** The socket has become writable, or has ceased to be. */
        default void writabilityChanged() {}

        /**
         * Called at the end of a turn, right before what was written in it is flushed: whether it still may be. Where
         * not, the socket is closed and nothing of that turn is sent.
         */
        default boolean mayFlush() {
            return true;
        }

        /** Something that was written was not sent and never will be. */
        default void writeFailed() {}
    }

    private final ContextInternal context;
    private final ChannelHandlerContext channel;
    private final Listener listener;
    private final Handler<Object> readHandler;
    private final boolean reportsWriteFailures;
    private final long waitingSince;
    private ByteBuf batch;
    private boolean isFlushScheduled;

    /**
     * Made in the handler that gets the socket, on its context. Failed writes are reported only where that is asked
     * for.
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
     * Since when this connection may have waited to be accepted, by {@link System#nanoTime}; when it was made here, for
     * one that was not accepted.
     */
    long waitingSince() {
        return waitingSince;
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object bytes) {
        context.emit(bytes, readHandler);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext from) {
        context.emit(null, changed -> listener.writabilityChanged());
        from.fireChannelWritabilityChanged();
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
        allocator.maxMessagesPerRead(channel.channel().metadata().defaultMaxMessagesPerRead());
        channel.channel().config().setRecvByteBufAllocator(allocator);
    }

    /** Sets whether the socket is read. What has been read already is handed over all the same. */
    void setAutoRead(boolean autoRead) {
        channel.channel().config().setAutoRead(autoRead);
    }

    /** Reads now what lies unread, in a turn that is not one of reading this socket. */
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

    /** Whether something that was written has not been sent yet. */
    boolean hasPendingWrites() {
        var pending = channel.channel().unsafe().outboundBuffer();
        return batch != null || pending != null && !pending.isEmpty();
    }

    /** A buffer to write that many bytes to, which are flushed at the end of this turn. */
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

    /** Writes a buffer as it is, flushed at the end of this turn; it is released then. */
    void write(ByteBuf bytes) {
        writeBatch();
        channel.write(bytes, promise());
        scheduleFlush();
    }

    void writeLineEnd() {
        write(CRLF.duplicate());
    }

    /** Allocates a buffer for bytes that are not to be written yet. */
    ByteBuf allocate(int bytes) {
        return channel.alloc().directBuffer(bytes);
    }

    private void scheduleFlush() {
        if (!isFlushScheduled) {
            isFlushScheduled = true;
            // Runs once this turn's reading is done, so that what it brings for this socket is flushed together.
            channel.executor().execute(this);
        }
    }

    /** Flushes at the end of the turn. */
    @Override
    public void run() {
        isFlushScheduled = false;
        if (channel.isRemoved()) {
            discardUnflushed();
        } else if (!listener.mayFlush()) {
            closeAndDiscard();
        } else {
            writeBatch();
            channel.flush();
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

    /** A write has completed. */
    @Override
    public void operationComplete(ChannelFuture write) {
        if (!write.isSuccess()) {
            listener.writeFailed();
        }
    }

    /** Releases what waits for the end of this turn, and reports it as failed. */
    void discardUnflushed() {
        if (batch != null) {
            releaseBatch();
            if (reportsWriteFailures) {
                listener.writeFailed();
            }
        }
    }

    /** Closes the socket; what waits for the end of this turn is never sent, and counts as failed. */
    void closeAndDiscard() {
        discardUnflushed();
        channel.close();
    }

    /** Closes the output once all that was written has been sent; the input stays open. */
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
