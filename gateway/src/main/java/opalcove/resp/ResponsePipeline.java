package opalcove.resp;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;
import opalcove.core.Response;

/**
 * The commands of one connection that await their responses. Writes the responses in the order of the commands, and
 * defers those that are ready early. Owned by the connection's event loop.
 */
final class ResponsePipeline {
    private final Deque<PipelineSlot> slots = new ArrayDeque<>(4);
    private final ClientConnection connection;
    private final RawSocket socket;
    /** The number of commands whose responses are not complete. */
    private int openCount;

    ResponsePipeline(ClientConnection connection, RawSocket socket) {
        this.connection = connection;
        this.socket = socket;
    }

    /** Adds a command at the end. */
    PipelineSlot add() {
        PipelineSlot slot = new PipelineSlot(connection);
        slots.add(slot);
        openCount++;
        return slot;
    }

    int size() {
        return slots.size();
    }

    boolean isEmpty() {
        return slots.isEmpty();
    }

    /** Whether a response is not complete. One that is only waits for the client to read. */
    boolean hasOpenCommands() {
        return openCount > 0;
    }

    boolean isFirst(PipelineSlot slot) {
        return slots.peek() == slot;
    }

    /** Whether this is the only command that awaits its response. */
    boolean isOnly(PipelineSlot slot) {
        return slots.size() == 1 && slots.peek() == slot;
    }

    /** Writes the final response of a request; its value is valid only during this call. */
    void respond(PipelineSlot slot, Response response) {
        if (response instanceof Response.Served served) {
            writeValue(slot, served.value());
        } else if (response instanceof Response.Refused refused) {
            writeLine(slot, refused.retryAfterMs() > 0 ? "-BUSY " + refused.retryAfterMs() : "-BUSY");
        } else {
            writeLine(slot, "-ERR " + ((Response.Failed) response).reason());
        }
    }

    /** Writes a value, or defers it until the earlier responses are written. */
    void writeValue(PipelineSlot slot, ByteBuf value) {
        int length = value.readableBytes();
        if (!isFirst(slot)) {
            ByteBuf encoded = socket.allocate(length + RespWriter.MAX_HEADER_BYTES);
            RespWriter.writeValue(encoded, value);
            slot.defer(new DeferredResponse.Encoded(encoded, connection.server().memory()));
        } else if (length < RespWriter.MIN_FORWARDED_BYTES) {
            RespWriter.writeValue(socket.reserve(length + RespWriter.MAX_HEADER_BYTES), value);
        } else {
            RespWriter.writeHeader(socket.reserve(RespWriter.MAX_HEADER_BYTES), '$', length);
            socket.write(socket.compact(value.retainedSlice()));
            socket.writeLineEnd();
        }
        complete(slot);
    }

    /** Writes a line that begins with its type, or defers it until the earlier responses are written. */
    void writeLine(PipelineSlot slot, String text) {
        if (isFirst(slot)) {
            RespWriter.writeLine(socket.reserve(text.length() + 2), text);
        } else {
            slot.defer(new DeferredResponse.Line(text));
        }
        complete(slot);
    }

    /**
     * Writes a value that this gateway makes, or defers it until the earlier responses are written and the client reads
     * them. Guards memory against a client that sends many commands: such values are made one after the other.
     */
    void writeOwnValue(PipelineSlot slot, Supplier<ByteBuf> value) {
        if (isFirst(slot)) {
            writeValue(slot, value.get());
        } else {
            slot.defer(new DeferredResponse.OwnValue(value));
            complete(slot);
        }
    }

    /** Completes the streamed value of the first slot, of which only the line end is not written yet. */
    void streamEnded(PipelineSlot slot) {
        socket.writeLineEnd();
        complete(slot);
    }

    /** Marks the response as complete; if it is the first, writes the deferred responses behind it. */
    private void complete(PipelineSlot slot) {
        slot.complete();
        openCount--;
        if (!isFirst(slot)) {
            return;
        }
        slots.poll();
        writeDeferred();
        connection.responsesWritten(slot);
    }

    /**
     * Writes the complete responses at the head, except a value that is yet to be made for a client that does not read.
     *
     * @return whether any was written
     */
    boolean writeDeferred() {
        boolean hasWritten = false;
        for (PipelineSlot next = slots.peek(); next != null && next.isComplete(); next = slots.peek()) {
            if (next.deferred().waitsForClient() && !socket.isWritable()) {
                break;
            }
            slots.poll();
            next.takeDeferred().writeTo(socket);
            hasWritten = true;
        }
        return hasWritten;
    }

    /** Continues the streamed value of the first slot, if there is one. */
    void advanceFirstStream() {
        PipelineSlot first = slots.peek();
        ResponseStream stream = first == null ? null : first.stream();
        if (stream != null) {
            stream.advance();
        }
    }

    /** Continues the streamed value of the first slot, if there is one whose header has been written. */
    void continueFirstStream() {
        PipelineSlot first = slots.peek();
        if (first != null && first.stream() != null && first.stream().isWriting()) {
            first.stream().advance();
        }
    }

    /** Makes all open requests end before the process does. */
    void expediteAll() {
        slots.forEach(slot -> {
            if (slot.request() != null) {
                slot.request().expedite();
            }
        });
    }

    /** Removes the first slot, whose response cannot be completed, and returns the number of commands behind it. */
    int removeFirst() {
        forget(slots.poll());
        return slots.size();
    }

    private void forget(PipelineSlot slot) {
        if (!slot.isComplete()) {
            openCount--;
        }
        slot.discard();
    }

    /** Removes all slots and cancels their requests, as the client has disconnected. */
    void cancelAll() {
        for (PipelineSlot slot = slots.poll(); slot != null; slot = slots.poll()) {
            forget(slot);
            if (slot.request() != null) {
                slot.request().clientDisconnected();
            }
        }
    }
}
