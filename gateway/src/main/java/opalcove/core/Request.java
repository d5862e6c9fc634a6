package opalcove.core;

import io.netty.buffer.ByteBuf;

/**
 * What a terminal asks of its operator's app, in no wire's words. waitMs is how long the terminal waits, counted from
 * when the ask was taken; key is the repeat key of a keyed class or null; the operator's asks come in through
 * {@code gateways} gateways in a row, the first of them numbered firstGateway. The body is null in a class
 * that is safe to repeat.
 */
public record Request(
        String id,
        String tenant,
        String requestClass,
        String plan,
        double units,
        double timeoutMs,
        String idempotencyKey,
        boolean retry,
        int gatewayCount,
        int firstGateway,
        ByteBuf body) {
    /** The same ask of a terminal that waits so long. */
    Request withTimeoutMs(double ms) {
        return ms == timeoutMs
                ? this
                : new Request(
                        id,
                        tenant,
                        requestClass,
                        plan,
                        units,
                        ms,
                        idempotencyKey,
                        retry,
                        gatewayCount,
                        firstGateway,
                        body);
    }

    /** The units as a text, without a point where they are whole. */
    public String unitsText() {
        return units == Math.rint(units) ? Long.toString((long) units) : Double.toString(units);
    }
}
