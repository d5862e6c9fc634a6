package opalcove.laboratory.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import opalcove.laboratory.soak.History.Attempt;
import opalcove.laboratory.soak.History.Request;

/**
 * The fault proxy between one gateway and one backend. Discovery lists its address as the backend's address for this
 * gateway. It records each attempt as its bytes arrive, and injects the connection faults. Used only on its event loop.
 */
final class BackendFaultProxy {
    /** Listen backlog while cut: the listener accepts nothing, so that further connections are never established. */
    private static final int BACKLOG = 1;

    private static final int CHUNK_BYTES = 7;
    private static final int CHUNK_INTERVAL_MS = 4;
    private static final int RESET_WITHIN_MS = 120;

    private final int gateway;
    private final int backend;
    private final EventLoopGroup loop;
    private final SoakClock clock;
    private final History history;
    private final SplittableRandom random;
    private final Set<Connection> connections = new HashSet<>();
    private Channel server;
    private final ReservedPort port = new ReservedPort();
    private int backendPort;
    private boolean cut;
    private double resetShare;
    private boolean splitsResponses;

    BackendFaultProxy(int gateway, int backend, EventLoopGroup loop, SoakClock clock, History history, long seed)
            throws IOException {
        this.gateway = gateway;
        this.backend = backend;
        this.loop = loop;
        this.clock = clock;
        this.history = history;
        random = new SplittableRandom(seed);
    }

    String address() {
        return "127.0.0.1:" + port.number();
    }

    /**
     * Listens on the proxy's address, which is the same at each call, and forwards connections to the backend's own
     * port.
     */
    void open(int toPort) {
        backendPort = toPort;
        if (server == null) {
            listen();
        }
    }

    private void listen() {
        var binding = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, cut ? BACKLOG : 256)
                .option(ReservedPort.REUSE_PORT, true)
                .option(ChannelOption.AUTO_READ, !cut)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Connection(channel));
                    }
                })
                .bind("127.0.0.1", port.number());
        server = binding.channel();
    }

    /** Resets all connections and refuses new ones. Called when the backend's process has been killed. */
    void close() {
        closeServer();
        Set.copyOf(connections).forEach(Connection::reset);
    }

    /** Releases the reserved port. */
    void release() throws IOException {
        port.close();
    }

    private void closeServer() {
        if (server != null) {
            server.close();
            server = null;
        }
    }

    /**
     * Sets whether the connections are cut. While they are, open connections transfer nothing and new ones are not
     * established; when the cut ends, all of them are reset.
     */
    void setCut(boolean cutNow) {
        if (cut == cutNow) {
            return;
        }
        cut = cutNow;
        if (server != null) {
            closeServer();
            listen();
        }
        if (!cut) {
            Set.copyOf(connections).forEach(Connection::reset);
        }
    }

    /**
     * Sets the share of attempts, 0 to 1, whose connection is reset within {@link #RESET_WITHIN_MS} after they are
     * sent.
     */
    void setResetShare(double share) {
        resetShare = share;
    }

    /** Sets whether responses are forwarded in small pieces. */
    void setSplitsResponses(boolean splits) {
        splitsResponses = splits;
    }

    /** One connection from the gateway, and the connection to the backend that it is forwarded on. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final Channel fromGateway;
        private final ByteBuf pending = Unpooled.buffer();
        private Channel toBackend;
        private Attempt attempt;
        private double firstByteAt = -1;
        private final ByteBuf bytesBeforeConnect = Unpooled.buffer();
        private boolean closed;

        Connection(Channel fromGateway) {
            this.fromGateway = fromGateway;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections.add(this);
            var connecting = new Bootstrap()
                    .group(context.channel().eventLoop())
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new FromBackend())
                    .connect("127.0.0.1", backendPort);
            connecting.addListener(result -> {
                if (!result.isSuccess() || closed) {
                    connecting.channel().close();
                    reset();
                    return;
                }
                toBackend = connecting.channel();
                if (bytesBeforeConnect.isReadable()) {
                    toBackend.writeAndFlush(bytesBeforeConnect.copy());
                    bytesBeforeConnect.clear();
                }
            });
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (firstByteAt < 0) {
                firstByteAt = clock.now();
            }
            pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
            if (cut) {
                bytes.release();
            } else if (toBackend == null) {
                bytesBeforeConnect.writeBytes(bytes);
                bytes.release();
            } else {
                toBackend.writeAndFlush(bytes);
            }
            for (List<String> command = RespCommands.next(pending);
                    command != null;
                    command = RespCommands.next(pending)) {
                recordAttempt(command);
                firstByteAt = -1;
            }
            pending.discardReadBytes();
        }

        private void recordAttempt(List<String> command) {
            if (cut) {
                // The attempt did not reach the backend, so it is not recorded.
                return;
            }
            Request request = history.requests.get(command.get(2));
            if (request == null) {
                history.processViolations.add(new SoakViolation(
                        SoakRule.OWN_VALUE, gateway, clock.now(), "attempt with an unknown request id: " + command));
                return;
            }
            int deadlineMs = Integer.parseInt(RespCommands.parameter(command.get(3), "d"));
            attempt = new Attempt(request, gateway, backend, firstByteAt, clock.now(), deadlineMs);
            request.attempts.add(attempt);
            history.attempts.add(attempt);
            if (random.nextDouble() < resetShare) {
                fromGateway.eventLoop().schedule(this::reset, random.nextInt(RESET_WITHIN_MS), TimeUnit.MILLISECONDS);
            }
        }

        private void endAttempt(boolean rejected) {
            if (attempt != null && attempt.endedAt < 0) {
                attempt.endedAt = clock.now();
                attempt.rejected = rejected;
            }
            attempt = null;
        }

        private void reset() {
            if (!closed && fromGateway.isOpen()) {
                fromGateway.config().setOption(ChannelOption.SO_LINGER, 0);
                fromGateway.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            closed = true;
            connections.remove(this);
            endAttempt(false);
            if (toBackend != null) {
                toBackend.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        /** Forwards what the backend sends to the gateway. */
        private final class FromBackend extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                if (cut || closed) {
                    bytes.release();
                    return;
                }
                endAttempt(bytes.toString(StandardCharsets.US_ASCII).startsWith("-BUSY"));
                if (splitsResponses) {
                    writeInChunks(bytes);
                } else {
                    fromGateway.writeAndFlush(bytes);
                }
            }

            private void writeInChunks(ByteBuf bytes) {
                int delayMs = 0;
                while (bytes.isReadable()) {
                    boolean many = bytes.readableBytes() > 20 * CHUNK_BYTES;
                    int length = many ? bytes.readableBytes() / 4 : Math.min(CHUNK_BYTES, bytes.readableBytes());
                    ByteBuf chunk = bytes.readRetainedSlice(length);
                    fromGateway
                            .eventLoop()
                            .schedule(() -> fromGateway.writeAndFlush(chunk), delayMs, TimeUnit.MILLISECONDS);
                    delayMs += CHUNK_INTERVAL_MS;
                }
                bytes.release();
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                if (!cut && !closed) {
                    endAttempt(false);
                    fromGateway.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                if (!cut) {
                    reset();
                }
            }
        }
    }
}
