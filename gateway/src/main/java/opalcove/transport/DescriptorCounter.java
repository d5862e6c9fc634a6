package opalcove.transport;

import io.netty.util.concurrent.EventExecutor;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the descriptors that one kind of socket holds. A selector releases the descriptor of a closed channel only at
 * its next poll, so a close takes effect here once the channel's event loop has polled again. Otherwise many sockets
 * that are closed and replaced within one turn of the event loop could exceed the descriptor limit of the process.
 * Thread-safe.
 */
public final class DescriptorCounter {
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final Runnable whenReleased;

    /** Creates a counter that does nothing when descriptors are released. */
    public DescriptorCounter() {
        this(() -> {});
    }

    /**
     * Creates a counter that runs the action whenever descriptors were released, on the event loop that closed them.
     */
    public DescriptorCounter(Runnable whenReleased) {
        this.whenReleased = whenReleased;
    }

    /** Returns the event loop of the caller's context, or of a new context if there is none. */
    public static EventExecutor loopOf(Vertx vertx) {
        return ((ContextInternal) vertx.getOrCreateContext()).nettyEventLoop();
    }

    /** Returns the number of descriptors held now, including those of channels that were closed in this turn. */
    public int held() {
        return held.get();
    }

    /** Counts a socket that is opened, and returns the number of descriptors held including it. */
    public int opened() {
        return held.incrementAndGet();
    }

    /** Counts a closed socket of this event loop; its descriptor counts as held until the loop has polled again. */
    public void closed(EventExecutor loop) {
        if (closed.getAndIncrement() == 0) {
            // Of the tasks that a task submits, only a timer is certain to run in a later turn, that is after another
            // poll.
            loop.execute(() -> loop.schedule(this::descriptorsReleased, 1, TimeUnit.MILLISECONDS));
        }
    }

    private void descriptorsReleased() {
        held.addAndGet(-closed.getAndSet(0));
        whenReleased.run();
    }
}
