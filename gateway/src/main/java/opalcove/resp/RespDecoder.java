package opalcove.resp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Decodes RESP2 values from bytes that may be split anywhere. Values are decoded in the buffers that they were read
 * into: a listener examines a value in place while it is notified, and nothing is allocated for the value. A value that
 * is split over several reads is assembled in one buffer, and each of its bytes is copied once. After the first error
 * the decoder stops. Used by one thread.
 *
 * <p>A value is a line ({@code + - :}), a bulk string or an array. The items of an array are available if all of them
 * are lines or strings; for an array that contains arrays, only its arrival is reported.
 */
final class RespDecoder {
    /** The longest string that is buffered; a longer one is streamed if the listener accepts it. */
    static final int MAX_STRING_BYTES = 64 * 1024;
    /** The longest string that is streamed. */
    static final int MAX_STREAMED_BYTES = 64 * 1024 * 1024;

    private static final int MAX_LINE_BYTES = 4 * 1024;
    /** The maximum length of a value, apart from one string that is streamed or for which memory is reserved. */
    private static final int MAX_UNRESERVED_VALUE_BYTES = 4 * MemoryBudget.MAX_UNRESERVED_BYTES;

    private static final int MAX_DEPTH = 3;
    private static final int SPARE_BYTES = 64;

    private final int maxItems;
    private final RespListener listener;
    private final int[] starts;
    private final int[] lengths;
    private final byte[] types;
    /** The number of items still missing in each open array, the outermost first. */
    private final int[] remainingItems = new int[MAX_DEPTH];

    private int depth;
    /** The bytes from the start of the value that is being decoded; null between values. */
    private ByteBuf buffer;
    /** The index of the next byte of that value to be examined. */
    private int position;
    /** The index at which the search for the end of a line continues. */
    private int searchFrom;
    /** The length of the string that is being decoded, or -1. */
    private int bulkLength = -1;
    /** The number of missing bytes of the streamed string, or -1. Until all have arrived, nothing else is buffered. */
    private int streamedRemaining = -1;
    /** The streamed string is dropped, and not passed to the listener. */
    private boolean isSkipping;
    /** Decoding waits for memory for the string whose length is {@link #bulkLength}. */
    private boolean isBlocked;
    /** Decoding has stopped behind a value; further bytes of the same read may be in the buffer. */
    private boolean isPaused;
    /** The length of the string for which memory was reserved, or 0. */
    private int reservedLength;

    private byte type;
    private int count;
    private boolean isFlat = true;
    private boolean isParsing;
    private boolean isStopped;

    /** Creates a decoder. An array of more than maxItems items, and anything beyond the limits above, is an error. */
    RespDecoder(int maxItems, RespListener listener) {
        this.maxItems = maxItems;
        this.listener = listener;
        starts = new int[maxItems];
        lengths = new int[maxItems];
        types = new byte[maxItems];
    }

    /** Decodes further bytes and releases them. */
    void decode(ByteBuf bytes) {
        if (isStopped) {
            bytes.release();
            return;
        }
        if (streamedRemaining > 0) {
            stream(bytes);
            if (isStopped || !bytes.isReadable()) {
                bytes.release();
                return;
            }
        }
        if (buffer == null) {
            buffer = bytes;
            position = searchFrom = bytes.readerIndex();
        } else {
            append(bytes);
        }
        parseBuffered(bytes);
    }

    private void parseBuffered(ByteBuf readBuffer) {
        isParsing = true;
        try {
            parse();
        } finally {
            isParsing = false;
            if (isStopped) {
                release();
            } else if (buffer != null && (buffer == readBuffer || buffer.capacity() > 2 * neededCapacity(0))) {
                // Guards memory against a partial value that retains the buffer of a read, or of earlier values.
                moveTo(buffer, neededCapacity(0));
            }
        }
    }

    /** Stops decoding behind the value that is being delivered; to be called by the listener. */
    void pause() {
        isPaused = true;
    }

    /** Whether decoding has stopped behind a value; the caller keeps further bytes until it has resumed. */
    boolean isPaused() {
        return isPaused;
    }

    /** Continues decoding behind the last value. */
    void resume() {
        isPaused = false;
        if (!isParsing) {
            parseBuffered(null);
        }
    }

    /** Whether the caller has to keep further bytes: decoding waits for memory, or is paused. */
    boolean isWaiting() {
        return isBlocked || isPaused;
    }

    /** Whether decoding waits for memory; the caller keeps further bytes until it has continued or skipped. */
    boolean isBlocked() {
        return isBlocked;
    }

    /** Continues decoding after the memory of the announced string has been reserved. */
    void continueDecoding() {
        isBlocked = false;
        reservedLength = bulkLength;
        parseBuffered(null);
    }

    /**
     * Continues decoding without memory for the announced string. Its bytes are dropped, and its value is delivered
     * with {@link #hasSkippedString} and without items that may be examined.
     */
    void skipString() {
        isBlocked = false;
        beginSkip();
        parseBuffered(null);
    }

    private void beginSkip() {
        isSkipping = true;
        streamedRemaining = bulkLength;
        bulkLength = -1;
    }

    /** Whether a string of the value was dropped; its items may not be examined then. */
    boolean hasSkippedString() {
        return isSkipping;
    }

    /** Returns the size of the buffer that is held while decoding waits or is paused; 0 if it does not wait. */
    int undecodedBytes() {
        return isWaiting() && buffer != null ? buffer.capacity() : 0;
    }

    /** Returns how many bytes of the string that is being received or skipped are missing; 0 if there is none. */
    int missingBytes() {
        if (streamedRemaining > 0) {
            return streamedRemaining;
        }
        return bulkLength < 0 || isBlocked ? 0 : Math.max(0, position + bulkLength + 2 - buffer.writerIndex());
    }

    /** Returns how many items of the value have been decoded. */
    int decodedItemCount() {
        return count;
    }

    /** Whether a value has been received only in part. What lies behind a pause does not count. */
    boolean isMidValue() {
        return buffer != null && !isPaused;
    }

    /** Stops decoding and releases the buffered bytes. */
    void stop() {
        isStopped = true;
        isBlocked = false;
        isPaused = false;
        if (!isParsing) {
            release();
        }
    }

    /**
     * Returns the type of the value: {@code *} for an array, {@code $} for a bulk string, or the first byte of a line.
     */
    byte type() {
        return type;
    }

    /** Returns the number of items of an array, 0 if it contains arrays, or 1 for a line or a string. */
    int itemCount() {
        return isFlat ? count : 0;
    }

    /** Whether this item is a non-null string. */
    boolean isString(int item) {
        return types[item] == '$' && lengths[item] >= 0;
    }

    int length(int item) {
        return lengths[item];
    }

    byte byteAt(int item, int index) {
        return buffer.getByte(starts[item] + index);
    }

    /** Returns the item's bytes in place. The slice is not retained: it is valid only during the notification. */
    ByteBuf slice(int item) {
        return buffer.slice(starts[item], lengths[item]);
    }

    String text(int item) {
        return text(item, 0, lengths[item]);
    }

    String text(int item, int from, int to) {
        return buffer.toString(starts[item] + from, to - from, StandardCharsets.ISO_8859_1);
    }

    /** Whether a region of the item equals this ASCII text. */
    boolean regionEquals(int item, int from, int to, String text) {
        if (to - from != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (buffer.getByte(starts[item] + from + i) != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private void release() {
        if (buffer != null) {
            buffer.release();
            buffer = null;
        }
    }

    /** Returns the capacity, bytes, that the current value is known to need, or at least its size and moreBytes. */
    private int neededCapacity(int moreBytes) {
        int known = bulkLength >= 0 && !isBlocked ? position - buffer.readerIndex() + bulkLength + 2 : 0;
        return Math.max(known, buffer.readableBytes() + moreBytes + SPARE_BYTES);
    }

    private void append(ByteBuf bytes) {
        try {
            if (buffer.writableBytes() < bytes.readableBytes()) {
                moveTo(buffer, neededCapacity(bytes.readableBytes()));
            }
            buffer.writeBytes(bytes);
        } finally {
            bytes.release();
        }
    }

    /** Copies the received bytes of the value into a separate buffer. */
    private void moveTo(ByteBuf from, int capacity) {
        int shift = from.readerIndex();
        buffer = WaitingBytes.allocate(from.alloc(), capacity).writeBytes(from, shift, from.readableBytes());
        from.release();
        position -= shift;
        searchFrom -= shift;
        for (int i = 0; i < count; i++) {
            starts[i] -= shift;
        }
    }

    /** Passes the bytes of the streamed string in this buffer, from its reader index on, to the listener. */
    private void stream(ByteBuf from) {
        int part = Math.min(streamedRemaining, from.readableBytes());
        streamedRemaining -= part;
        if (isSkipping) {
            from.skipBytes(part);
        } else if (part > 0) {
            listener.streamPart(from.readRetainedSlice(part));
        }
    }

    private void parse() {
        while (!isStopped && !isWaiting() && buffer != null) {
            if (position - buffer.readerIndex() > reservedLength + MAX_UNRESERVED_VALUE_BYTES) {
                fail("too long a value");
            } else if (streamedRemaining >= 0) {
                if (!continueStream()) {
                    return;
                }
            } else if (bulkLength >= 0) {
                if (buffer.writerIndex() - position < bulkLength + 2) {
                    return;
                }
                parseString();
            } else {
                int end = RespSyntax.findLineEnd(buffer, searchFrom, position);
                if (end < 0) {
                    searchFrom = buffer.writerIndex();
                    if (buffer.writerIndex() - position > MAX_LINE_BYTES) {
                        // Guards memory against a line that never ends.
                        fail("too long a line");
                    }
                    return;
                }
                parseLine(end);
            }
        }
    }

    /** Continues a streamed string; returns false if more of it has to arrive, or decoding has stopped. */
    private boolean continueStream() {
        if (streamedRemaining > 0) {
            buffer.readerIndex(position);
            stream(buffer);
            position = searchFrom = buffer.readerIndex();
        }
        if (streamedRemaining > 0 || isStopped || buffer.writerIndex() - position < 2) {
            return false;
        }
        streamedRemaining = -1;
        int start = position;
        if (buffer.getByte(start) != '\r' || buffer.getByte(start + 1) != '\n') {
            fail("a bulk string is longer than announced");
            return false;
        }
        if (!isSkipping) {
            listener.streamEnded();
        }
        position = searchFrom = start + 2;
        addItem((byte) '$', start, 0);
        return true;
    }

    private void parseString() {
        int length = bulkLength;
        int start = position;
        if (buffer.getByte(position + length) != '\r' || buffer.getByte(position + length + 1) != '\n') {
            fail("a bulk string is longer than announced");
            return;
        }
        bulkLength = -1;
        position = searchFrom = start + length + 2;
        addItem((byte) '$', start, length);
    }

    private void parseLine(int end) {
        int start = position;
        int length = end - start;
        if (length == 0 || length > MAX_LINE_BYTES) {
            fail(length == 0 ? "an empty line" : "too long a line");
            return;
        }
        byte lineType = buffer.getByte(start);
        position = searchFrom = end + 2;
        switch (lineType) {
            case '$' -> {
                boolean mayStream = depth == 1 && count == 0;
                int stringLength = parseLength(start + 1, end, mayStream ? MAX_STREAMED_BYTES : MAX_STRING_BYTES);
                if (stringLength == -1) {
                    addItem(lineType, start, -1);
                } else if (stringLength <= MAX_STRING_BYTES) {
                    beginString(stringLength);
                } else if (listener.streamStarted(stringLength)) {
                    streamedRemaining = stringLength;
                } else {
                    fail("a string of " + stringLength + " bytes is not taken here");
                }
            }
            case '*' -> beginArray(parseLength(start + 1, end, maxItems));
            case '+', '-', ':' -> addItem(lineType, start + 1, length - 1);
            default -> fail("expected a RESP2 value");
        }
    }

    private void beginString(int length) {
        if (isStopped) {
            return;
        }
        bulkLength = length;
        int valueLength = position - buffer.readerIndex() + length;
        if (valueLength <= MemoryBudget.MAX_UNRESERVED_BYTES && !listener.reservesShortString(this)) {
            return;
        }
        if (reservedLength > 0) {
            if (valueLength > reservedLength + MAX_UNRESERVED_VALUE_BYTES) {
                fail("too long a value");
            }
            return;
        }
        switch (listener.reserveMemory(this, length)) {
            case RESERVED -> reservedLength = length;
            case SKIP -> beginSkip();
            default -> isBlocked = !isStopped;
        }
    }

    private void beginArray(int size) {
        if (isStopped) {
            return;
        }
        if (size > 0 && depth == MAX_DEPTH) {
            fail("arrays too deep");
        } else if (size > 0) {
            isFlat &= depth == 0;
            remainingItems[depth++] = size;
        } else if (depth == 0) {
            valueComplete((byte) '*');
        } else {
            isFlat = false;
            itemComplete();
        }
    }

    /** Parses a length, -1 for null; any other value outside the range from 0 to max is an error. */
    private int parseLength(int from, int to, int max) {
        int length = RespSyntax.parseLength(buffer, from, to, max);
        if (length != RespSyntax.INVALID_LENGTH) {
            return length;
        }
        fail("a length must be a number from 0 to " + max);
        return RespSyntax.NULL_LENGTH;
    }

    private void addItem(byte itemType, int start, int length) {
        if (isStopped) {
            return;
        }
        if (depth <= 1) {
            types[count] = itemType;
            starts[count] = start;
            lengths[count++] = length;
        }
        if (depth == 0) {
            valueComplete(itemType);
        } else {
            itemComplete();
        }
    }

    /** Called when an item of the innermost open array is complete, which may complete that array and outer ones. */
    private void itemComplete() {
        while (--remainingItems[depth - 1] == 0) {
            if (--depth == 0) {
                valueComplete((byte) '*');
                return;
            }
        }
    }

    private void valueComplete(byte valueType) {
        type = valueType;
        try {
            listener.valueDecoded(this);
        } finally {
            // Guards the next values against an exception of the listener: this value is not passed to it again.
            count = 0;
            isFlat = true;
            reservedLength = 0;
            isSkipping = false;
            if (!isStopped) {
                buffer.readerIndex(position);
                if (!buffer.isReadable()) {
                    release();
                }
            }
        }
    }

    private void fail(String reason) {
        if (!isStopped) {
            isStopped = true;
            listener.decodingFailed(reason);
        }
    }
}
