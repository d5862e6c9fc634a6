package opalcove.laboratory.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * The program of a soak's backend process: {@code SoakBackend NAME PORT}, where port 0 selects any free port. It prints
 * the port that it listens on, reads behaviours from standard input, one {@code NAME VALUE} a line, and exits at the
 * end of that input.
 */
public final class SoakBackend {
    /** The behaviours that a line of standard input can set. */
    enum Behaviour {
        /** Mean processing time of a request, ms. */
        WORK(15),
        /** Share of requests that are rejected. */
        BUSY(0),
        /** Share of requests that get an error response. */
        ERROR(0),
        /** Share of requests that never get a response. */
        HANG(0),
        /** Share of requests that get a malformed response. */
        SPOILT(0),
        /** Share of responses after which the connection is closed. */
        CLOSES(0),
        /** Share of responses with long values, some of which are truncated. */
        LONG(0);

        final double initial;

        Behaviour(double initial) {
            this.initial = initial;
        }
    }

    private static final int SHORT_VALUE = 24;
    private static final int LONG_VALUE = 150_000;
    private static final int LONG_PAUSE_MS = 40;
    private static final double CUT_SHARE = 0.5;

    private final String name;
    private final Map<Behaviour, Double> behaviours = new ConcurrentHashMap<>();

    private SoakBackend(String name) {
        this.name = name;
        for (Behaviour each : Behaviour.values()) {
            behaviours.put(each, each.initial);
        }
    }

    /** Serves requests until the end of standard input. */
    public static void main(String[] args) throws Exception {
        SoakBackend backend = new SoakBackend(args[0]);
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Channel server = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ReservedPort.REUSE_PORT, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(backend.new Requests());
                    }
                })
                .bind("127.0.0.1", Integer.parseInt(args[1]))
                .sync()
                .channel();
        System.out.println(((InetSocketAddress) server.localAddress()).getPort());
        backend.readBehaviours();
        System.exit(0);
    }

    private void readBehaviours() throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            String[] fields = line.split(" ");
            behaviours.put(Behaviour.valueOf(fields[0]), Double.parseDouble(fields[1]));
        }
    }

    private boolean draw(Behaviour behaviour) {
        return ThreadLocalRandom.current().nextDouble() < behaviours.get(behaviour);
    }

    /** Reads the commands of one connection and responds to each after its processing time. */
    private final class Requests extends ChannelInboundHandlerAdapter {
        private ByteBuf pending;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            pending = context.alloc().buffer();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            pending.writeBytes(bytes);
            bytes.release();
            for (List<String> command = RespCommands.next(pending);
                    command != null;
                    command = RespCommands.next(pending)) {
                take(context, command);
            }
            pending.discardReadBytes();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            pending.release();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void take(ChannelHandlerContext context, List<String> command) {
            if (draw(Behaviour.HANG)) {
                return;
            }
            if (draw(Behaviour.BUSY)) {
                write(context, "-BUSY\r\n");
                return;
            }
            double mean = behaviours.get(Behaviour.WORK);
            double workMs = -mean * Math.log(1 - ThreadLocalRandom.current().nextDouble());
            context.executor()
                    .schedule(() -> respond(context, command.get(2)), (long) (workMs * 1000), TimeUnit.MICROSECONDS);
        }

        private void respond(ChannelHandlerContext context, String id) {
            if (draw(Behaviour.ERROR)) {
                write(context, "-ERR failed\r\n");
            } else if (draw(Behaviour.SPOILT)) {
                writeMalformed(context, id);
            } else if (draw(Behaviour.LONG)) {
                writeLong(context, id);
            } else {
                ChannelFuture written = write(context, response(id, SHORT_VALUE));
                if (draw(Behaviour.CLOSES)) {
                    written.addListener(ChannelFutureListener.CLOSE);
                }
            }
        }

        private String value(String id, int length) {
            String head = id + " " + name + " ";
            return head + "v".repeat(Math.max(0, length - head.length()));
        }

        private String response(String id, int length) {
            String value = value(id, length);
            return "*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n";
        }

        private void writeMalformed(ChannelHandlerContext context, String id) {
            String response = response(id, SHORT_VALUE);
            switch (ThreadLocalRandom.current().nextInt(5)) {
                case 0 ->
                    write(context, response.substring(0, response.length() / 2))
                            .addListener(ChannelFutureListener.CLOSE);
                case 1 -> write(context, response.substring(0, response.length() - 3));
                case 2 -> write(context, "!what\r\n");
                case 3 -> {
                    write(context, response);
                    context.executor().schedule(() -> write(context, response), 5, TimeUnit.MILLISECONDS);
                }
                default -> write(context, "*3\r\n$70000000\r\n");
            }
        }

        private void writeLong(ChannelHandlerContext context, String id) {
            String response = response(id, LONG_VALUE);
            int middle = response.length() / 2;
            write(context, response.substring(0, middle));
            boolean cut = ThreadLocalRandom.current().nextDouble() < CUT_SHARE;
            context.executor()
                    .schedule(
                            () -> {
                                if (cut) {
                                    context.close();
                                } else {
                                    write(context, response.substring(middle));
                                }
                            },
                            LONG_PAUSE_MS,
                            TimeUnit.MILLISECONDS);
        }

        private ChannelFuture write(ChannelHandlerContext context, String text) {
            return context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }
    }
}
