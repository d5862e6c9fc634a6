package opalcove.resp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Reads RESP2 values from bytes that may be split anywhere, in the buffers that they came in: a value is looked at in
 * place while its user hears of it, and nothing is made for it. A value that is split over several reads is put together
 * in one buffer, each byte copied once. After the first error it reads nothing more.
 *
 * <p>A value is a line ({@code + - :}), a bulk string or an array. The items of an array are told where all of them are
 * lines or strings; of one with arrays in it, only that it came.
 */
final class RespDecoder {
    /** The longest string that is gathered; a longer one is passed on while it comes, where its user takes it. */
    static final int MOST_BYTES = 64 * 1024;
    /** The longest string that is passed on. */
    static final int MOST_PASSED = 64 * 1024 * 1024;

    private static final int MOST_LINE = 4 * 1024;
    private static final int MOST_DEPTH = 3;
    private static final int SPARE = 64;

    /** Who hears of the values. */
    interface User {
        /** A value has come; it can be looked at during this call. */
        void value(RespDecoder value);

        /**
         * A string of that many bytes, too long to be gathered, begins as the first item of an array; tells whether its
         * parts are taken. Once they have all come the array is told as any other, with an empty string in that place.
         */
        default boolean began(int length) {
            return false;
        }

        /** The next bytes of such a string; they are the user's to release. */
        default void part(ByteBuf bytes) {
            bytes.release();
        }

        /** All parts have come. */
        default void partsEnded() {}

        /** What came is no RESP2, or larger than is taken here; comes once, and nothing after it. */
        void broken(String reason);
    }

    private final int mostItems;
    private final User user;
    private final int[] starts;
    private final int[] lengths;
    private final byte[] kinds;
    /** Items still to come of each open array, the outermost first. */
    private final int[] left = new int[MOST_DEPTH];

    private int depth;
    /** From the first byte of the value that is being read; null between values. */
    private ByteBuf bytes;
    /** The next byte to be looked at as a part of that value. */
    private int at;
    /** Where the search for the end of a line goes on. */
    private int sought;
    /** The length of the string that is being read, or -1. */
    private int bulk = -1;
    /** Bytes still to come of a string that is passed on, or -1. While some are, all that came is looked at. */
    private int passing = -1;

    private byte kind;
    private int count;
    private boolean flat = true;
    private boolean parsing;
    private boolean stopped;

    /** Arrays of more than mostItems are errors, as are lines, values and depths beyond the limits above. */
    RespDecoder(int mostItems, User user) {
        this.mostItems = mostItems;
        this.user = user;
        starts = new int[mostItems];
        lengths = new int[mostItems];
        kinds = new byte[mostItems];
    }

    /** Reads on; the bytes are released here. */
    void take(ByteBuf more) {
        if (stopped) {
            more.release();
            return;
        }
        if (passing > 0) {
            pass(more);
            if (stopped || !more.isReadable()) {
                more.release();
                return;
            }
        }
        if (bytes == null) {
            bytes = more;
            at = sought = more.readerIndex();
        } else {
            append(more);
        }
        parsing = true;
        try {
            parse();
        } finally {
            parsing = false;
            if (stopped) {
                release();
            } else if (bytes == more) {
                // Guards memory against half a value that keeps the whole buffer of a read.
                moveTo(more, remaining(0));
            }
        }
    }

    /** Whether a value has begun and its end has not come. */
    boolean within() {
        return bytes != null;
    }

    /** Reads nothing more, and lets go of what was read. */
    void stop() {
        stopped = true;
        if (!parsing) {
            release();
        }
    }

    /** What came: {@code *} an array, {@code $} a bulk string, or the mark of a line. */
    byte kind() {
        return kind;
    }

    /** The items of an array, 0 for one with arrays in it; 1 for a line or a string. */
    int count() {
        return flat ? count : 0;
    }

    /** Whether this item is a string and not the null one. */
    boolean isString(int item) {
        return kinds[item] == '$' && lengths[item] >= 0;
    }

    int length(int item) {
        return lengths[item];
    }

    byte at(int item, int index) {
        return bytes.getByte(starts[item] + index);
    }

    /** The item's bytes where they lie, lent for the time of the call. */
    ByteBuf lend(int item) {
        return bytes.slice(starts[item], lengths[item]);
    }

    String text(int item) {
        return text(item, 0, lengths[item]);
    }

    String text(int item, int from, int to) {
        return bytes.toString(starts[item] + from, to - from, StandardCharsets.ISO_8859_1);
    }

    /** Whether a part of the item is this text, in ASCII. */
    boolean is(int item, int from, int to, String text) {
        if (to - from != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (bytes.getByte(starts[item] + from + i) != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private void release() {
        if (bytes != null) {
            bytes.release();
            bytes = null;
        }
    }

    /** How many bytes the value that is being read is known to need, or at least what there are and as many more. */
    private int remaining(int more) {
        int known = bulk >= 0 ? at - bytes.readerIndex() + bulk + 2 : 0;
        return Math.max(known, bytes.readableBytes() + more + SPARE);
    }

    private void append(ByteBuf more) {
        if (bytes.writableBytes() < more.readableBytes()) {
            moveTo(bytes, remaining(more.readableBytes()));
        }
        bytes.writeBytes(more);
        more.release();
    }

    /** Puts what there is of the value into a buffer of its own. */
    private void moveTo(ByteBuf from, int capacity) {
        int shift = from.readerIndex();
        bytes = from.alloc().directBuffer(capacity).writeBytes(from, shift, from.readableBytes());
        from.release();
        at -= shift;
        sought -= shift;
        for (int i = 0; i < count; i++) {
            starts[i] -= shift;
        }
    }

    /** Passes on what this buffer has of the long string, from its read index on. */
    private void pass(ByteBuf from) {
        int part = Math.min(passing, from.readableBytes());
        passing -= part;
        if (part > 0) {
            user.part(from.readRetainedSlice(part));
        }
    }

    private void parse() {
        while (!stopped && bytes != null) {
            if (passing >= 0) {
                if (!passes()) {
                    return;
                }
            } else if (bulk >= 0) {
                if (bytes.writerIndex() - at < bulk + 2) {
                    return;
                }
                string();
            } else {
                int end = lineEnd();
                if (end < 0) {
                    if (bytes.writerIndex() - at > MOST_LINE) {
                        // Guards memory against a line that never ends.
                        fail("too long a line");
                    }
                    return;
                }
                line(end);
            }
        }
    }

    /** Where the line ends, which is with \r\n, or -1. */
    private int lineEnd() {
        int end = bytes.writerIndex();
        for (int feed = bytes.indexOf(sought, end, (byte) '\n');
                feed >= 0;
                feed = bytes.indexOf(feed + 1, end, (byte) '\n')) {
            if (feed > at && bytes.getByte(feed - 1) == '\r') {
                return feed - 1;
            }
        }
        sought = end;
        return -1;
    }

    /** Goes on with a string that is passed on; false where more of it has to come. */
    private boolean passes() {
        if (passing > 0) {
            bytes.readerIndex(at);
            pass(bytes);
            at = sought = bytes.readerIndex();
        }
        if (passing > 0 || stopped || bytes.writerIndex() - at < 2) {
            return false;
        }
        passing = -1;
        int start = at;
        if (bytes.getByte(start) != '\r' || bytes.getByte(start + 1) != '\n') {
            fail("a bulk string is longer than announced");
            return false;
        }
        user.partsEnded();
        at = sought = start + 2;
        item((byte) '$', start, 0);
        return true;
    }

    private void string() {
        int length = bulk;
        int start = at;
        if (bytes.getByte(at + length) != '\r' || bytes.getByte(at + length + 1) != '\n') {
            fail("a bulk string is longer than announced");
            return;
        }
        bulk = -1;
        at = sought = start + length + 2;
        item((byte) '$', start, length);
    }

    private void line(int end) {
        int start = at;
        int length = end - start;
        if (length == 0 || length > MOST_LINE) {
            fail(length == 0 ? "an empty line" : "too long a line");
            return;
        }
        byte mark = bytes.getByte(start);
        at = sought = end + 2;
        switch (mark) {
            case '$' -> {
                boolean passable = depth == 1 && count == 0;
                int bulkLength = number(start + 1, end, passable ? MOST_PASSED : MOST_BYTES);
                if (bulkLength == -1) {
                    item(mark, start, -1);
                } else if (bulkLength <= MOST_BYTES) {
                    bulk = bulkLength;
                } else if (user.began(bulkLength)) {
                    passing = bulkLength;
                } else {
                    fail("a string of " + bulkLength + " bytes is not taken here");
                }
            }
            case '*' -> array(number(start + 1, end, mostItems));
            case '+', '-', ':' -> item(mark, start + 1, length - 1);
            default -> fail("expected a RESP2 value");
        }
    }

    private void array(int size) {
        if (stopped) {
            return;
        }
        if (size > 0 && depth == MOST_DEPTH) {
            fail("arrays too deep");
        } else if (size > 0) {
            flat &= depth == 0;
            left[depth++] = size;
        } else if (depth == 0) {
            told((byte) '*');
        } else {
            flat = false;
            ended();
        }
    }

    /** The length, -1 for null; another than from 0 to the most is an error. */
    private int number(int from, int to, int most) {
        if (to - from == 2 && bytes.getByte(from) == '-' && bytes.getByte(from + 1) == '1') {
            return -1;
        }
        int number = 0;
        boolean fits = to > from && to - from <= 9;
        for (int i = from; fits && i < to; i++) {
            int digit = bytes.getByte(i) - '0';
            fits = digit >= 0 && digit <= 9;
            number = number * 10 + digit;
        }
        if (!fits || number > most) {
            fail("a length must be a number from 0 to " + most);
            return -1;
        }
        return number;
    }

    private void item(byte mark, int start, int length) {
        if (stopped) {
            return;
        }
        if (depth <= 1) {
            kinds[count] = mark;
            starts[count] = start;
            lengths[count++] = length;
        }
        if (depth == 0) {
            told(mark);
        } else {
            ended();
        }
    }

    /** An item of the innermost open array has ended, and with it perhaps that array, and so on. */
    private void ended() {
        while (--left[depth - 1] == 0) {
            if (--depth == 0) {
                told((byte) '*');
                return;
            }
        }
    }

    private void told(byte mark) {
        kind = mark;
        try {
            user.value(this);
        } finally {
            // Guards the next values against a slip in the hearing of this one: it is not told again.
            count = 0;
            flat = true;
            if (!stopped) {
                bytes.readerIndex(at);
                if (!bytes.isReadable()) {
                    release();
                }
            }
        }
    }

    private void fail(String reason) {
        if (!stopped) {
            stopped = true;
            user.broken(reason);
        }
    }
}
