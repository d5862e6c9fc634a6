package opalcove.transport;

import io.netty.util.concurrent.EventExecutor;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The descriptors that one kind of socket holds. A selector gives the descriptor of a closed channel back to the system
 * only at its next look, so a close counts here once the channel's event loop has looked again. Guards the process's
 * limit against many sockets that are closed and replaced within one turn of the event loop. Safe on any thread.
 */
public final class DescriptorCounter {
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final Runnable whenFreed;

    /** Does nothing when descriptors are given back. */
    public DescriptorCounter() {
        this(() -> {});
    }

    /** Runs the action each time that descriptors were given back, on the event loop that has closed them. */
    public DescriptorCounter(Runnable whenFreed) {
        this.whenFreed = whenFreed;
    }

    /** The event loop of the caller's context, or of a new one. */
    public static EventExecutor loopOf(Vertx vertx) {
        return ((ContextInternal) vertx.getOrCreateContext()).nettyEventLoop();
    }

    /** Those held now, those of channels that were closed in this turn included. */
    public int held() {
        return held.get();
    }

    /** A socket is opened; gives how many are held with it. */
    public int opened() {
        return held.incrementAndGet();
    }

    /** A socket of this event loop was closed. */
    public void closed(EventExecutor loop) {
        if (closed.getAndIncrement() == 0) {
            // A task set from within a task is run in a later turn only if it is a timer, and a look lies between
            // turns.
            loop.execute(() -> loop.schedule(this::freed, 1, TimeUnit.MILLISECONDS));
        }
    }

    private void freed() {
        held.addAndGet(-closed.getAndSet(0));
        whenFreed.run();
    }
}
