package opalcove.laboratory.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import opalcove.laboratory.soak.History.End;
import opalcove.laboratory.soak.History.Request;
import opalcove.laboratory.soak.History.Stall;

/** One connection of a client to a gateway. Used only on its event loop. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** The gateway process that the connection leads to. */
    interface Gateway {
        /** Whether the soak has killed the process, so that a connection that ends now needs no response. */
        boolean killed();

        /** When the SIGTERM that preceded the kill was sent to the process; below 0 if there was none. */
        double terminationSentAt();
    }

    /** A command that waits for its response; the request is null for a command that the history doesn't record. */
    private record WaitingCommand(Request request) {}

    private static final int MAX_RECORDED_CHARS = 64;

    private final int number;
    private final Gateway gateway;
    private final SoakClock clock;
    private final Queue<WaitingCommand> waiting = new ArrayDeque<>();
    private final Deque<String> writes = new ArrayDeque<>();
    private Channel channel;
    private final ByteBuf pending = Unpooled.buffer();
    private boolean open = true;
    private boolean usedBefore;
    private Stall stall;
    private double lastResponseAt = -1;
    /** Length of a bulk string of which only a part has arrived, bytes; 0 if there is none. */
    private int incompleteValueBytes;

    private ClientConnection(int number, Gateway gateway, SoakClock clock) {
        this.number = number;
        this.gateway = gateway;
        this.clock = clock;
    }

    static ClientConnection open(int number, int port, Gateway gateway, EventLoopGroup loop, SoakClock clock) {
        ClientConnection connection = new ClientConnection(number, gateway, clock);
        var connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 3000)
                .handler(connection)
                .connect("127.0.0.1", port);
        connection.channel = connecting.channel();
        connecting.addListener(result -> {
            if (!result.isSuccess()) {
                connection.refused();
            }
        });
        return connection;
    }

    int number() {
        return number;
    }

    boolean isOpen() {
        return open;
    }

    boolean isIdle() {
        return open && waiting.isEmpty() && stall == null;
    }

    int waiting() {
        return waiting.size();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        for (String text = writes.poll(); text != null; text = writes.poll()) {
            writeNow(text);
        }
    }

    /** Ends the requests as killed, since no gateway was listening: nothing was sent, so no response is required. */
    private void refused() {
        open = false;
        waiting.forEach(each -> {
            if (each.request() != null) {
                each.request().ended(End.KILLED, clock.now());
            }
        });
        waiting.clear();
    }

    /** Writes a request in the given number of pieces, with {@code betweenMs} ms between them. */
    void send(Request request, String text, int pieces, int betweenMs) {
        waiting.add(new WaitingCommand(request));
        request.onUsedConnection = usedBefore;
        usedBefore = true;
        int length = Math.max(1, text.length() / pieces);
        for (int i = 0; i < pieces; i++) {
            int from = i * length;
            boolean last = i == pieces - 1;
            String piece = text.substring(from, last ? text.length() : from + length);
            channel.eventLoop()
                    .schedule(
                            () -> {
                                write(piece);
                                if (last && open) {
                                    request.sentAt = clock.now();
                                }
                            },
                            (long) i * betweenMs,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Writes a command that the history doesn't record, but that gets one response as well. */
    void sendOther(String text) {
        waiting.add(new WaitingCommand(null));
        write(text);
    }

    /** Writes a part of a request and nothing after it. */
    void stall(Stall begun, String part) {
        stall = begun;
        write(part);
    }

    private void write(String text) {
        if (channel.isActive()) {
            writeNow(text);
        } else if (open) {
            writes.add(text);
        }
    }

    private void writeNow(String text) {
        channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Closes or resets the connection from the client's side, so that its open requests need no response any more. */
    void disconnect(boolean reset) {
        if (!open) {
            return;
        }
        end(End.LEFT);
        if (reset) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    private void end(End how) {
        open = false;
        double now = clock.now();
        for (WaitingCommand each : waiting) {
            if (each.request() != null) {
                each.request().ended(how, now);
            }
        }
        waiting.clear();
        if (stall != null && stall.endedAt < 0) {
            stall.endedAt = now;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        pending.writeBytes(bytes);
        bytes.release();
        while (takeResponse()) {
            // Responses arrive in the order of the commands.
        }
        pending.discardReadBytes();
    }

    private boolean takeResponse() {
        int lineEnd = pending.indexOf(pending.readerIndex(), pending.writerIndex(), (byte) '\n');
        incompleteValueBytes = 0;
        if (lineEnd < 0) {
            return false;
        }
        int start = pending.readerIndex();
        String line = pending.toString(start, lineEnd - start - 1, StandardCharsets.ISO_8859_1);
        if (!line.startsWith("$")) {
            pending.readerIndex(lineEnd + 1);
            endRequest(line.startsWith("-BUSY") ? End.REFUSED : End.FAILED, line);
            return true;
        }
        int length = Integer.parseInt(line.substring(1));
        if (pending.writerIndex() < lineEnd + 1 + length + 2) {
            incompleteValueBytes = length;
            return false;
        }
        String value = pending.toString(lineEnd + 1, Math.min(length, MAX_RECORDED_CHARS), StandardCharsets.ISO_8859_1);
        pending.readerIndex(lineEnd + 1 + length + 2);
        endRequest(End.SERVED, value);
        return true;
    }

    private void endRequest(End how, String response) {
        WaitingCommand first = waiting.poll();
        if (first == null) {
            if (stall != null && stall.endedAt < 0) {
                stall.endedAt = clock.now();
            }
            return;
        }
        if (first.request() != null) {
            first.request().response = response;
            first.request().previousResponseAt = lastResponseAt;
            first.request().ended(how, clock.now());
        }
        lastResponseAt = clock.now();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!open) {
            return;
        }
        boolean killed = gateway.killed();
        if (killed) {
            recordTermination();
        }
        if (!killed && incompleteValueBytes > 0) {
            WaitingCommand first = waiting.poll();
            if (first != null && first.request() != null) {
                first.request().ended(End.CUT, clock.now());
            }
        }
        end(killed ? End.KILLED : End.CLOSED);
    }

    private void recordTermination() {
        double sentAt = gateway.terminationSentAt();
        waiting.forEach(each -> {
            if (each.request() != null) {
                each.request().terminationSentAt = sentAt;
            }
        });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
