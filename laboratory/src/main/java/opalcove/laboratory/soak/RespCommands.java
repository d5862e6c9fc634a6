package opalcove.laboratory.soak;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Parses RESP2 arrays of bulk strings that may arrive in pieces, independently of the gateway's parser. */
final class RespCommands {
    private static final int MAX_LINE_BYTES = 32;

    private RespCommands() {}

    /** Removes and returns the next complete command; returns null if none is complete yet. */
    static List<String> next(ByteBuf in) {
        int start = in.readerIndex();
        int fields = number(in, '*');
        List<String> command = new ArrayList<>(Math.max(0, fields));
        for (int i = 0; i < fields; i++) {
            int length = number(in, '$');
            if (length < 0 || in.readableBytes() < length + 2) {
                in.readerIndex(start);
                return null;
            }
            command.add(in.toString(in.readerIndex(), length, StandardCharsets.ISO_8859_1));
            in.skipBytes(length + 2);
        }
        if (fields < 0) {
            in.readerIndex(start);
            return null;
        }
        return command;
    }

    private static int number(ByteBuf in, char firstByte) {
        int end = in.indexOf(
                in.readerIndex(), Math.min(in.writerIndex(), in.readerIndex() + MAX_LINE_BYTES), (byte) '\n');
        if (end < 0) {
            return -1;
        }
        if (in.getByte(in.readerIndex()) != firstByte) {
            throw new IllegalStateException("RESP2 line doesn't begin with the expected byte " + firstByte);
        }
        String digits = in.toString(in.readerIndex() + 1, end - in.readerIndex() - 2, StandardCharsets.US_ASCII);
        in.readerIndex(end + 1);
        return Integer.parseInt(digits);
    }

    /** Returns the value of a parameter such as {@code d=480} in a command's list of parameters, or null. */
    static String parameter(String parameters, String name) {
        for (String each : parameters.split(",")) {
            if (each.startsWith(name + "=")) {
                return each.substring(name.length() + 1);
            }
        }
        return null;
    }

    /** Returns the command as a RESP2 array. */
    static String command(String... fields) {
        StringBuilder text = new StringBuilder("*").append(fields.length).append("\r\n");
        for (String each : fields) {
            text.append('$').append(each.length()).append("\r\n").append(each).append("\r\n");
        }
        return text.toString();
    }
}
