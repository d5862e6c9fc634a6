package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Allocates the buffers that a socket is read into. Their size adapts to recent reads and does not exceed the limit, if
 * one is set, and that of the memory budget. Owned by the socket's event loop.
 */
final class ReadBufferAllocator extends AdaptiveRecvByteBufAllocator {
    private static final int MIN_READ_BYTES = 64;
    static final int INITIAL_READ_BYTES = 2 * 1024;
    private final MemoryBudget budget;
    private final IntSupplier expectedBytes;
    private int maxBytes = Integer.MAX_VALUE;

    /**
     * Creates an allocator for one socket.
     *
     * @param expectedBytes returns how many bytes can be received although memory is scarce
     */
    ReadBufferAllocator(MemoryBudget budget, IntSupplier expectedBytes) {
        super(MIN_READ_BYTES, INITIAL_READ_BYTES, MemoryBudget.maxReadSize());
        this.budget = budget;
        this.expectedBytes = expectedBytes;
    }

    /** Limits the size of a read, bytes. Guards memory while values are streamed. */
    void limit(int bytes) {
        maxBytes = bytes;
    }

    void removeLimit() {
        maxBytes = Integer.MAX_VALUE;
    }

    @Override
    @SuppressWarnings("deprecation") // the successor of this handle interface has no delegating class
    public Handle newHandle() {
        return new DelegatingHandle(super.newHandle()) {
            @Override
            public ByteBuf allocate(ByteBufAllocator buffers) {
                int limit = Math.max(budget.maxReadBytes(), expectedBytes.getAsInt());
                return buffers.ioBuffer(Math.min(Math.min(maxBytes, limit), guess()));
            }
        };
    }
}
