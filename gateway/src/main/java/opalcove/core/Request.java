package opalcove.core;

import io.netty.buffer.ByteBuf;

/**
 * A client's request to the app of its tenant, independent of any wire.
 *
 * @param timeoutMs how long the client waits, counted from when the request was received
 * @param idempotencyKey the key of a class whose repeats are recognised by it, else null
 * @param retry whether the client has sent it before
 * @param gatewayCount the tenant's requests come in through this many gateways in a row
 * @param firstGateway the number of the first of them
 * @param body null in a class that is safe to repeat
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
    /** The same request of a client that waits so long; itself where nothing changes. */
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
