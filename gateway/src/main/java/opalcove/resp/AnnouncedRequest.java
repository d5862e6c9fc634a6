package opalcove.resp;

import opalcove.core.InvalidRequestException;
import opalcove.core.RequestParameters;

/**
 * A request whose parameters have been decoded and whose body has not arrived.
 *
 * @param requestClass the name of its class
 * @param timeoutMs how long its client waits, ms
 * @param ageMs how long ago the request was written, if that was as early as possible, ms
 */
record AnnouncedRequest(String requestClass, double timeoutMs, double ageMs) {
    /** The part of its time that is left when a request is refused, so that many can be read and refused in time. */
    private static final double REFUSAL_LEAD = 0.25;
    /** The minimum of that time, ms. */
    private static final double MIN_REFUSAL_LEAD_MS = 500;

    /** Decodes the parameters of the command that is arriving; returns null if it is no request with valid ones. */
    static AnnouncedRequest decode(RespDecoder command, double unreadMs) {
        if (command.decodedItemCount() != RequestDecoder.BODY || !RequestDecoder.isRequest(command)) {
            return null;
        }
        try {
            RequestParameters parameters =
                    new RequestParameters(RequestDecoder.splitParameters(command.text(RequestDecoder.PARAMETERS)));
            return new AnnouncedRequest(parameters.required("c"), parameters.number("d"), unreadMs);
        } catch (InvalidRequestException e) {
            return null;
        }
    }

    /** Whether the request has to be refused if it cannot be received now. */
    boolean isOverdue(double waitedMs) {
        return timeoutMs - ageMs - waitedMs < Math.max(MIN_REFUSAL_LEAD_MS, REFUSAL_LEAD * timeoutMs);
    }
}
