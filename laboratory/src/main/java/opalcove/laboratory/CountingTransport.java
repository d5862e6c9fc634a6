package opalcove.laboratory;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ThreadAwareExecutor;
import io.netty.util.internal.SocketUtils;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.ThreadFactory;
import opalcove.transport.CoarseWaitTransport;
import opalcove.transport.DelegatingIoHandler;

/**
 * The gateway's own transport, which counts what it does at the sockets of the one event loop. The counts need no privileges;
 * {@code meter --verify} compares them with what strace sees.
 */
final class CountingTransport extends CoarseWaitTransport {
    private final Counts counts;
    private final Lockstep.LockstepClient lockstep;

    /**
     * Counts here. In lockstep (null: not) the loop looks at its sockets only when nobody else has anything left to do, so
     * what one turn takes in is as much as it can be, and the same each time.
     */
    CountingTransport(Counts counts, Lockstep.LockstepClient lockstep) {
        this.counts = counts;
        this.lockstep = lockstep;
    }

    @Override
    public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
        return new MultiThreadIoEventLoopGroup(
                threads, factory, type == IO_EVENT_LOOP_GROUP ? ioHandlerFactory() : NioIoHandler.newFactory());
    }

    @Override
    protected IoHandler handler(IoHandlerFactory plain, ThreadAwareExecutor executor) {
        return new CountingHandler(super.handler(plain, executor));
    }

    @Override
    public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
        return domainSocket ? super.channelFactory(true) : CountingChannel::new;
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        return domainSocket ? super.serverChannelFactory(true) : CountingServer::new;
    }

    private final class CountingHandler extends DelegatingIoHandler {
        CountingHandler(IoHandler handler) {
            super(handler);
        }

        @Override
        public int run(IoHandlerContext context) {
            if (lockstep != null) {
                lockstep.await();
            }
            counts.waits++;
            return super.run(context);
        }

        @Override
        public void wakeup() {
            counts.tasks++;
            super.wakeup();
        }
    }

    private final class CountingServer extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            SocketChannel channel = SocketUtils.accept(javaChannel());
            if (channel == null) {
                return 0;
            }
            accepted.add(new CountingChannel(this, channel));
            return 1;
        }
    }

    private final class CountingChannel extends NioSocketChannel {
        CountingChannel() {
            watchCopies();
        }

        CountingChannel(Channel parent, SocketChannel channel) {
            super(parent, channel);
            watchCopies();
        }

        /** What is not in direct memory is copied there by the channel before it is written. */
        private void watchCopies() {
            pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
                @Override
                public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                    if (message instanceof ByteBuf bytes && !bytes.isDirect()) {
                        counts.bytesCopiedOut += bytes.readableBytes();
                    }
                    context.write(message, promise);
                }
            });
        }

        @Override
        protected int doReadBytes(ByteBuf into) throws Exception {
            counts.reads++;
            int read = super.doReadBytes(into);
            counts.bytesRead += Math.max(0, read);
            return read;
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer out) throws Exception {
            if (out.current() instanceof ByteBuf bytes && bytes.isReadable()) {
                counts.writes++;
            }
            super.doWrite(out);
        }
    }
}
