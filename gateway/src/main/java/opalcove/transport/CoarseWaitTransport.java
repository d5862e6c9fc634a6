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
 * Vert.x's NIO transport, extended by what the gateway needs in addition: limits on accepted connections, notification
 * of accept failures, shared ports, and the times at which event loops read their sockets.
 *
 * <p>Its waits are coarse. A selector waits for a number of full milliseconds, and Netty rounds the wait to the nearest
 * one. With less than half a millisecond to go, Netty's loop therefore polls the selector repeatedly until the timer is
 * due. This transport rounds the wait up instead, so that the loop sleeps and a timer is up to a millisecond late. This
 * saves processor time: on a part of a core those polls were most of the work of the loop.
 */
public class CoarseWaitTransport extends NioTransport {
    /** The maximum number of connections that one read of a listening socket accepts. */
    public static final int ACCEPTS_AT_ONCE = 8;

    /**
     * Added to each wait, in ns; Netty adds the same amount again before it truncates the wait to full milliseconds.
     */
    private static final long ROUNDING_NANOS = 499_999;
    /** The number of reads of a listening socket before it is closed; together they accept a complete backlog. */
    private static final int MAX_BACKLOG_READS = 128;
    /** The number of waits for the limit of connections before the rest of the backlog is closed unread. */
    private static final int MAX_BACKLOG_WAITS = 20;

    /** The length of each of these waits. */
    private static final long BACKLOG_WAIT_MS = 5;

    private final Set<Channel> listening = ConcurrentHashMap.newKeySet();
    /** The maximum number of open connections of one listening socket. */
    private volatile int maxConnections = Integer.MAX_VALUE;

    private volatile Consumer<IOException> acceptFailureListener =
            failure -> Logger.warn("cannot accept a connection: {}", failure.getMessage());

    private final Map<ThreadAwareExecutor, SocketReadTimes> readTimes = new ConcurrentHashMap<>();

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        IoHandlerFactory defaultFactory = super.ioHandlerFactory();
        return executor -> {
            SocketReadTimes times = new SocketReadTimes();
            readTimes.put(executor, times);
            return new CoarseWaitHandler(handler(defaultFactory, executor), times);
        };
    }

    /**
     * Returns a supplier of the {@link System#nanoTime} up to which the event loop of the caller's context has read its
     * sockets. The supplier must be called on that loop only. If the Vert.x instance does not use this transport, the
     * loop is assumed to be always up to date.
     */
    public static LongSupplier readUpTo(Vertx vertx) {
        SocketReadTimes times = readTimes(vertx);
        return times == null ? System::nanoTime : times::readUpTo;
    }

    /**
     * Returns a supplier of the {@link System#nanoTime} since which data that the event loop of the caller's context
     * reads in this turn may have lain unread. The supplier must be called on that loop only. If the Vert.x instance
     * does not use this transport, the data is assumed to have arrived just now.
     */
    public static LongSupplier unreadSince(Vertx vertx) {
        SocketReadTimes times = readTimes(vertx);
        return times == null ? System::nanoTime : times::unreadSince;
    }

    /**
     * Returns the {@link System#nanoTime} since which an accepted connection may have waited to be accepted, or the
     * current time if that is not known.
     */
    public static long waitingSince(Vertx vertx, AttributeMap connection) {
        Long since = connection.attr(AcceptLimiter.WAITING_SINCE).get();
        SocketReadTimes times = readTimes(vertx);
        if (since == null) {
            return System.nanoTime();
        }
        return times == null ? since : times.arrivedSince(since);
    }

    /** Calls the action on the acceptor's thread each time the system fails to accept a connection. */
    public static void whenAcceptRefused(Vertx vertx, Consumer<IOException> action) {
        if (((VertxInternal) vertx).transport() instanceof CoarseWaitTransport transport) {
            transport.acceptFailureListener = action;
        }
    }

    private static SocketReadTimes readTimes(Vertx vertx) {
        EventLoop loop = ((ContextInternal) vertx.getOrCreateContext()).nettyEventLoop();
        return ((VertxInternal) vertx).transport() instanceof CoarseWaitTransport transport
                ? transport.readTimes.get(loop)
                : null;
    }

    /**
     * Sets SO_REUSEPORT, which Vert.x supports only in its native transports; the JDK supports it on Linux. It allows a
     * new process of the gateway to listen at the port of the old process while that still serves.
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
                SocketReadTimes acceptor = readTimes.get(server.eventLoop());
                server.pipeline()
                        .addLast(new AcceptLimiter(
                                server,
                                maxConnections,
                                acceptor == null ? System::nanoTime : acceptor::unreadSince,
                                failure -> acceptFailureListener.accept(failure)));
                if (options.isReusePort()) {
                    listening.add(server);
                    server.closeFuture().addListener(closed -> listening.remove(server));
                }
            }
        });
    }

    /**
     * Limits the number of open connections of each socket that listens from now on; further connections wait in the
     * kernel's backlog. Does nothing if the Vert.x instance does not use this transport.
     */
    public static void limitAccepted(Vertx vertx, int max) {
        if (((VertxInternal) vertx).transport() instanceof CoarseWaitTransport transport) {
            transport.maxConnections = max;
        }
    }

    /**
     * Stops listening at shared ports without closing the servers. All connections in the kernel's backlog are accepted
     * first and handed to their servers as usual. Without it, a server's own shutdown would close unread the
     * connections that were established while the loops were stalled.
     *
     * @param whenStopped runs on the caller's context once all these connections were handed over
     * @return false, without any effect, if the Vert.x instance does not use this transport
     */
    public static boolean stopListening(Vertx vertx, Runnable whenStopped) {
        if (!(((VertxInternal) vertx).transport() instanceof CoarseWaitTransport transport)) {
            return false;
        }
        Context context = vertx.getOrCreateContext();
        List<Channel> servers = List.copyOf(transport.listening);
        AtomicInteger remaining = new AtomicInteger(servers.size() + 1);
        // Two turns are needed: in the first the accepted connections are registered, in the second their handlers run.
        Runnable stepDone = () -> {
            if (remaining.decrementAndGet() == 0) {
                context.runOnContext(registered -> context.runOnContext(handled -> whenStopped.run()));
            }
        };
        for (Channel server : servers) {
            server.eventLoop().execute(() -> acceptBacklog(server, 0, stepDone));
        }
        stepDone.run();
        return true;
    }

    /** Accepts the kernel's backlog as far as the limit permits, and closes the listening socket. */
    private static void acceptBacklog(Channel server, int waits, Runnable whenClosed) {
        AcceptLimiter limiter = server.pipeline().get(AcceptLimiter.class);
        if (server.unsafe() instanceof AbstractNioChannel.NioUnsafe nio && limiter != null) {
            for (int reads = 0; reads < MAX_BACKLOG_READS && limiter.isBelowLimit(); reads++) {
                nio.read();
            }
            if (!limiter.isBelowLimit() && waits < MAX_BACKLOG_WAITS) {
                server.eventLoop()
                        .schedule(
                                () -> acceptBacklog(server, waits + 1, whenClosed),
                                BACKLOG_WAIT_MS,
                                TimeUnit.MILLISECONDS);
                return;
            }
        }
        server.close().addListener(closed -> whenClosed.run());
    }

    /** Creates the handler of an event loop; a subclass that observes event loops wraps it in its own handler. */
    protected IoHandler handler(IoHandlerFactory defaultFactory, ThreadAwareExecutor executor) {
        return defaultFactory.newHandler(executor);
    }

    /**
     * Presents a slightly later timer to the event loop's handler, and records when the sockets are polled and read.
     */
    private static final class CoarseWaitHandler extends DelegatingIoHandler {
        private final SocketReadTimes readTimes;

        CoarseWaitHandler(IoHandler handler, SocketReadTimes readTimes) {
            super(handler);
            this.readTimes = readTimes;
        }

        @Override
        public int run(IoHandlerContext context) {
            readTimes.pollBegins();
            int handled = super.run(context);
            readTimes.socketsRead(handled);
            return handled;
        }

        /** Netty's handler calls this after it has polled the sockets and before it reads those that are ready. */
        @Override
        public boolean shouldReportActiveIoTime() {
            readTimes.polled();
            return super.shouldReportActiveIoTime();
        }

        @Override
        public long delayNanos(long now) {
            long delayNanos = roundUp(super.delayNanos(now));
            readTimes.sleepLimited(delayNanos);
            return delayNanos;
        }

        /** Adds the rounding to a delay, unless the timer is already due or there is no timer. */
        private static long roundUp(long delayNanos) {
            return delayNanos <= 0 || delayNanos > Long.MAX_VALUE - ROUNDING_NANOS
                    ? delayNanos
                    : delayNanos + ROUNDING_NANOS;
        }
    }
}
