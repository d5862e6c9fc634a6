package opalcove.transport;

import io.netty.util.concurrent.EventExecutor;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the descriptors that one kind of socket holds. A selector releases the descriptor of a closed channel only at
 * its next poll, so a close counts here once the channel's event loop has polled again. Guards the process's limit
 * against many sockets that are closed and replaced within one turn of the event loop. Thread-safe.
 */
public final class DescriptorCounter {
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final Runnable whenFreed;

    /** Does nothing when descriptors are released. */
    public DescriptorCounter() {
        this(() -> {});
    }

    /** Runs the action each time that descriptors were released, on the event loop that has closed them. */
    public DescriptorCounter(Runnable whenFreed) {
        this.whenFreed = whenFreed;
    }

    /** The event loop of the caller's context, or of a new one. */
    public static EventExecutor loopOf(Vertx vertx) {
        return ((ContextInternal) vertx.getOrCreateContext()).nettyEventLoop();
    }

    /** Those held now, including those of channels that were closed in this turn. */
    public int held() {
        return held.get();
    }

    /** Counts a socket that is opened; gives how many are held with it. */
    public int opened() {
        return held.incrementAndGet();
    }

    /** Counts a socket of this event loop that was closed. */
    public void closed(EventExecutor loop) {
        if (closed.getAndIncrement() == 0) {
            // A task scheduled from within a task runs in a later turn only if it is a timer, and a poll lies between
            // turns.
            loop.execute(() -> loop.schedule(this::freed, 1, TimeUnit.MILLISECONDS));
        }
    }

    private void freed() {
        held.addAndGet(-closed.getAndSet(0));
        whenFreed.run();
    }
}
