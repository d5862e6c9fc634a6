package opalcove.laboratory;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * An app node on a loopback port that answers each command with the same value after a set time, on one thread of its
 * own. It parses no more than it must, so that it is not what is measured.
 */
public final class BackendEmulator implements AutoCloseable {
    private final EventLoopGroup group;
    private final ByteBuf bytes;
    private final Channel server;

    /** Opens the node; a value has that many bytes, work takes that many milliseconds (0: none). */
    public BackendEmulator(int valueBytes, long workMs) throws InterruptedException {
        this(new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()), valueBytes, workMs);
    }

    /** On a loop that becomes this node's own. */
    BackendEmulator(EventLoopGroup group, int valueBytes, long workMs) throws InterruptedException {
        this.group = group;
        String head = "*3\r\n$" + valueBytes + "\r\n";
        String tail = "\r\n$14\r\nused=12,cost=1\r\n$8\r\nsvc_ms=5\r\n";
        bytes = Unpooled.directBuffer();
        bytes.writeCharSequence(head + "v".repeat(valueBytes) + tail, StandardCharsets.US_ASCII);
        ByteBuf answer = Unpooled.unreleasableBuffer(bytes);
        server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Commands(answer, workMs));
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
    }

    /** The port that the stand-in listens on. */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        bytes.release();
    }

    private static final class Commands extends ByteToMessageDecoder {
        private final ByteBuf answer;
        private final long workMs;

        Commands(ByteBuf answer, long workMs) {
            this.answer = answer;
            this.workMs = workMs;
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            if (!skipCommand(in)) {
                return;
            }
            if (workMs == 0) {
                context.write(answer.duplicate());
            } else {
                context.executor()
                        .schedule(() -> context.writeAndFlush(answer.duplicate()), workMs, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) throws Exception {
            super.channelReadComplete(context);
            context.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Moves over one whole array of strings, or not at all. */
    static boolean skipCommand(ByteBuf in) {
        int start = in.readerIndex();
        int fields = number(in, '*');
        for (int i = 0; i < fields; i++) {
            int length = number(in, '$');
            if (length < 0 || in.readableBytes() < length + 2) {
                in.readerIndex(start);
                return false;
            }
            in.skipBytes(length + 2);
        }
        if (fields < 0) {
            in.readerIndex(start);
        }
        return fields >= 0;
    }

    /** Reads a line that holds the mark and a number; -1 where it is not whole yet. */
    static int number(ByteBuf in, char mark) {
        int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
        if (end < 0) {
            return -1;
        }
        if (in.readByte() != mark) {
            throw new IllegalStateException("expected " + mark);
        }
        int number = 0;
        for (byte each = in.readByte(); each != '\r'; each = in.readByte()) {
            number = number * 10 + each - '0';
        }
        in.readerIndex(end + 1);
        return number;
    }
}
