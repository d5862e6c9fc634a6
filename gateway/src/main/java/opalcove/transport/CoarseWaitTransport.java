package opalcove.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.util.AttributeMap;
import io.netty.util.concurrent.ThreadAwareExecutor;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.internal.ContextInternal;
import io.vertx.core.internal.VertxInternal;
import io.vertx.core.net.NetServerOptions;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Vert.x's NIO transport, but for the last part of a millisecond before a timer is due. A selector waits in whole
 * milliseconds, and Netty rounds the wait to the nearest one: with less than half a millisecond to go its loop asks the
 * selector again and again until the time has come. Here it rounds up, so that the loop sleeps and a timer comes up to a
 * millisecond late. Guards the processor: on a part of a core those looks were most of all that the loop did.
 */
public class CoarseWaitTransport extends NioTransport {
    /** Connections that one look at a listening socket may accept. */
    public static final int ACCEPTS_AT_ONCE = 8;

    /** Netty adds as much again before it cuts to whole milliseconds, ns. */
    private static final long PART_NS = 499_999;
    /** Looks for connections before a listening socket is closed; each takes several, and all take a whole backlog. */
    private static final int MOST_TAKES = 128;
    /** How often, and how far apart in ms, it waits for room before what is left in the backlog is closed unread. */
    private static final int MOST_WAITS = 20;

    private static final long WAIT_MS = 5;

    private final Set<Channel> listening = ConcurrentHashMap.newKeySet();
    /** Connections of one listening socket that may be open at once. */
    private volatile int mostAccepted = Integer.MAX_VALUE;

    private volatile Consumer<IOException> whenAcceptRefused =
            refusal -> Logger.warn("a connection cannot be accepted: {}", refusal.getMessage());

    private final Map<ThreadAwareExecutor, SocketPoller> polls = new ConcurrentHashMap<>();

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        IoHandlerFactory plain = super.ioHandlerFactory();
        return executor -> {
            SocketPoller loop = new SocketPoller();
            polls.put(executor, loop);
            return new CoarseWaitHandler(handler(plain, executor), loop);
        };
    }

    /**
     * Tells up to when the event loop of the caller's context has read its sockets, on the scale of {@link
     * System#nanoTime}; to be asked on that loop alone. Where the Vert.x instance is not on this transport it is
     * taken to be always up to date.
     */
    public static LongSupplier readUpTo(Vertx vertx) {
        SocketPoller polls = polls(vertx);
        return polls == null ? System::nanoTime : polls::readUpTo;
    }

    /**
     * Tells since when what the event loop of the caller's context reads in this turn may have lain unread, on the scale of
     * {@link System#nanoTime}; to be asked on that loop alone. Where the Vert.x instance is not on this transport it is taken
     * to have come just now.
     */
    public static LongSupplier unreadSince(Vertx vertx) {
        SocketPoller polls = polls(vertx);
        return polls == null ? System::nanoTime : polls::unreadSince;
    }

    /**
     * Since when an accepted connection may have waited to be accepted, on the scale of {@link System#nanoTime}; now, where
     * that is not known.
     */
    public static long waitingSince(Vertx vertx, AttributeMap connection) {
        Long since = connection.attr(AcceptLimiter.WAITING_SINCE).get();
        SocketPoller polls = polls(vertx);
        return since == null ? System.nanoTime() : polls == null ? since : polls.cameSince(since);
    }

    /** Has this told each time that the system refuses to accept a connection, on the acceptor's thread. */
    public static void whenAcceptRefused(Vertx vertx, Consumer<IOException> action) {
        if (((VertxInternal) vertx).transport() instanceof CoarseWaitTransport transport) {
            transport.whenAcceptRefused = action;
        }
    }

    private static SocketPoller polls(Vertx vertx) {
        EventLoop loop = ((ContextInternal) vertx.getOrCreateContext()).nettyEventLoop();
        return ((VertxInternal) vertx).transport() instanceof CoarseWaitTransport transport
                ? transport.polls.get(loop)
                : null;
    }

    /**
     * Vert.x leaves SO_REUSEPORT to its native transports; the JDK has it on Linux. With it a new process of the gateway
     * listens at the port of the old one while that still serves.
     */
    @Override
    public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
        super.configure(options, domainSocket, bootstrap);
        if (domainSocket) {
            return;
        }
        if (options.isReusePort()) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        bootstrap.handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel server) {
                SocketPoller acceptor = polls.get(server.eventLoop());
                server.pipeline()
                        .addLast(new AcceptLimiter(
                                server,
                                mostAccepted,
                                acceptor == null ? System::nanoTime : acceptor::unreadSince,
                                refusal -> whenAcceptRefused.accept(refusal)));
                if (options.isReusePort()) {
                    listening.add(server);
                    server.closeFuture().addListener(closed -> listening.remove(server));
                }
            }
        });
    }

    /**
     * Limits the connections that may be open at once of each socket that listens from now on. Others wait
     * in the kernel's backlog. Does nothing where the Vert.x instance is not on this transport.
     */
    public static void limitAccepted(Vertx vertx, int most) {
        if (((VertxInternal) vertx).transport() instanceof CoarseWaitTransport transport) {
            transport.mostAccepted = most;
        }
    }

    /**
     * Ends the listening at shared ports and leaves the servers as they are: all that the kernel holds by then is taken
     * first, and what was taken is handed over as ever. Guards connections that were made while the loops were held up,
     * which a server's own shutdown closes unread. Runs the action on the caller's context once all of them have come
     * there; gives false, and does nothing, where the Vert.x instance is not on this transport.
     */
    public static boolean stopListening(Vertx vertx, Runnable then) {
        if (!(((VertxInternal) vertx).transport() instanceof CoarseWaitTransport transport)) {
            return false;
        }
        Context context = vertx.getOrCreateContext();
        List<Channel> servers = List.copyOf(transport.listening);
        AtomicInteger left = new AtomicInteger(servers.size() + 1);
        // Two turns: in the first the connections handed over are registered, in the second their handler has run.
        Runnable last = () -> {
            if (left.decrementAndGet() == 0) {
                context.runOnContext(registered -> context.runOnContext(handled -> then.run()));
            }
        };
        for (Channel server : servers) {
            server.eventLoop().execute(() -> takeBacklog(server, 0, last));
        }
        last.run();
        return true;
    }

    /** Accepts what the kernel holds, as far as the limit lets it, and closes the listening socket. */
    private static void takeBacklog(Channel server, int waits, Runnable last) {
        AcceptLimiter limit = server.pipeline().get(AcceptLimiter.class);
        if (server.unsafe() instanceof AbstractNioChannel.NioUnsafe nio && limit != null) {
            for (int take = 0; take < MOST_TAKES && limit.hasRoom(); take++) {
                nio.read();
            }
            if (!limit.hasRoom() && waits < MOST_WAITS) {
                server.eventLoop().schedule(() -> takeBacklog(server, waits + 1, last), WAIT_MS, TimeUnit.MILLISECONDS);
                return;
            }
        }
        server.close().addListener(closed -> last.run());
    }

    /** The handler of a loop; a transport that looks at what loops do puts its own around it. */
    protected IoHandler handler(IoHandlerFactory plain, ThreadAwareExecutor executor) {
        return plain.newHandler(executor);
    }

    /**
     * Hands its loop's handler a context in which what is to be waited for is a little further away, and marks when the
     * sockets are asked and read.
     */
    private static final class CoarseWaitHandler extends DelegatingIoHandler {
        private final SocketPoller polls;

        CoarseWaitHandler(IoHandler handler, SocketPoller polls) {
            super(handler);
            this.polls = polls;
        }

        @Override
        public int run(IoHandlerContext context) {
            polls.requests();
            int handled = super.run(context);
            polls.read(handled);
            return handled;
        }

        /** Netty's handler asks this between its look at the sockets and the reading of those that are ready. */
        @Override
        public boolean shouldReportActiveIoTime() {
            polls.polled();
            return super.shouldReportActiveIoTime();
        }

        @Override
        public long delayNanos(long now) {
            long delayNanos = later(super.delayNanos(now));
            polls.sleepsAtMost(delayNanos);
            return delayNanos;
        }

        /** What is due already is not put off, and no timer stays none. */
        private static long later(long delayNanos) {
            return delayNanos <= 0 || delayNanos > Long.MAX_VALUE - PART_NS ? delayNanos : delayNanos + PART_NS;
        }
    }
}
