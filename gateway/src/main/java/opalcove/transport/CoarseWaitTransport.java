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
 * Vert.x's NIO transport with what the gateway needs of sockets beyond it: limits and failures of accepting, shared
 * ports, and when event loops read. Its waits are coarse: a selector waits in whole milliseconds, and Netty rounds the
 * wait to the nearest one, so with less than half a millisecond to go its loop polls the selector again and again until
 * the timer is due. Here it rounds up, so that the loop sleeps and a timer is up to a millisecond late. Guards the
 * processor: on a part of a core those polls were most of all that the loop did.
 */
public class CoarseWaitTransport extends NioTransport {
    /** Connections that one read of a listening socket may accept. */
    public static final int ACCEPTS_AT_ONCE = 8;

    /** Netty adds as much again before it truncates to whole milliseconds. */
    private static final long ROUNDING_NANOS = 499_999;
    /** Reads of a listening socket before it is closed; each accepts several, and all together a whole backlog. */
    private static final int MAX_BACKLOG_READS = 128;
    /** How often, and how long, it waits to be below the limit before the rest of the backlog is closed unread. */
    private static final int MAX_BACKLOG_WAITS = 20;

    private static final long BACKLOG_WAIT_MS = 5;

    private final Set<Channel> listening = ConcurrentHashMap.newKeySet();
    /** Connections of one listening socket that may be open at once. */
    private volatile int maxAccepted = Integer.MAX_VALUE;

    private volatile Consumer<IOException> acceptFailureListener =
            failure -> Logger.warn("cannot accept a connection: {}", failure.getMessage());

    private final Map<ThreadAwareExecutor, SocketReadTimes> readTimes = new ConcurrentHashMap<>();

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        IoHandlerFactory plain = super.ioHandlerFactory();
        return executor -> {
            SocketReadTimes times = new SocketReadTimes();
            readTimes.put(executor, times);
            return new CoarseWaitHandler(handler(plain, executor), times);
        };
    }

    /**
     * Supplies up to when the event loop of the caller's context has read its sockets, by {@link System#nanoTime}; to
     * be called on that loop only. Where the Vert.x instance is not on this transport it is assumed to be always up to
     * date.
     */
    public static LongSupplier readUpTo(Vertx vertx) {
        SocketReadTimes times = readTimes(vertx);
        return times == null ? System::nanoTime : times::readUpTo;
    }

    /**
     * Supplies since when what the event loop of the caller's context reads in this turn may have lain unread, by
     * {@link System#nanoTime}; to be called on that loop only. Where the Vert.x instance is not on this transport it is
     * assumed to have arrived just now.
     */
    public static LongSupplier unreadSince(Vertx vertx) {
        SocketReadTimes times = readTimes(vertx);
        return times == null ? System::nanoTime : times::unreadSince;
    }

    /**
     * Since when an accepted connection may have waited to be accepted, by {@link System#nanoTime}; now, where that is
     * not known.
     */
    public static long waitingSince(Vertx vertx, AttributeMap connection) {
        Long since = connection.attr(AcceptLimiter.WAITING_SINCE).get();
        SocketReadTimes times = readTimes(vertx);
        if (since == null) {
            return System.nanoTime();
        }
        return times == null ? since : times.arrivedSince(since);
    }

    /** Calls the action each time that the system fails to accept a connection, on the acceptor's thread. */
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
     * Sets SO_REUSEPORT, which Vert.x leaves to its native transports; the JDK has it on Linux. With it a new process
     * of the gateway listens at the port of the old one while that still serves.
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
                                maxAccepted,
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
     * Limits how many connections may be open at once, of each socket that listens from now on. Others wait in the
     * kernel's backlog. Does nothing where the Vert.x instance is not on this transport.
     */
    public static void limitAccepted(Vertx vertx, int max) {
        if (((VertxInternal) vertx).transport() instanceof CoarseWaitTransport transport) {
            transport.maxAccepted = max;
        }
    }

    /**
     * Stops listening at shared ports and leaves the servers as they are: all connections that the kernel holds are
     * accepted first, and handed over as usual. Guards connections that were established while the loops were held up,
     * which a server's own shutdown closes unread. Runs the action on the caller's context once all of them were handed
     * over; gives false, and does nothing, where the Vert.x instance is not on this transport.
     */
    public static boolean stopListening(Vertx vertx, Runnable whenStopped) {
        if (!(((VertxInternal) vertx).transport() instanceof CoarseWaitTransport transport)) {
            return false;
        }
        Context context = vertx.getOrCreateContext();
        List<Channel> servers = List.copyOf(transport.listening);
        AtomicInteger remaining = new AtomicInteger(servers.size() + 1);
        // Two turns: in the first the connections handed over are registered, in the second their handler has run.
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

    /** Accepts what the kernel holds, as far as the limit allows, and closes the listening socket. */
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

    /** The handler of a loop; a transport that observes what loops do wraps it in its own. */
    protected IoHandler handler(IoHandlerFactory plain, ThreadAwareExecutor executor) {
        return plain.newHandler(executor);
    }

    /**
     * Gives its loop's handler a context in which the next timer is a little further away, and records when the sockets
     * are polled and read.
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

        /** Netty's handler calls this between its poll of the sockets and the reading of those that are ready. */
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

        /** What is due already is not delayed, and no timer stays none. */
        private static long roundUp(long delayNanos) {
            return delayNanos <= 0 || delayNanos > Long.MAX_VALUE - ROUNDING_NANOS
                    ? delayNanos
                    : delayNanos + ROUNDING_NANOS;
        }
    }
}
