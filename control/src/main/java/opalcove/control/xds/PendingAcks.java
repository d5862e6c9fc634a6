package opalcove.control.xds;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/** The responses of one type on one stream that the client has not acknowledged yet, in the order of sending. */
final class PendingAcks {
    /**
     * Beyond this number the oldest entry is discarded, which bounds the memory for a client that never acknowledges.
     */
    private static final int MAX_PENDING = 64;

    private final Deque<PendingAck> pending = new ArrayDeque<>();
    private final String noncePrefix;
    private long lastNonce;

    PendingAcks(String noncePrefix) {
        this.noncePrefix = noncePrefix;
    }

    /** Adds a response that is about to be sent and returns its nonce. */
    String add(Map<String, String> versions, boolean splittable, long revisionBefore, double nowMs) {
        String nonce = noncePrefix + ++lastNonce;
        if (pending.size() == MAX_PENDING) {
            pending.removeFirst();
        }
        pending.addLast(new PendingAck(nonce, versions, splittable, revisionBefore, nowMs));
        return nonce;
    }

    /**
     * Removes and returns the response with this nonce, or null if none with it is pending.
     *
     * @param cumulative whether the acknowledgement also covers all earlier responses
     */
    PendingAck remove(String nonce, boolean cumulative) {
        PendingAck acknowledged = pending.stream()
                .filter(each -> each.nonce().equals(nonce))
                .findFirst()
                .orElse(null);
        if (acknowledged != null) {
            while (cumulative && pending.peekFirst() != acknowledged) {
                pending.removeFirst();
            }
            pending.remove(acknowledged);
        }
        return acknowledged;
    }

    /** Whether this is the nonce of the response that was sent last. */
    boolean isLatest(String nonce) {
        return nonce.equals(noncePrefix + lastNonce);
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Returns the oldest pending response, or null if there is none. */
    PendingAck oldest() {
        return pending.peekFirst();
    }
}
