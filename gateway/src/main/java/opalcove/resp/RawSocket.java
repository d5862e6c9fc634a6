package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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
 * the buffer that it was read into, and what is written in one turn of the event loop leaves in one call at its end. All
 * else of the socket (its opening, its end, errors) stays with Vert.x. Used on the socket's event loop alone.
 *
 * <p>Invariants: bytes leave in the order of the calls; what waits for the end of the turn when the socket is closed by
 * {@link #closeUnsent} never leaves; every buffer that was handed over here is released, sent or not.
 */
final class RawSocket extends ChannelInboundHandlerAdapter implements Runnable, ChannelFutureListener {
    private static final int LEAST_BATCH = 512;
    private static final ByteBuf CRLF = Unpooled.unreleasableBuffer(
            Unpooled.directBuffer(2).writeByte('\r').writeByte('\n').asReadOnly());

    /** Whose socket it is. */
    interface User {
        /** What was read; it is the user's to release. */
        void read(ByteBuf bytes);

        /** The socket takes bytes again, or takes none for a while. */
        default void writable() {}

        /**
         * Asked at the end of a turn, right before what was written in it leaves: whether it still may. Where not, the
         * socket is closed and nothing of that turn leaves.
         */
        default boolean mayLeave() {
            return true;
        }

        /** Something that was written has not left and never will. */
        default void unwritten() {}
    }

    private final ContextInternal context;
    private final ChannelHandlerContext channel;
    private final User user;
    private final Handler<Object> reads;
    private final boolean tellsWrites;
    private final long waitingSince;
    private ByteBuf batch;
    private boolean flushes;

    /** Made in the handler that gets the socket, on its context. The user hears of failed writes only where it asks to. */
    RawSocket(NetSocket socket, boolean tellsWrites, User user) {
        this.tellsWrites = tellsWrites;
        this.user = user;
        context = (ContextInternal) Vertx.currentContext();
        reads = bytes -> user.read((ByteBuf) bytes);
        var pipeline = ((NetSocketInternal) socket).channelHandlerContext().pipeline();
        pipeline.addBefore("handler", "raw", this);
        channel = pipeline.context(this);
        waitingSince = Application.waitingSince(context.owner(), channel.channel());
    }

    /**
     * Since when this connection may have waited to be accepted, on the scale of {@link System#nanoTime}; when it was made
     * here, for one that was not accepted.
     */
    long waitingSince() {
        return waitingSince;
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object bytes) {
        context.emit(bytes, reads);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext from) {
        context.emit(null, changed -> user.writable());
        from.fireChannelWritabilityChanged();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext from) {
        dropBatch();
    }

    /** Calls itself writable while no more than so many bytes wait to leave. */
    void waitsAtMost(int bytes) {
        channel.channel().config().setWriteBufferWaterMark(new WriteBufferWaterMark(bytes / 2, bytes));
    }

    /** Has the socket's reads be as large as the portions let them; to be told before the first read. */
    void reads(ReadBufferAllocator portions) {
        portions.maxMessagesPerRead(channel.channel().metadata().defaultMaxMessagesPerRead());
        channel.channel().config().setRecvByteBufAllocator(portions);
    }

    /** How much is read at a time: as much as comes of late, or no more than a limit while one is set. */
    static final class ReadBufferAllocator extends AdaptiveRecvByteBufAllocator {
        private int most = Integer.MAX_VALUE;

        /** Guards memory while long values are passed on. */
        void limit(int bytes) {
            most = bytes;
        }

        @Override
        @SuppressWarnings("deprecation") // the handle's interface, whose successor has no delegating form
        public Handle newHandle() {
            return new DelegatingHandle(super.newHandle()) {
                @Override
                public ByteBuf allocate(ByteBufAllocator buffers) {
                    return buffers.ioBuffer(Math.min(most, guess()));
                }
            };
        }
    }

    /** Whether the socket is read. What has been read already is handed over all the same. */
    void reads(boolean yes) {
        channel.channel().config().setAutoRead(yes);
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

    /** Whether something that was written has not left yet. */
    boolean hasUnsent() {
        var waiting = channel.channel().unsafe().outboundBuffer();
        return batch != null || waiting != null && !waiting.isEmpty();
    }

    /** A buffer to put that many bytes into, which leave at the end of this turn. */
    ByteBuf room(int bytes) {
        if (batch != null && batch.writableBytes() < bytes) {
            writeBatch();
        }
        if (batch == null) {
            batch = channel.alloc().directBuffer(Math.max(bytes, LEAST_BATCH));
        }
        flushLater();
        return batch;
    }

    /** Passes a buffer on as it is, at the end of this turn; it is released then. */
    void pass(ByteBuf bytes) {
        writeBatch();
        channel.write(bytes, promise());
        flushLater();
    }

    void passLineEnd() {
        pass(CRLF.duplicate());
    }

    /** A buffer for bytes whose turn to be passed on has not come. */
    ByteBuf aside(int bytes) {
        return channel.alloc().directBuffer(bytes);
    }

    private void flushLater() {
        if (!flushes) {
            flushes = true;
            // Runs once this turn's reading is done, so that what it brings for this socket leaves together.
            channel.executor().execute(this);
        }
    }

    /** The end of the turn. */
    @Override
    public void run() {
        flushes = false;
        if (channel.isRemoved()) {
            dropUnsent();
        } else if (!user.mayLeave()) {
            closeUnsent();
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

    private void dropBatch() {
        if (batch != null) {
            batch.release();
            batch = null;
        }
    }

    private ChannelPromise promise() {
        return tellsWrites ? channel.newPromise().addListener(this) : channel.voidPromise();
    }

    /** A write has ended. */
    @Override
    public void operationComplete(ChannelFuture write) {
        if (!write.isSuccess()) {
            user.unwritten();
        }
    }

    /** Lets go of what waits for the end of this turn, and tells that it is unwritten. */
    void dropUnsent() {
        if (batch != null) {
            dropBatch();
            if (tellsWrites) {
                user.unwritten();
            }
        }
    }

    /** Closes the socket; what waits for the end of this turn never leaves, and counts as unwritten. */
    void closeUnsent() {
        dropUnsent();
        channel.close();
    }

    /** Closes the output once all that was written has left; the input stays open. */
    void closeOutput() {
        writeBatch();
        Channel all = channel.channel();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(left -> {
            if (left.isSuccess() && all instanceof DuplexChannel duplex && all.isActive()) {
                duplex.shutdownOutput();
            }
        });
    }
}
