package opalcove.resp;

import io.netty.util.internal.PlatformDependent;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Limits the direct memory of the bytes that wait in this process: bodies of open requests, commands and replies that
 * have been received in part, responses that wait for earlier ones, and responses that clients do not read. Whoever
 * receives a long string reserves its memory first; while there is none, it stops reading its socket and waits, so that
 * the bytes stay in the kernel and TCP slows the peer down. Owned by one event loop, whose client and backend
 * connections share it.
 *
 * <p>Uses of memory that other uses wait for have higher limits, so that they can always end: a request holds its body
 * until its response has arrived, and a response is held until the earlier ones have been written. A waiting use
 * reserves all that it needs at once; nobody holds a part and waits for the rest.
 */
public final class MemoryBudget {
    /** Strings up to this length are received without a reservation, so that short commands never wait. */
    static final int MAX_UNRESERVED_BYTES = 4 * 1024;
    /** The size of a read while memory is scarce: what was read before it is known that the rest has to wait. */
    private static final int SCARCE_READ_BYTES = 4 * 1024;

    private static final int MIN_MAX_READ_BYTES = 16 * 1024;
    private static final int MAX_READ_BYTES = 64 * 1024;
    /**
     * The direct memory of this process, in reads of the maximum size. The pool reserves memory in chunks of several
     * such buffers, used or not.
     */
    private static final int READS_IN_DIRECT_MEMORY = 384;

    /** What polls may hold however much is in use, in eighths of the budget. */
    private static final int MIN_POLLED_EIGHTHS = 2;

    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The uses of memory, in the order of their limits. */
    enum Use {
        /** A long command that is arriving, and the body of its request until that has ended. */
        REQUEST(4),
        /** The same of a short command. */
        SHORT_REQUEST(5),
        /** A reply whose response has to wait for earlier ones. */
        LATER_RESPONSE(6),
        /** A reply whose response is written at once. */
        NEXT_RESPONSE(8);

        /** The limit on the memory in use when this use may reserve more, in eighths of the budget. */
        private final int limitEighths;

        Use(int limitEighths) {
            this.limitEighths = limitEighths;
        }
    }

    /** A wait for memory. */
    final class Waiter {
        private final Supplier<Use> use;
        private final int bytes;
        private final Runnable whenReserved;
        private boolean isReserved;
        private boolean isOver;

        private Waiter(Supplier<Use> use, int bytes, Runnable whenReserved) {
            this.use = use;
            this.bytes = bytes;
            this.whenReserved = whenReserved;
        }

        /** Ends the wait; nothing stays reserved. Has no effect once the action of this waiter has begun. */
        void cancel() {
            if (isOver) {
                return;
            }
            isOver = true;
            waiters.remove(this);
            release(isReserved ? bytes : 0);
            scheduleGrants();
        }

        private void reserve() {
            isReserved = true;
            usedBytes += bytes;
        }

        private void runIfReserved() {
            if (!isOver) {
                isOver = true;
                whenReserved.run();
            }
        }
    }

    private final long maxBytes;
    private final Executor executor;
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long usedBytes;
    /** The bytes that were read and wait to be decoded. They are limited by the size of reads, not by reservations. */
    private long undecodedBytes;

    private boolean areGrantsScheduled;
    private Consumer<OutOfMemoryError> allocationFailureListener = failure -> {};
    private long lastLoggedNanos = System.nanoTime() - LOG_INTERVAL_NANOS;

    /**
     * Creates a budget.
     *
     * @param executor runs the actions of those that waited, later on the same thread
     */
    MemoryBudget(long maxBytes, Executor executor) {
        this.maxBytes = maxBytes;
        this.executor = executor;
    }

    /**
     * Creates the budget of an event loop that uses most of the direct memory of this process. The rest is for buffers
     * of reads, for values that are streamed, and for the allocator's unused parts.
     */
    public static MemoryBudget ofThisProcess(Vertx vertx) {
        return new MemoryBudget(
                PlatformDependent.maxDirectMemory() * 3 / 8, task -> vertx.runOnContext(run -> task.run()));
    }

    /** Returns the limit of values that are completely buffered, which have a part of the memory of their own. */
    static int maxBufferedValueBytes() {
        return (int) Math.min(BufferBudget.MAX_BYTES, PlatformDependent.maxDirectMemory() / 4);
    }

    /**
     * Returns the limit of bytes that are read only to detect disconnects: what long requests could still reserve, and
     * never less than their minimum.
     */
    long maxPolledBytes() {
        return Math.max(maxBytes * MIN_POLLED_EIGHTHS / 8, limit(Use.REQUEST) - usedBytes);
    }

    /** Returns the maximum size of any read, bytes. */
    static int maxReadSize() {
        long share = PlatformDependent.maxDirectMemory() / READS_IN_DIRECT_MEMORY;
        return (int) Math.max(MIN_MAX_READ_BYTES, Math.min(MAX_READ_BYTES, share));
    }

    /** Reserves memory; returns false and reserves nothing if it is not available, or if the same use waits for it. */
    boolean reserve(Use use, int bytes) {
        boolean isReserved = fits(use, bytes) && !isAwaited(use);
        if (isReserved) {
            usedBytes += bytes;
        }
        return isReserved;
    }

    private boolean isAwaited(Use use) {
        // Not a stream, whose objects would be allocated for each long string.
        for (Waiter each : waiters) {
            if (each.use.get() == use) {
                return true;
            }
        }
        return false;
    }

    /**
     * Waits for memory.
     *
     * @param use returns the use, which may change during the wait
     * @param whenReserved runs when the memory has been reserved
     */
    Waiter await(Supplier<Use> use, int bytes, Runnable whenReserved) {
        Waiter waiter = new Waiter(use, bytes, whenReserved);
        waiters.add(waiter);
        scheduleGrants();
        return waiter;
    }

    /** Counts memory that is in use already and cannot wait, even if that exceeds the budget. */
    void charge(int bytes) {
        usedBytes += bytes;
    }

    /** Replaces a charge by another one. */
    void recharge(int oldBytes, int newBytes) {
        charge(newBytes);
        release(oldBytes);
    }

    /** Returns memory that was reserved or charged. */
    void release(int bytes) {
        usedBytes -= bytes;
        if (bytes > 0 && !waiters.isEmpty()) {
            scheduleGrants();
        }
    }

    /** Whether this use has to wait for memory. */
    boolean isExhausted(Use use) {
        return !fits(use, 1);
    }

    /** Counts bytes that wait to be decoded; a negative number counts bytes that have been. */
    void addUndecoded(int bytes) {
        undecodedBytes += bytes;
    }

    long undecodedBytes() {
        return undecodedBytes;
    }

    long usedBytes() {
        return usedBytes;
    }

    int waiterCount() {
        return waiters.size();
    }

    /** Returns the maximum size of a read now, bytes. */
    int maxReadBytes() {
        return usedBytes + undecodedBytes < limit(Use.REQUEST) / 2 ? Integer.MAX_VALUE : SCARCE_READ_BYTES;
    }

    private long limit(Use use) {
        return maxBytes * use.limitEighths / 8;
    }

    /** Whether the memory is available; if none is in use, it is for any length, so that nobody waits for ever. */
    private boolean fits(Use use, int bytes) {
        return usedBytes + bytes <= limit(use) || usedBytes <= 0;
    }

    private void scheduleGrants() {
        if (!areGrantsScheduled) {
            areGrantsScheduled = true;
            // Deferred, because memory is released in the middle of the work of other connections.
            executor.execute(this::grant);
        }
    }

    /** Reserves memory for those that wait. One that cannot be served holds up later ones of the same use or below. */
    private void grant() {
        areGrantsScheduled = false;
        Set<Use> heldUp = EnumSet.noneOf(Use.class);
        Deque<Waiter> granted = new ArrayDeque<>();
        for (Iterator<Waiter> each = waiters.iterator(); each.hasNext() && heldUp.size() < Use.values().length; ) {
            Waiter waiter = each.next();
            Use use = waiter.use.get();
            if (heldUp.contains(use)) {
                continue;
            }
            if (fits(use, waiter.bytes)) {
                waiter.reserve();
                each.remove();
                granted.add(waiter);
            } else {
                heldUp.addAll(EnumSet.range(Use.REQUEST, use));
            }
        }
        granted.forEach(Waiter::runIfReserved);
    }

    /** Sets the action that runs each time an allocation has failed in spite of the budget. */
    void onAllocationFailure(Consumer<OutOfMemoryError> action) {
        allocationFailureListener = action;
    }

    /** Counts an allocation that has failed in spite of the budget, and logs it at most once per second. */
    void allocationFailed(OutOfMemoryError failure) {
        allocationFailureListener.accept(failure);
        long nowNanos = System.nanoTime();
        if (nowNanos - lastLoggedNanos >= LOG_INTERVAL_NANOS) {
            lastLoggedNanos = nowNanos;
            Logger.error(
                    "an allocation failed: {}; {} of {} bytes of the budget are in use",
                    failure.getMessage(),
                    usedBytes,
                    maxBytes);
        }
    }
}
