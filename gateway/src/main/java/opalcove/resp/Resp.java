package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/** Writes RESP2. */
final class Resp {
    /** A value of this size or more is passed on in the buffer that it came in; a smaller one is cheaper to copy. */
    static final int LARGE = 4096;
    /** The most that the head of a bulk string, or a whole number, takes. */
    static final int HEAD = 24;

    private Resp() {}

    /** The head of a bulk string: its mark, length and line end. */
    static void head(ByteBuf out, char mark, long length) {
        out.writeByte(mark);
        number(out, length);
        lineEnd(out);
    }

    static void lineEnd(ByteBuf out) {
        out.writeByte('\r').writeByte('\n');
    }

    /** A bulk string. */
    static void string(ByteBuf out, String text) {
        head(out, '$', text.length());
        ByteBufUtil.writeAscii(out, text);
        lineEnd(out);
    }

    /** A line with its mark. */
    static void line(ByteBuf out, String text) {
        ByteBufUtil.writeAscii(out, text);
        lineEnd(out);
    }

    /** A whole number that is not below 0, in decimal digits. */
    static void number(ByteBuf out, long number) {
        int digits = digits(number);
        int end = out.writerIndex() + digits;
        out.ensureWritable(digits).writerIndex(end);
        long rest = number;
        for (int i = 1; i <= digits; i++) {
            out.setByte(end - i, (int) ('0' + rest % 10));
            rest /= 10;
        }
    }

    static int digits(long number) {
        int digits = 1;
        for (long rest = number; rest >= 10; rest /= 10) {
            digits++;
        }
        return digits;
    }
}
