package opalcove.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Accepts connections of one listening socket only while fewer than a limit are open; the others wait in the kernel's
 * backlog. Guards the descriptors kept for other uses: the acceptor's thread takes connections as fast as they come,
 * however far the event loop that is to look after them has got.
 *
 * <p>Where the system refuses to accept, it is asked again after a wait that grows with each refusal in a row. How long a
 * connection may have waited meanwhile is kept with it. All but {@link #hasRoom} runs on the acceptor's event loop.
 */
final class AcceptLimiter extends ChannelInboundHandlerAdapter {
    /** Since when a connection may have waited to be accepted, on the scale of {@link System#nanoTime}. */
    static final AttributeKey<Long> WAITING_SINCE = AttributeKey.valueOf("opalcove.waiting-since");

    private static final long FIRST_WAIT_MS = 1;
    private static final long LONGEST_WAIT_MS = 32;
    /** No more connections wait at a time than a front's backlog holds, and a few. */
    private static final int MOST_WAITING = 520;

    private final Channel server;
    private final int pauseAt;
    private final LongSupplier unreadSince;
    private final Consumer<IOException> whenRefused;
    private final DescriptorCounter connections = new DescriptorCounter(this::resume);
    private volatile boolean paused;
    /** The system has refused to accept, and is not asked yet. */
    private volatile boolean waiting;

    private long waitMs = FIRST_WAIT_MS;
    /** Whether connections may have waited since {@link #waitingSince}: the backlog was not emptied since. */
    private boolean mayWait;

    private long waitingSince;
    /** When the last connections were accepted, as many as a backlog may hold, in a ring. */
    private final long[] acceptedAt = new long[MOST_WAITING];

    private long accepted;
    private int acceptedInLook;
    /** What the two were before the look at the listening socket that has just ended. */
    private boolean mayWaitBefore;

    private long waitingSinceBefore;

    /** A limit under one look's connections is taken to be as many. */
    @SuppressWarnings(
            "deprecation") // the server channel's own setting; its successor is the allocator, which is shared
    AcceptLimiter(Channel server, int limit, LongSupplier unreadSince, Consumer<IOException> whenRefused) {
        this.server = server;
        this.unreadSince = unreadSince;
        this.whenRefused = whenRefused;
        pauseAt = Math.max(1, limit - CoarseWaitTransport.ACCEPTS_AT_ONCE + 1);
        server.config().setMaxMessagesPerRead(CoarseWaitTransport.ACCEPTS_AT_ONCE);
    }

    /** Whether another look at the listening socket keeps the limit. */
    boolean hasRoom() {
        return connections.held() < pauseAt;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Channel connection = (Channel) message;
        acceptedInLook++;
        waitMs = FIRST_WAIT_MS;
        connection.attr(WAITING_SINCE).set(mayWait ? waitingSinceAtMost() : unreadSince.getAsLong());
        acceptedAt[(int) (accepted++ % MOST_WAITING)] = System.nanoTime();
        connections.opened();
        connection.closeFuture().addListener(closed -> connections.closed(connection.eventLoop()));
        if (!hasRoom()) {
            paused = true;
            server.config().setAutoRead(false);
            if (hasRoom()) {
                // Connections were closed meanwhile, and their close may not have seen the pause.
                resume();
            }
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        mayWaitBefore = mayWait;
        waitingSinceBefore = waitingSince;
        boolean emptied = acceptedInLook < CoarseWaitTransport.ACCEPTS_AT_ONCE && !paused;
        acceptedInLook = 0;
        if (emptied) {
            mayWait = false;
        } else {
            waitFrom(unreadSince.getAsLong());
        }
        context.fireChannelReadComplete();
    }

    /**
     * Since when a connection that is accepted now may have waited: those before it in the backlog, no more than that holds, were
     * accepted after it had come. Guards new clients in a storm that never lets the backlog run empty.
     */
    private long waitingSinceAtMost() {
        if (accepted < MOST_WAITING) {
            return waitingSince;
        }
        long oldest = acceptedAt[(int) (accepted % MOST_WAITING)];
        return oldest - waitingSince > 0 ? oldest : waitingSince;
    }

    private void waitFrom(long since) {
        if (!mayWait) {
            mayWait = true;
            waitingSince = since;
        }
    }

    /**
     * The system refuses to accept, for want of descriptors or memory, say. Guards clients against Netty's own answer to
     * that, which is to accept nothing for a second, and the processor against asking again and again. Comes after the end
     * of the look that failed, which therefore has not emptied the backlog.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException refusal)) {
            context.fireExceptionCaught(cause);
            return;
        }
        mayWait = mayWaitBefore;
        waitingSince = waitingSinceBefore;
        waitFrom(unreadSince.getAsLong());
        whenRefused.accept(refusal);
        if (!waiting) {
            waiting = true;
            server.config().setAutoRead(false);
            server.eventLoop().schedule(this::requestAgain, waitMs, TimeUnit.MILLISECONDS);
            waitMs = Math.min(2 * waitMs, LONGEST_WAIT_MS);
        }
    }

    private void requestAgain() {
        waiting = false;
        if (!paused) {
            server.config().setAutoRead(true);
        }
    }

    private void resume() {
        if (paused && hasRoom()) {
            paused = false;
            if (!waiting) {
                server.config().setAutoRead(true);
            }
        }
    }
}
