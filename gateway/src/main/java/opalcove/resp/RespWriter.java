package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/** Encodes RESP2 into buffers. Stateless. */
final class RespWriter {
    /**
     * The minimum size of a value that is forwarded in the buffer that it was read into. Copying a smaller value is
     * cheaper.
     */
    static final int MIN_FORWARDED_BYTES = 4096;
    /** The maximum size of an integer, or of the header of a bulk string or array. */
    static final int MAX_HEADER_BYTES = 24;

    private RespWriter() {}

    /** Writes the header of a bulk string or an array: its type, length and line end. */
    static void writeHeader(ByteBuf out, char type, long length) {
        out.writeByte(type);
        writeNumber(out, length);
        writeLineEnd(out);
    }

    static void writeLineEnd(ByteBuf out) {
        out.writeByte('\r').writeByte('\n');
    }

    /** Writes a bulk string of ASCII text. */
    static void writeBulkString(ByteBuf out, String text) {
        writeHeader(out, '$', text.length());
        ByteBufUtil.writeAscii(out, text);
        writeLineEnd(out);
    }

    /** Writes a value as a bulk string; the value keeps its reader index. */
    static void writeValue(ByteBuf out, ByteBuf value) {
        int length = value.readableBytes();
        writeHeader(out, '$', length);
        out.writeBytes(value, value.readerIndex(), length);
        writeLineEnd(out);
    }

    /** Writes a line of ASCII text that begins with its type. */
    static void writeLine(ByteBuf out, String text) {
        ByteBufUtil.writeAscii(out, text);
        writeLineEnd(out);
    }

    /** Writes a non-negative integer in decimal digits. */
    static void writeNumber(ByteBuf out, long number) {
        int digits = digitCount(number);
        int end = out.writerIndex() + digits;
        out.ensureWritable(digits).writerIndex(end);
        long rest = number;
        for (int i = 1; i <= digits; i++) {
            out.setByte(end - i, (int) ('0' + rest % 10));
            rest /= 10;
        }
    }

    static int digitCount(long number) {
        int digits = 1;
        for (long rest = number; rest >= 10; rest /= 10) {
            digits++;
        }
        return digits;
    }
}
