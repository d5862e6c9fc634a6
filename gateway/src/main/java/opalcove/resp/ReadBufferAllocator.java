package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;

/**
 * Allocates the buffers that a socket is read into: as large as recent reads suggest, or no larger than a limit while
 * one is set. Owned by the socket's event loop.
 */
final class ReadBufferAllocator extends AdaptiveRecvByteBufAllocator {
    private int maxBytes = Integer.MAX_VALUE;

    /** Limits a read's size. Guards memory while values are streamed. */
    void limit(int bytes) {
        maxBytes = bytes;
    }

    void removeLimit() {
        maxBytes = Integer.MAX_VALUE;
    }

    @Override
    @SuppressWarnings("deprecation") // the handle's interface, whose successor has no delegating form
    public Handle newHandle() {
        return new DelegatingHandle(super.newHandle()) {
            @Override
            public ByteBuf allocate(ByteBufAllocator buffers) {
                return buffers.ioBuffer(Math.min(maxBytes, guess()));
            }
        };
    }
}
