package opalcove.resp;

import java.util.List;

/**
 * Decodes the parameters of a request, a list of name=value, in one pass. One instance serves all requests of a server,
 * so that decoding allocates nothing for names and numbers. Owned by the server's event loop.
 */
final class ParameterDecoder {
    private static final int REQUEST_CLASS = 1;
    private static final int PLAN = 2;
    private static final int WAIT = 4;
    private static final int KEY = 8;
    private static final int RETRY = 16;
    private static final int UNITS = 32;
    private static final int SPREAD = 64;
    private static final int FIRST = 128;
    private static final int UNKNOWN = 0;

    private static final int MAX_DIGITS = 15;

    private final int item;
    private List<String> classNames = List.of();
    private List<String> planNames = List.of();

    private String requestClass;
    private String plan;
    private String key;
    private boolean isRetry;
    private double units;
    private double waitMs;
    private double spread;
    private double first;
    /** The names found in this request, as a bit set. */
    private int found;

    /** Creates a decoder for this item of a command. */
    ParameterDecoder(int item) {
        this.item = item;
    }

    /** Sets the valid names of request classes and plans. */
    void setNames(List<String> classes, List<String> plans) {
        classNames = classes;
        planNames = plans;
    }

    /** Returns the request class, or null if it is absent or unknown. */
    String requestClass() {
        return requestClass;
    }

    /** Returns the plan class, or null if it is absent or unknown. */
    String plan() {
        return plan;
    }

    /** Returns the idempotency key, or null if there is none. */
    String key() {
        return key;
    }

    boolean isRetry() {
        return isRetry;
    }

    double units() {
        return units;
    }

    double waitMs() {
        return waitMs;
    }

    int spread() {
        return (int) spread;
    }

    int first() {
        return (int) first;
    }

    private void clear() {
        requestClass = null;
        plan = null;
        key = null;
        isRetry = false;
        units = -1;
        waitMs = -1;
        spread = -1;
        first = -1;
        found = 0;
    }

    /** Decodes all parameters; returns false if one has an unknown name, has no value or appears twice. */
    boolean decode(RespDecoder command) {
        clear();
        int end = command.length(item);
        int from = 0;
        while (from <= end) {
            int to = indexOf(command, ',', from, end);
            int equals = indexOf(command, '=', from, to);
            int name = equals == to ? UNKNOWN : nameOf(command, from, equals);
            if (name == UNKNOWN || (found & name) != 0) {
                return false;
            }
            found |= name;
            decodeValue(command, name, equals + 1, to);
            from = to + 1;
        }
        return true;
    }

    private int indexOf(RespDecoder command, char wanted, int from, int end) {
        int i = from;
        while (i < end && command.byteAt(item, i) != wanted) {
            i++;
        }
        return i;
    }

    private int nameOf(RespDecoder command, int from, int to) {
        if (to - from == 1) {
            return switch (command.byteAt(item, from)) {
                case 'c' -> REQUEST_CLASS;
                case 't' -> PLAN;
                case 'd' -> WAIT;
                case 'k' -> KEY;
                case 'r' -> RETRY;
                default -> UNKNOWN;
            };
        }
        if (command.regionEquals(item, from, to, "units")) {
            return UNITS;
        }
        if (command.regionEquals(item, from, to, "spread")) {
            return SPREAD;
        }
        return command.regionEquals(item, from, to, "first") ? FIRST : UNKNOWN;
    }

    private void decodeValue(RespDecoder command, int name, int from, int to) {
        switch (name) {
            case REQUEST_CLASS -> requestClass = knownName(command, from, to, classNames);
            case PLAN -> plan = knownName(command, from, to, planNames);
            case WAIT -> waitMs = decimal(command, item, from, to);
            case KEY -> key = command.text(item, from, to);
            case RETRY -> isRetry = to - from == 1 && command.byteAt(item, from) == '1';
            case UNITS -> units = decimal(command, item, from, to);
            case SPREAD -> spread = decimal(command, item, from, to);
            case FIRST -> first = decimal(command, item, from, to);
            default -> throw new IllegalStateException("no such parameter: " + name);
        }
    }

    /** Whether all required parameters are present and well formed. */
    boolean isComplete() {
        boolean hasNames = requestClass != null && plan != null;
        boolean hasNumbers = units >= 0 && waitMs >= 0 && spread >= 0 && first >= 0;
        return hasNames && hasNumbers && spread == (int) spread && first == (int) first;
    }

    private String knownName(RespDecoder command, int from, int to, List<String> names) {
        for (int i = 0; i < names.size(); i++) {
            if (command.regionEquals(item, from, to, names.get(i))) {
                return names.get(i);
            }
        }
        return null;
    }

    /** Parses an unsigned decimal number of few digits, with an optional fraction; returns -1 for anything else. */
    static double decimal(RespDecoder value, int item, int from, int to) {
        long digits = 0;
        double scale = 0;
        if (to <= from || to - from > MAX_DIGITS) {
            return -1;
        }
        for (int i = from; i < to; i++) {
            int digit = value.byteAt(item, i) - '0';
            if (digit == '.' - '0' && scale == 0 && i > from && i < to - 1) {
                scale = 1;
            } else if (digit < 0 || digit > 9) {
                return -1;
            } else {
                digits = digits * 10 + digit;
                scale *= 10;
            }
        }
        // Both operands are exact, so the quotient is the double that is nearest to the decimal number.
        return scale == 0 ? digits : digits / scale;
    }
}
