package opalcove.resp;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/** Bytes of one connection that were read and wait to be decoded, in order. Owned by the connection's input. */
final class UndecodedInput {
    private final Deque<ByteBuf> parts = new ArrayDeque<>(1);
    private int capacity;

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Returns the size of the buffers that are held, bytes. */
    int capacity() {
        return capacity;
    }

    /** Adds the bytes of the next read; they are released once they are taken and decoded. */
    void add(ByteBuf bytes) {
        parts.add(bytes);
        capacity += bytes.capacity();
    }

    /** Removes and returns the first part, or null if there is none. */
    ByteBuf poll() {
        ByteBuf first = parts.poll();
        if (first != null) {
            capacity -= first.capacity();
        }
        return first;
    }

    /** Releases all parts. */
    void release() {
        for (ByteBuf part = poll(); part != null; part = poll()) {
            part.release();
        }
    }
}
