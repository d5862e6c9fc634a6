package opalcove.laboratory.soak;

import com.eclipsesource.json.JsonObject;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The discovery agent that one gateway polls or watches. It records in the history's changes when the gateway was
 * notified of each change, or when it counts as notified although the notification did not arrive. Used only on its
 * event loop.
 */
final class DiscoveryAgent {
    /**
     * How long after a watch stopped responding, or after discovery became reachable again, a gateway counts as
     * notified of the changes that it missed, ms.
     */
    private static final double MISSED_NOTIFICATION_MS = 6000;
    /**
     * How long after a SIGHUP that changed the discovery address the gateway counts as notified of that agent's list,
     * ms.
     */
    private static final double MOVED_NOTIFICATION_MS = 4000;

    private static final int MAX_REQUEST = 8192;

    private final int gateway;
    private final Fleet fleet;
    private final List<String> addresses;
    private final boolean pushed;
    private final EventLoopGroup loop;
    private final SoakClock clock;
    private final History history;
    private final Set<Watch> watches = new HashSet<>();
    private final Set<Channel> connections = new HashSet<>();
    private Channel server;
    private final ReservedPort port = new ReservedPort();
    private boolean silent;
    private boolean truncatesLists;
    private boolean completeLists;
    /** When watches were hung; below 0 if none is. */
    private double hungAt = -1;
    /** When the gateway was last configured to use this agent; below 0 while it uses the other one. */
    private double followedAt = -1;

    private boolean followedBySignal;

    DiscoveryAgent(
            int gateway,
            Fleet fleet,
            List<String> addresses,
            boolean pushed,
            EventLoopGroup loop,
            SoakClock clock,
            History history)
            throws IOException {
        this.gateway = gateway;
        this.fleet = fleet;
        this.addresses = addresses;
        this.pushed = pushed;
        this.loop = loop;
        this.clock = clock;
        this.history = history;
        fleet.addWatcher(entry -> onFleetChange());
    }

    int port() {
        return port.number();
    }

    void open() {
        var binding = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 64)
                .option(ReservedPort.REUSE_PORT, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.closeFuture().addListener(closed -> connections.remove(channel));
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_REQUEST),
                                        new RequestHandler());
                    }
                })
                .bind("127.0.0.1", port.number());
        server = binding.channel();
    }

    /** Releases the reserved port. */
    void release() throws IOException {
        port.close();
    }

    /** Sets whether the gateway uses this agent, either from its start or, if {@code bySignal}, from a SIGHUP. */
    void setFollowed(boolean following, boolean bySignal) {
        followedAt = following ? clock.now() : -1;
        followedBySignal = bySignal;
        if (following) {
            recordNotifications();
        }
    }

    /** Sets whether the agent accepts requests without responding to any, and doesn't react to changes of the list. */
    void setSilent(boolean silentNow) {
        silent = silentNow;
        if (!silentNow) {
            hungAt = -1;
            Set.copyOf(watches).forEach(Watch::respond);
            recordNotifications();
        }
    }

    /** Sets whether the agent refuses connections. When it starts to, it also resets those that are open. */
    void setRefusesConnections(boolean refuses) {
        // Two such faults may overlap: the first to end opens the port again.
        if (refuses && server != null) {
            server.close();
            server = null;
            resetConnections();
        } else if (!refuses && server == null) {
            open();
            recordNotifications();
        }
    }

    /** Drops the watches that are open now, so that they never get a response. */
    void hangWatches() {
        if (!watches.isEmpty()) {
            hungAt = clock.now();
            watches.forEach(Watch::cancelTimer);
            watches.clear();
        }
    }

    void resetConnections() {
        for (Channel each : List.copyOf(connections)) {
            if (each.isOpen()) {
                each.config().setOption(ChannelOption.SO_LINGER, 0);
                each.close();
            }
        }
    }

    void setTruncatesLists(boolean truncates) {
        truncatesLists = truncates;
        if (!truncates) {
            recordNotifications();
        }
    }

    /** Sets whether watches get complete lists, which leave out draining backends, in place of changes. */
    void setCompleteLists(boolean complete) {
        completeLists = complete;
    }

    private boolean reachable() {
        return server != null && !silent && followedAt >= 0;
    }

    private void onFleetChange() {
        recordNotifications();
        if (!silent) {
            Set.copyOf(watches).forEach(Watch::respond);
        }
    }

    /**
     * Records when the gateway counts as notified of all changes so far, whether or not a response with them arrives.
     */
    private void recordNotifications() {
        if (!reachable()) {
            return;
        }
        double now = clock.now();
        double at = !pushed || truncatesLists
                ? now + MISSED_NOTIFICATION_MS
                : hungAt >= 0 ? Math.max(now, hungAt + MISSED_NOTIFICATION_MS) : now;
        if (followedBySignal) {
            at = Math.max(at, followedAt + MOVED_NOTIFICATION_MS);
        }
        for (History.Change change : history.changes) {
            recordNotification(change, at);
        }
    }

    private void recordNotification(History.Change change, double at) {
        double before = change.notifiedAt[gateway];
        if (before < 0 || at < before) {
            change.notifiedAt[gateway] = at;
        }
    }

    /** Records that the gateway is notified of all changes so far, since a list has been written to it. */
    private void recordWrittenList() {
        double now = clock.now();
        history.changes.forEach(change -> recordNotification(change, now));
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            List<String> since = uri.parameters().get("since");
            if (since == null) {
                if (!silent) {
                    write(context, fleet.snapshot(addresses, true));
                }
                return;
            }
            int timeoutMs = Integer.parseInt(uri.parameters().get("timeout_ms").get(0));
            Watch watch = new Watch(context, Long.parseLong(since.get(0)));
            watches.add(watch);
            if (fleet.index() > watch.since && !silent) {
                watch.respond();
            } else {
                watch.timer = context.executor().schedule(watch::respond, timeoutMs, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void write(ChannelHandlerContext context, JsonObject list) {
        String text = list.toString();
        ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (truncatesLists) {
            body.writerIndex(body.writerIndex() / 2);
            context.writeAndFlush(response).addListener(sent -> context.close());
            return;
        }
        context.writeAndFlush(response);
        recordWrittenList();
    }

    /** A blocking request that waits for a version after {@code since} or for its timeout. */
    private final class Watch {
        private final ChannelHandlerContext context;
        private final long since;
        private Future<?> timer;

        Watch(ChannelHandlerContext context, long since) {
            this.context = context;
            this.since = since;
            context.channel().closeFuture().addListener(closed -> watches.remove(this));
        }

        void respond() {
            if (silent || !watches.remove(this)) {
                return;
            }
            cancelTimer();
            boolean changed = fleet.index() > since;
            write(
                    context,
                    completeLists && changed ? fleet.snapshot(addresses, false) : fleet.changes(since, addresses));
        }

        void cancelTimer() {
            if (timer != null) {
                timer.cancel(false);
            }
        }
    }
}
