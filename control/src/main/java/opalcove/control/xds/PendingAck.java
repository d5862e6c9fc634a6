package opalcove.control.xds;

import java.util.Map;

/**
 * A response that the client has not acknowledged yet.
 *
 * @param nonce identifies the response on its stream
 * @param versions the versions in the response, by resource name; {@link ResourceSubscription#ABSENT} for a removed
 *     resource
 * @param splittable whether the resources may be sent again in smaller responses if the client rejects this one
 * @param revisionBefore the last snapshot revision that the earlier responses covered completely
 * @param sentAtMs when the response was sent, ms
 */
record PendingAck(
        String nonce, Map<String, String> versions, boolean splittable, long revisionBefore, double sentAtMs) {}
