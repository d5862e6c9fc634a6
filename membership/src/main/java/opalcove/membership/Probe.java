package opalcove.membership;

/**
 * A probe that has not been acknowledged: either this member's own or one that another member requested by PING_REQ.
 * Owned by the thread of its {@link FailureDetector}.
 */
final class Probe {
    private final String target;
    private final long startedAtMs;
    private final String requesterAddress;
    private final long requesterSequence;
    private boolean isIndirect;
    private int expectedNacks;
    private int receivedNacks;

    private Probe(String target, long startedAtMs, String requesterAddress, long requesterSequence) {
        this.target = target;
        this.startedAtMs = startedAtMs;
        this.requesterAddress = requesterAddress;
        this.requesterSequence = requesterSequence;
    }

    /** Creates a probe of this member's own. */
    static Probe own(String target, long nowMs) {
        return new Probe(target, nowMs, null, 0);
    }

    /** Creates a probe that another member requested; the sequence number is the requester's. */
    static Probe requestedBy(String requesterAddress, long requesterSequence, String target, long nowMs) {
        return new Probe(target, nowMs, requesterAddress, requesterSequence);
    }

    String target() {
        return target;
    }

    boolean isRequested() {
        return requesterAddress != null;
    }

    /** Returns the address of the member that requested this probe; null for this member's own probe. */
    String requesterAddress() {
        return requesterAddress;
    }

    long requesterSequence() {
        return requesterSequence;
    }

    /** Whether indirect probes were requested because the direct one received no ACK in time. */
    boolean isIndirect() {
        return isIndirect;
    }

    void becomeIndirect() {
        isIndirect = true;
    }

    void expectNack() {
        expectedNacks++;
    }

    void countNack() {
        receivedNacks++;
    }

    long elapsedMs(long nowMs) {
        return nowMs - startedAtMs;
    }

    /** Returns when the current step of the probe times out, in ms, given the timeout of a direct ACK. */
    long timeoutAtMs(long ackTimeoutMs) {
        return startedAtMs + (isIndirect ? 2 : 1) * ackTimeoutMs;
    }

    /**
     * Returns by how much the health score rises after the probe failed: the number of requested members that sent no
     * NACK, or 1 if none was requested.
     */
    int healthPenalty() {
        return expectedNacks > 0 ? expectedNacks - receivedNacks : 1;
    }
}
