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
 * backlog. Without the limit, connections would use the descriptors that are reserved for other purposes: the
 * acceptor's thread accepts them as fast as they arrive, regardless of the progress of the event loop that handles
 * them.
 *
 * <p>If the system fails to accept a connection, this class retries after a wait that grows with each consecutive
 * failure. It records with each connection since when it may have waited. All methods except {@link #isBelowLimit} run
 * on the acceptor's event loop. All times are {@link System#nanoTime} values.
 */
final class AcceptLimiter extends ChannelInboundHandlerAdapter {
    /** The time since which a connection may have waited to be accepted. */
    static final AttributeKey<Long> WAITING_SINCE = AttributeKey.valueOf("opalcove.waiting-since");

    private static final long MIN_RETRY_DELAY_MS = 1;
    private static final long MAX_RETRY_DELAY_MS = 32;
    /** More connections than the backlog of a server can hold. */
    private static final int MAX_BACKLOG_CONNECTIONS = 520;

    private final Channel server;
    private final int pauseThreshold;
    private final LongSupplier unreadSince;
    private final Consumer<IOException> acceptFailureListener;
    private final DescriptorCounter connections = new DescriptorCounter(this::resumeIfBelowLimit);
    private volatile boolean isPaused;
    /** Whether the system failed to accept a connection and the retry is pending. */
    private volatile boolean isBackingOff;

    private long retryDelayMs = MIN_RETRY_DELAY_MS;
    /** Whether connections may have waited since {@link #waitingSince}, because the backlog was not emptied since. */
    private boolean mayWait;

    private long waitingSince;
    /** A ring buffer of the times at which the last connections were accepted, as many as a backlog can hold. */
    private final long[] acceptedAtNanos = new long[MAX_BACKLOG_CONNECTIONS];

    private long acceptedCount;
    private int acceptedInRead;
    /** The value of {@link #mayWait} before the read of the listening socket that has just ended. */
    private boolean mayWaitBefore;

    /** The value of {@link #waitingSince} before that read. */
    private long waitingSinceBefore;

    /** Creates a limiter; a limit below the number of connections that one read may accept is raised to that number. */
    @SuppressWarnings(
            "deprecation") // sets the limit for this channel only; its replacement belongs to the shared allocator
    AcceptLimiter(Channel server, int limit, LongSupplier unreadSince, Consumer<IOException> acceptFailureListener) {
        this.server = server;
        this.unreadSince = unreadSince;
        this.acceptFailureListener = acceptFailureListener;
        pauseThreshold = Math.max(1, limit - CoarseWaitTransport.ACCEPTS_AT_ONCE + 1);
        server.config().setMaxMessagesPerRead(CoarseWaitTransport.ACCEPTS_AT_ONCE);
    }

    /** Returns whether another read of the listening socket stays within the limit. Thread-safe. */
    boolean isBelowLimit() {
        return connections.held() < pauseThreshold;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Channel connection = (Channel) message;
        acceptedInRead++;
        retryDelayMs = MIN_RETRY_DELAY_MS;
        connection.attr(WAITING_SINCE).set(mayWait ? earliestWaitingSince() : unreadSince.getAsLong());
        acceptedAtNanos[(int) (acceptedCount++ % MAX_BACKLOG_CONNECTIONS)] = System.nanoTime();
        connections.opened();
        connection.closeFuture().addListener(closed -> connections.closed(connection.eventLoop()));
        if (!isBelowLimit()) {
            isPaused = true;
            server.config().setAutoRead(false);
            if (isBelowLimit()) {
                // Connections may have been closed before they could see that the limiter is paused, so the check is
                // repeated.
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
            markWaitingSince(unreadSince.getAsLong());
        }
        context.fireChannelReadComplete();
    }

    /**
     * Returns the time since which a connection that is accepted now may have waited. The connections before it in the
     * backlog, which are at most as many as the backlog holds, were accepted after it had arrived. Without this bound
     * new clients would count as waiting since the begin of a connection storm that never lets the backlog run empty.
     */
    private long earliestWaitingSince() {
        if (acceptedCount < MAX_BACKLOG_CONNECTIONS) {
            return waitingSince;
        }
        long oldest = acceptedAtNanos[(int) (acceptedCount % MAX_BACKLOG_CONNECTIONS)];
        return oldest - waitingSince > 0 ? oldest : waitingSince;
    }

    private void markWaitingSince(long since) {
        if (!mayWait) {
            mayWait = true;
            waitingSince = since;
        }
    }

    /**
     * Handles a failure to accept a connection, for example for lack of descriptors or memory. Netty's own reaction
     * would be to accept nothing for a second, and a retry without a wait would use up the processor. Netty calls this
     * method after {@link #channelReadComplete} of the failed read, which therefore did not empty the backlog.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException failure)) {
            context.fireExceptionCaught(cause);
            return;
        }
        mayWait = mayWaitBefore;
        waitingSince = waitingSinceBefore;
        markWaitingSince(unreadSince.getAsLong());
        acceptFailureListener.accept(failure);
        if (!isBackingOff) {
            isBackingOff = true;
            server.config().setAutoRead(false);
            server.eventLoop().schedule(this::retry, retryDelayMs, TimeUnit.MILLISECONDS);
            retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS);
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
