package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import opalcove.core.InvalidRequestException;
import opalcove.core.Request;
import opalcove.core.RequestParameters;
import opalcove.core.RequestValidator;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Idempotency;

/** Turns a terminal's command into an ask, and an ask into the command for an app node. */
final class RequestDecoder {
    private static final String QUERY = "SVC.QUERY";
    private static final String SUBMIT = "SVC.SUBMIT";
    private static final int MARKS = 3;
    private static final int BODY = 4;
    private static final int MOST_DIGITS = 15;

    private final Supplier<RequestValidator> newest;
    private RequestValidator rules;
    private List<String> classes;
    private List<String> plans;
    private final Parameters parameters = new Parameters();

    /** Reads asks by the rules in force, which new settings may replace at any time. */
    RequestDecoder(Supplier<RequestValidator> newest) {
        this.newest = newest;
        follow();
    }

    private void follow() {
        rules = newest.get();
        classes = rules.classNames();
        plans = rules.planNames();
    }

    /** Whether this is the command of an ask, in letters of either case. */
    static boolean requests(RespDecoder command) {
        return named(command, QUERY) || named(command, SUBMIT);
    }

    private static boolean named(RespDecoder command, String name) {
        boolean same = command.length(0) == name.length();
        for (int i = 0; same && i < name.length(); i++) {
            same = Character.toUpperCase(command.at(0, i)) == name.charAt(i);
        }
        return same;
    }

    /**
     * Reads the ask. Its body, where it has one, is put into a buffer of the given kind, which is the caller's to release
     * once the ask is settled.
     */
    Request read(RespDecoder command, RawSocket buffers) throws InvalidRequestException {
        if (newest.get() != rules) {
            follow();
        }
        boolean submit = named(command, SUBMIT);
        if (command.count() != (submit ? 5 : 4)) {
            throw new InvalidRequestException("wrong number of words for " + (submit ? SUBMIT : QUERY));
        }
        Request bare = usual(command, submit);
        if (bare == null) {
            bare = unusual(command, submit);
        }
        if (!submit) {
            return bare;
        }
        ByteBuf body = buffers.aside(Math.max(1, command.length(BODY))).writeBytes(command.lend(BODY));
        return new Request(
                bare.id(),
                bare.tenant(),
                bare.requestClass(),
                bare.plan(),
                bare.units(),
                bare.timeoutMs(),
                bare.idempotencyKey(),
                bare.retry(),
                bare.gatewayCount(),
                bare.firstGateway(),
                body);
    }

    /** A request as clients send it, read in one pass over its bytes; null where anything about it is unusual. */
    private Request usual(RespDecoder command, boolean submit) throws InvalidRequestException {
        if (!parameters.read(command) || !parameters.complete()) {
            return null;
        }
        Idempotency effect = rules.requestClass(parameters.requestClass).idempotency();
        boolean keyed = effect == Idempotency.KEYED;
        boolean keyMissing = parameters.key == null || parameters.key.isEmpty();
        if (submit == (effect == Idempotency.SAFE) || keyed && keyMissing) {
            return null;
        }
        return rules.validate(new Request(
                RequestParameters.hexId(command.text(2), "the id"),
                command.text(1),
                parameters.requestClass,
                parameters.plan,
                parameters.units,
                parameters.waitMs,
                keyed ? parameters.key : null,
                parameters.retry,
                (int) parameters.spread,
                (int) parameters.first,
                null));
    }

    /** The names and values of one request. One object serves all requests, so that reading allocates nothing. */
    private final class Parameters {
        private static final int REQUEST_CLASS = 1;
        private static final int PLAN = 2;
        private static final int WAIT = 4;
        private static final int KEY = 8;
        private static final int RETRY = 16;
        private static final int UNITS = 32;
        private static final int SPREAD = 64;
        private static final int FIRST = 128;
        private static final int UNKNOWN = 0;

        private String requestClass;
        private String plan;
        private String key;
        private boolean retry;
        private double units;
        private double waitMs;
        private double spread;
        private double first;
        private int seen;

        private void clear() {
            requestClass = null;
            plan = null;
            key = null;
            retry = false;
            units = -1;
            waitMs = -1;
            spread = -1;
            first = -1;
            seen = 0;
        }

        /** Reads all of them; false where one has an unknown name, has no value or comes twice. */
        private boolean read(RespDecoder command) {
            clear();
            int end = command.length(MARKS);
            int from = 0;
            while (from <= end) {
                int to = indexOf(command, ',', from, end);
                int equals = indexOf(command, '=', from, to);
                int name = equals == to ? UNKNOWN : name(command, from, equals);
                if (name == UNKNOWN || (seen & name) != 0) {
                    return false;
                }
                seen |= name;
                take(command, name, equals + 1, to);
                from = to + 1;
            }
            return true;
        }

        private static int indexOf(RespDecoder command, char wanted, int from, int end) {
            int i = from;
            while (i < end && command.at(MARKS, i) != wanted) {
                i++;
            }
            return i;
        }

        private static int name(RespDecoder command, int from, int to) {
            if (to - from == 1) {
                return switch (command.at(MARKS, from)) {
                    case 'c' -> REQUEST_CLASS;
                    case 't' -> PLAN;
                    case 'd' -> WAIT;
                    case 'k' -> KEY;
                    case 'r' -> RETRY;
                    default -> UNKNOWN;
                };
            }
            if (command.is(MARKS, from, to, "units")) {
                return UNITS;
            }
            if (command.is(MARKS, from, to, "spread")) {
                return SPREAD;
            }
            return command.is(MARKS, from, to, "first") ? FIRST : UNKNOWN;
        }

        private void take(RespDecoder command, int name, int from, int to) {
            switch (name) {
                case REQUEST_CLASS -> requestClass = known(command, from, to, classes);
                case PLAN -> plan = known(command, from, to, plans);
                case WAIT -> waitMs = decimal(command, MARKS, from, to);
                case KEY -> key = command.text(MARKS, from, to);
                case RETRY -> retry = to - from == 1 && command.at(MARKS, from) == '1';
                case UNITS -> units = decimal(command, MARKS, from, to);
                case SPREAD -> spread = decimal(command, MARKS, from, to);
                case FIRST -> first = decimal(command, MARKS, from, to);
                default -> throw new IllegalStateException("no such name: " + name);
            }
        }

        /** Whether all that each request needs is there, in the form that it needs. */
        private boolean complete() {
            boolean named = requestClass != null && plan != null;
            boolean numbered = units >= 0 && waitMs >= 0 && spread >= 0 && first >= 0;
            return named && numbered && spread == (int) spread && first == (int) first;
        }
    }

    private static String known(RespDecoder command, int from, int to, List<String> names) {
        for (int i = 0; i < names.size(); i++) {
            if (command.is(MARKS, from, to, names.get(i))) {
                return names.get(i);
            }
        }
        return null;
    }

    /** A plain number of few digits, perhaps with a point; below 0 where it is none. */
    static double decimal(RespDecoder value, int item, int from, int to) {
        long digits = 0;
        double scale = 0;
        if (to <= from || to - from > MOST_DIGITS) {
            return -1;
        }
        for (int i = from; i < to; i++) {
            int digit = value.at(item, i) - '0';
            if (digit == '.' - '0' && scale == 0 && i > from && i < to - 1) {
                scale = 1;
            } else if (digit < 0 || digit > 9) {
                return -1;
            } else {
                digits = digits * 10 + digit;
                scale *= 10;
            }
        }
        // Both are exact, so the quotient is the number that is nearest to the decimal one.
        return scale == 0 ? digits : digits / scale;
    }

    /** Reads an ask of any form, to tell what is wrong with it. */
    private Request unusual(RespDecoder command, boolean submit) throws InvalidRequestException {
        Map<String, String> values = new HashMap<>();
        for (String mark : command.text(MARKS).split(",")) {
            int equals = mark.indexOf('=');
            if (equals < 1) {
                throw new InvalidRequestException("expected name=value");
            }
            if (values.put(mark.substring(0, equals), mark.substring(equals + 1)) != null) {
                throw new InvalidRequestException("a name comes twice");
            }
        }
        RequestParameters marks = new RequestParameters(values);
        String named = marks.required("c");
        try {
            DecisionSettings.RequestClass requestClass = rules.requestClass(named);
            if (submit == (requestClass.idempotency() == Idempotency.SAFE)) {
                throw new InvalidRequestException((submit ? SUBMIT : QUERY) + " does not serve " + requestClass.name());
            }
            boolean keyed = requestClass.idempotency() == Idempotency.KEYED;
            return rules.validate(new Request(
                    RequestParameters.hexId(command.text(2), "the id"),
                    command.text(1),
                    requestClass.name(),
                    marks.required("t"),
                    marks.number("units"),
                    marks.number("d"),
                    keyed ? marks.required("k") : null,
                    marks.isSet("r"),
                    marks.integer("spread"),
                    marks.integer("first"),
                    null));
        } catch (InvalidRequestException e) {
            // The figures count the failure in the class that the request names, known or not.
            throw new InvalidRequestException(e.getMessage(), named);
        }
    }

    /** Writes the command that passes the ask on; waitMs is how long this gateway will wait. */
    static void write(Request request, double waitMs, RawSocket to) {
        long wait = (long) waitMs;
        boolean whole = request.units() == Math.rint(request.units());
        String units = whole ? null : request.unitsText();
        int length = 2
                + request.requestClass().length()
                + 3
                + request.plan().length()
                + 3
                + Resp.digits(wait)
                + (request.idempotencyKey() == null
                        ? 0
                        : 3 + request.idempotencyKey().length())
                + (request.retry() ? 4 : 0)
                + 7
                + (whole ? Resp.digits((long) request.units()) : units.length())
                + 8
                + Resp.digits(request.gatewayCount())
                + 7
                + Resp.digits(request.firstGateway());
        ByteBuf out =
                to.room(6 * Resp.HEAD + request.tenant().length() + request.id().length() + length);
        Resp.head(out, '*', request.body() == null ? 4 : 5);
        Resp.string(out, request.body() == null ? QUERY : SUBMIT);
        Resp.string(out, request.tenant());
        Resp.string(out, request.id());
        Resp.head(out, '$', length);
        mark(out, "c=", request.requestClass());
        mark(out, ",t=", request.plan());
        ByteBufUtil.writeAscii(out, ",d=");
        Resp.number(out, wait);
        if (request.idempotencyKey() != null) {
            mark(out, ",k=", request.idempotencyKey());
        }
        if (request.retry()) {
            ByteBufUtil.writeAscii(out, ",r=1");
        }
        ByteBufUtil.writeAscii(out, ",units=");
        if (whole) {
            Resp.number(out, (long) request.units());
        } else {
            ByteBufUtil.writeAscii(out, units);
        }
        ByteBufUtil.writeAscii(out, ",spread=");
        Resp.number(out, request.gatewayCount());
        ByteBufUtil.writeAscii(out, ",first=");
        Resp.number(out, request.firstGateway());
        Resp.lineEnd(out);
        if (request.body() != null) {
            writeBody(out, request.body(), to);
        }
    }

    private static void mark(ByteBuf out, String name, String value) {
        ByteBufUtil.writeAscii(out, name);
        ByteBufUtil.writeAscii(out, value);
    }

    /** The body goes along in the buffer that the ask holds until it is settled. */
    private static void writeBody(ByteBuf head, ByteBuf body, RawSocket to) {
        Resp.head(head, '$', body.readableBytes());
        if (body.isReadable()) {
            to.pass(body.retainedDuplicate());
        }
        to.passLineEnd();
    }
}
