package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;

/**
 * Allocates the buffers that a socket is read into. Their size adapts to recent reads and does not exceed the limit, if
 * one is set. Owned by the socket's event loop.
 */
final class ReadBufferAllocator extends AdaptiveRecvByteBufAllocator {
    private int maxBytes = Integer.MAX_VALUE;

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
                return buffers.ioBuffer(Math.min(maxBytes, guess()));
            }
        };
    }
}
