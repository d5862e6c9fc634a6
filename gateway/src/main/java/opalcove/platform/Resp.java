package opalcove.platform;

import io.vertx.core.buffer.Buffer;
import java.util.List;

/** A RESP2 value. */
sealed interface Resp {
    /** A bulk string; null where it is the null bulk string. */
    record Bulk(Buffer bytes) implements Resp { }

    /** A simple string (+), an error (-) or a number (:). */
    record Line(char kind, String text) implements Resp { }

    /** An array; the null array reads as an empty one. */
    record Items(List<Resp> values) implements Resp { }

    /** Writes a bulk string. */
    static Buffer bulk(Buffer bytes) {
        return Buffer.buffer(bytes.length() + 16).appendString("$" + bytes.length() + "\r\n").appendBuffer(bytes)
                .appendString("\r\n");
    }

    /** Writes an array of bulk strings, the form of a command. */
    static Buffer command(List<Buffer> words) {
        Buffer out = Buffer.buffer(256).appendString("*" + words.size() + "\r\n");
        for (Buffer word : words) {
            out.appendString("$" + word.length() + "\r\n").appendBuffer(word).appendString("\r\n");
        }
        return out;
    }

    /** Writes a simple string or an error. */
    static Buffer line(String text) {
        return Buffer.buffer(text + "\r\n");
    }
}
