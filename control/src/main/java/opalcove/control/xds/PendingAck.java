package opalcove.control.xds;

import java.util.Map;

/**
 * A response whose acknowledgement is outstanding.
 *
 * @param nonce identifies the response on its stream
 * @param versions the versions it carried, by resource name; {@link ResourceSubscription#ABSENT} for a resource that it removed
 * @param splittable whether its resources may be sent again in smaller responses if the client rejects it
 * @param revisionBefore the last snapshot revision that the responses before this one had covered completely
 * @param sentAtMs when it was sent
 */
record PendingAck(
        String nonce, Map<String, String> versions, boolean splittable, long revisionBefore, double sentAtMs) {}
