package opalcove.resp;

import io.netty.buffer.ByteBuf;

/** The elements of RESP2 that do not depend on the state of a decoder. Stateless. */
final class RespSyntax {
    /** Returned for a text that is no length. */
    static final int INVALID_LENGTH = -2;
    /** The length of a null string or array. */
    static final int NULL_LENGTH = -1;

    private static final int MAX_LENGTH_DIGITS = 9;

    private RespSyntax() {}

    /**
     * Returns the index of the end of the line, which is \r\n, or -1 if it has not arrived.
     *
     * @param from the index from which the line feed is searched
     * @param lineStart the index of the line's first byte
     */
    static int findLineEnd(ByteBuf bytes, int from, int lineStart) {
        int end = bytes.writerIndex();
        for (int lineFeed = bytes.indexOf(from, end, (byte) '\n');
                lineFeed >= 0;
                lineFeed = bytes.indexOf(lineFeed + 1, end, (byte) '\n')) {
            if (lineFeed > lineStart && bytes.getByte(lineFeed - 1) == '\r') {
                return lineFeed - 1;
            }
        }
        return -1;
    }

    /** Parses a length from 0 to max, or {@link #NULL_LENGTH}; returns {@link #INVALID_LENGTH} for anything else. */
    static int parseLength(ByteBuf bytes, int from, int to, int max) {
        if (to - from == 2 && bytes.getByte(from) == '-' && bytes.getByte(from + 1) == '1') {
            return NULL_LENGTH;
        }
        if (to <= from || to - from > MAX_LENGTH_DIGITS) {
            return INVALID_LENGTH;
        }
        int number = 0;
        for (int i = from; i < to; i++) {
            int digit = bytes.getByte(i) - '0';
            if (digit < 0 || digit > 9) {
                return INVALID_LENGTH;
            }
            number = number * 10 + digit;
        }
        return number > max ? INVALID_LENGTH : number;
    }
}
