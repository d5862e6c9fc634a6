package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import opalcove.core.Request;

/** Encodes requests as commands to backends. Stateless. */
final class RequestEncoder {
    private static final String CLASS = "c=";
    private static final String PLAN = ",t=";
    private static final String TIMEOUT = ",d=";
    private static final String KEY = ",k=";
    private static final String RETRY = ",r=1";
    private static final String UNITS = ",units=";
    private static final String SPREAD = ",spread=";
    private static final String FIRST = ",first=";

    private RequestEncoder() {}

    /**
     * Writes the command that forwards a request to a backend.
     *
     * @param timeoutMs how long this gateway will wait for the reply, ms
     */
    static void encode(Request request, double timeoutMs, RawSocket socket) {
        long timeout = (long) timeoutMs;
        boolean hasIntegerUnits = request.units() == Math.rint(request.units());
        String units = hasIntegerUnits ? null : request.unitsText();
        int length = parametersLength(request, timeout, units);
        ByteBuf out = socket.reserve(6 * RespWriter.MAX_HEADER_BYTES
                + request.tenant().length()
                + request.id().length()
                + length);
        RespWriter.writeHeader(out, '*', request.body() == null ? 4 : 5);
        RespWriter.writeBulkString(out, request.body() == null ? RequestDecoder.QUERY : RequestDecoder.SUBMIT);
        RespWriter.writeBulkString(out, request.tenant());
        RespWriter.writeBulkString(out, request.id());
        RespWriter.writeHeader(out, '$', length);
        writeParameters(out, request, timeout, units);
        RespWriter.writeLineEnd(out);
        if (request.body() != null) {
            writeBody(out, request.body(), socket);
        }
    }

    /** Returns the length of the encoded parameters, bytes; units is null if the number of units is an integer. */
    private static int parametersLength(Request request, long timeoutMs, String units) {
        return CLASS.length()
                + request.requestClass().length()
                + PLAN.length()
                + request.plan().length()
                + TIMEOUT.length()
                + RespWriter.digitCount(timeoutMs)
                + (request.idempotencyKey() == null
                        ? 0
                        : KEY.length() + request.idempotencyKey().length())
                + (request.retry() ? RETRY.length() : 0)
                + UNITS.length()
                + (units == null ? RespWriter.digitCount((long) request.units()) : units.length())
                + SPREAD.length()
                + RespWriter.digitCount(request.gatewayCount())
                + FIRST.length()
                + RespWriter.digitCount(request.firstGateway());
    }

    private static void writeParameters(ByteBuf out, Request request, long timeoutMs, String units) {
        writeParameter(out, CLASS, request.requestClass());
        writeParameter(out, PLAN, request.plan());
        writeParameter(out, TIMEOUT, timeoutMs);
        if (request.idempotencyKey() != null) {
            writeParameter(out, KEY, request.idempotencyKey());
        }
        if (request.retry()) {
            ByteBufUtil.writeAscii(out, RETRY);
        }
        if (units == null) {
            writeParameter(out, UNITS, (long) request.units());
        } else {
            writeParameter(out, UNITS, units);
        }
        writeParameter(out, SPREAD, request.gatewayCount());
        writeParameter(out, FIRST, request.firstGateway());
    }

    private static void writeParameter(ByteBuf out, String name, String value) {
        ByteBufUtil.writeAscii(out, name);
        ByteBufUtil.writeAscii(out, value);
    }

    private static void writeParameter(ByteBuf out, String name, long value) {
        ByteBufUtil.writeAscii(out, name);
        RespWriter.writeNumber(out, value);
    }

    /** Writes the body without copying it, from the buffer that the request retains. */
    private static void writeBody(ByteBuf header, ByteBuf body, RawSocket socket) {
        RespWriter.writeHeader(header, '$', body.readableBytes());
        if (body.isReadable()) {
            socket.write(body.retainedDuplicate());
        }
        socket.writeLineEnd();
    }
}
