package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/** Buffers for bytes that wait in this process after the read that they come from. Stateless. */
final class WaitingBytes {
    private WaitingBytes() {}

    /**
     * Allocates a buffer. A long one has memory of its own: in the allocator's pool it would keep a whole chunk of
     * other buffers in use for as long as it waits, which no budget counts.
     */
    static ByteBuf allocate(ByteBufAllocator pool, int bytes) {
        return bytes > MemoryBudget.MAX_UNRESERVED_BYTES ? Unpooled.directBuffer(bytes) : pool.directBuffer(bytes);
    }

    /** Returns these bytes in a buffer that is not much larger than they are; the caller releases the result only. */
    static ByteBuf compact(ByteBufAllocator pool, ByteBuf part) {
        ByteBuf whole = part.unwrap() == null ? part : part.unwrap();
        if (2 * part.readableBytes() >= whole.capacity()) {
            return part;
        }
        try {
            return allocate(pool, part.readableBytes()).writeBytes(part);
        } finally {
            part.release();
        }
    }
}
