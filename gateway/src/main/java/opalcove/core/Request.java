package opalcove.core;

import io.netty.buffer.ByteBuf;

/**
 * A client's request to the backends of its tenant, independent of the wire protocol.
 *
 * @param timeoutMs how long the client waits, counted from when the request was received, ms
 * @param idempotencyKey the key by which backends recognise repeats, or null if the request class has none
 * @param retry whether the client has sent the request before
 * @param gatewayCount the number of consecutive gateways that receive the tenant's requests
 * @param firstGateway the number of the first of these gateways
 * @param body the payload, or null in a class that is safe to repeat
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
    /** Returns this request with another timeout, or this object itself if the timeout is the same. */
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

    /** Returns the units as text, without a decimal point if they are an integer. */
    public String unitsText() {
        return units == Math.rint(units) ? Long.toString((long) units) : Double.toString(units);
    }
}
