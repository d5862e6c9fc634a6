package opalcove.resp;

import io.netty.buffer.ByteBuf;
import java.util.function.Supplier;

/** A complete response that waits until the earlier ones of its connection are written. Owned by its slot. */
sealed interface DeferredResponse {
    /** Writes the response, once. */
    void writeTo(RawSocket socket);

    /** Whether the response is written only to a client that reads, because it takes memory from then on. */
    default boolean waitsForClient() {
        return false;
    }

    /** Releases a response that will not be written. */
    default void discard() {}

    /** A line, which takes no direct memory until it is written. */
    record Line(String text) implements DeferredResponse {
        @Override
        public void writeTo(RawSocket socket) {
            RespWriter.writeLine(socket.reserve(text.length() + 2), text);
        }
    }

    /** A value of the gateway itself, which is made when it is written. */
    record OwnValue(Supplier<ByteBuf> value) implements DeferredResponse {
        @Override
        public void writeTo(RawSocket socket) {
            ByteBuf made = value.get();
            RespWriter.writeValue(socket.reserve(made.readableBytes() + RespWriter.MAX_HEADER_BYTES), made);
        }

        @Override
        public boolean waitsForClient() {
            return true;
        }
    }

    /** An encoded response, which the memory budget counts while it waits. */
    record Encoded(ByteBuf bytes, MemoryBudget memory) implements DeferredResponse {
        public Encoded {
            memory.charge(bytes.readableBytes());
        }

        @Override
        public void writeTo(RawSocket socket) {
            memory.release(bytes.readableBytes());
            socket.write(bytes);
        }

        @Override
        public void discard() {
            memory.release(bytes.readableBytes());
            bytes.release();
        }
    }
}
