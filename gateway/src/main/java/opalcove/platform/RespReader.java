package opalcove.platform;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/** Reads RESP2 values from bytes that may be split anywhere. After the first error it reads nothing more. */
final class RespReader implements Handler<Buffer> {
    static final int MOST_BYTES = 64 * 1024;
    private static final int MOST_LINE = 4 * 1024;
    private static final int MOST_DEPTH = 3;

    private final RecordParser parser = RecordParser.newDelimited("\r\n", (Handler<Buffer>) null);
    private final Consumer<Resp> values;
    private final Consumer<String> errors;
    private final int mostItems;
    private final Deque<Open> stack = new ArrayDeque<>();
    private int bulkLength = -1;
    private boolean broken;

    /** An array of which items are still to come. */
    private record Open(int size, List<Resp> items) { }

    /** Arrays of more than mostItems are errors, as are lines, values and depths beyond the limits above. */
    RespReader(int mostItems, Consumer<Resp> values, Consumer<String> errors) {
        this.mostItems = mostItems;
        this.values = values;
        this.errors = errors;
        // Guards memory against a line or value that never ends.
        parser.maxRecordSize(MOST_BYTES + MOST_LINE);
        parser.handler(this::record);
        parser.exceptionHandler(e -> fail("too long a line"));
    }

    @Override
    public void handle(Buffer bytes) {
        if (!broken) {
            parser.handle(bytes);
        }
    }

    /** Whether a value has begun and its end has not come. */
    boolean within() {
        return !broken && (bulkLength >= 0 || !stack.isEmpty());
    }

    /** Reads nothing more. */
    void stop() {
        broken = true;
    }

    private void record(Buffer record) {
        if (broken) {
            return;
        }
        if (bulkLength >= 0) {
            int length = bulkLength;
            bulkLength = -1;
            parser.delimitedMode("\r\n");
            if (record.getByte(length) != '\r' || record.getByte(length + 1) != '\n') {
                fail("a bulk string is longer than announced");
                return;
            }
            value(new Resp.Bulk(record.getBuffer(0, length)));
            return;
        }
        if (record.length() == 0 || record.length() > MOST_LINE) {
            fail(record.length() == 0 ? "an empty line" : "too long a line");
            return;
        }
        String rest = record.getString(1, record.length(), "ISO-8859-1");
        switch (record.getByte(0)) {
            case '$' -> bulk(rest);
            case '*' -> array(rest);
            case '+', '-', ':' -> value(new Resp.Line((char) record.getByte(0), rest));
            default -> fail("expected a RESP2 value");
        }
    }

    private void bulk(String text) {
        int length = length(text, MOST_BYTES);
        if (length == -1) {
            value(new Resp.Bulk(null));
        } else if (length >= 0) {
            bulkLength = length;
            parser.fixedSizeMode(length + 2);
        }
    }

    private void array(String text) {
        int size = length(text, mostItems);
        if (size == -1 || size == 0) {
            value(new Resp.Items(List.of()));
        } else if (size > 0 && stack.size() == MOST_DEPTH) {
            fail("arrays too deep");
        } else if (size > 0) {
            stack.push(new Open(size, new ArrayList<>(size)));
        }
    }

    /** The length, -1 for null; below that the reader has failed. */
    private int length(String text, int most) {
        try {
            int length = Integer.parseInt(text);
            if (length >= -1 && length <= most) {
                return length;
            }
        } catch (NumberFormatException e) {
            // falls through to the error
        }
        fail("a length must be a number from 0 to " + most);
        return -2;
    }

    private void value(Resp value) {
        Resp whole = value;
        while (!stack.isEmpty()) {
            Open open = stack.peek();
            open.items.add(whole);
            if (open.items.size() < open.size) {
                return;
            }
            stack.pop();
            whole = new Resp.Items(open.items);
        }
        values.accept(whole);
    }

    private void fail(String reason) {
        if (!broken) {
            broken = true;
            errors.accept(reason);
        }
    }
}
