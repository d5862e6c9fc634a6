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
 * backlog. Guards the descriptors reserved for other uses: the acceptor's thread accepts connections as fast as they
 * arrive, however far the event loop that handles them has progressed.
 *
 * <p>Where the system fails to accept, it is retried after a wait that grows with each failure in a row. How long a
 * connection may have waited meanwhile is recorded with it. All but {@link #isBelowLimit} runs on the acceptor's event
 * loop. All times are by {@link System#nanoTime}.
 */
final class AcceptLimiter extends ChannelInboundHandlerAdapter {
    /** Since when a connection may have waited to be accepted. */
    static final AttributeKey<Long> WAITING_SINCE = AttributeKey.valueOf("opalcove.waiting-since");

    private static final long MIN_RETRY_MS = 1;
    private static final long MAX_RETRY_MS = 32;
    /** More connections than a server's backlog holds. */
    private static final int MAX_WAITING = 520;

    private final Channel server;
    private final int pauseAt;
    private final LongSupplier unreadSince;
    private final Consumer<IOException> acceptFailureListener;
    private final DescriptorCounter connections = new DescriptorCounter(this::resumeIfBelowLimit);
    private volatile boolean isPaused;
    /** The system has failed to accept, and is not retried yet. */
    private volatile boolean isBackingOff;

    private long retryMs = MIN_RETRY_MS;
    /** Whether connections may have waited since {@link #waitingSince}: the backlog was not emptied since. */
    private boolean mayWait;

    private long waitingSince;
    /** When the last connections were accepted, as many as a backlog may hold, in a ring. */
    private final long[] acceptedAt = new long[MAX_WAITING];

    private long acceptedCount;
    private int acceptedInRead;
    /** What the two were before the read of the listening socket that has just ended. */
    private boolean mayWaitBefore;

    private long waitingSinceBefore;

    /** A limit below the connections of one read counts as that many. */
    @SuppressWarnings(
            "deprecation") // the server channel's own setting; its successor is the allocator, which is shared
    AcceptLimiter(Channel server, int limit, LongSupplier unreadSince, Consumer<IOException> acceptFailureListener) {
        this.server = server;
        this.unreadSince = unreadSince;
        this.acceptFailureListener = acceptFailureListener;
        pauseAt = Math.max(1, limit - CoarseWaitTransport.ACCEPTS_AT_ONCE + 1);
        server.config().setMaxMessagesPerRead(CoarseWaitTransport.ACCEPTS_AT_ONCE);
    }

    /** Whether another read of the listening socket keeps within the limit. Thread-safe. */
    boolean isBelowLimit() {
        return connections.held() < pauseAt;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Channel connection = (Channel) message;
        acceptedInRead++;
        retryMs = MIN_RETRY_MS;
        connection.attr(WAITING_SINCE).set(mayWait ? earliestWaitingSince() : unreadSince.getAsLong());
        acceptedAt[(int) (acceptedCount++ % MAX_WAITING)] = System.nanoTime();
        connections.opened();
        connection.closeFuture().addListener(closed -> connections.closed(connection.eventLoop()));
        if (!isBelowLimit()) {
            isPaused = true;
            server.config().setAutoRead(false);
            if (isBelowLimit()) {
                // Connections were closed meanwhile, and their close may not have seen the pause.
                resumeIfBelowLimit();
            }
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        mayWaitBefore = mayWait;
        waitingSinceBefore = waitingSince;
        boolean isEmptied = acceptedInRead < CoarseWaitTransport.ACCEPTS_AT_ONCE && !isPaused;
        acceptedInRead = 0;
        if (isEmptied) {
            mayWait = false;
        } else {
            waitFrom(unreadSince.getAsLong());
        }
        context.fireChannelReadComplete();
    }

    /**
     * Since when a connection that is accepted now may have waited: those before it in the backlog, no more than that
     * holds, were accepted after it had arrived. Guards new clients in a storm that never lets the backlog run empty.
     */
    private long earliestWaitingSince() {
        if (acceptedCount < MAX_WAITING) {
            return waitingSince;
        }
        long oldest = acceptedAt[(int) (acceptedCount % MAX_WAITING)];
        return oldest - waitingSince > 0 ? oldest : waitingSince;
    }

    private void waitFrom(long since) {
        if (!mayWait) {
            mayWait = true;
            waitingSince = since;
        }
    }

    /**
     * The system fails to accept, for lack of descriptors or memory, for example. Guards clients against Netty's own
     * reaction, which is to accept nothing for a second, and the processor against retrying again and again. Called
     * after the end of the read that failed, which therefore has not emptied the backlog.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException failure)) {
            context.fireExceptionCaught(cause);
            return;
        }
        mayWait = mayWaitBefore;
        waitingSince = waitingSinceBefore;
        waitFrom(unreadSince.getAsLong());
        acceptFailureListener.accept(failure);
        if (!isBackingOff) {
            isBackingOff = true;
            server.config().setAutoRead(false);
            server.eventLoop().schedule(this::retry, retryMs, TimeUnit.MILLISECONDS);
            retryMs = Math.min(2 * retryMs, MAX_RETRY_MS);
        }
    }

    private void retry() {
        isBackingOff = false;
        if (!isPaused) {
            server.config().setAutoRead(true);
        }
    }

    private void resumeIfBelowLimit() {
        if (isPaused && isBelowLimit()) {
            isPaused = false;
            if (!isBackingOff) {
                server.config().setAutoRead(true);
            }
        }
    }
}
