package opalcove.membership;

/**
 * A probe without an answer so far: of this member's own, or one that another member requested by PING_REQ. Owned by
 * the thread of its {@link FailureDetector}.
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

    /** A probe of this member's own. */
    static Probe own(String target, long nowMs) {
        return new Probe(target, nowMs, null, 0);
    }

    /** A probe that another member requested, under a sequence number of that one's. */
    static Probe requestedBy(String requesterAddress, long requesterSequence, String target, long nowMs) {
        return new Probe(target, nowMs, requesterAddress, requesterSequence);
    }

    String target() {
        return target;
    }

    boolean isRequested() {
        return requesterAddress != null;
    }

    /** The address of the member that requested this probe; null for one of this member's own. */
    String requesterAddress() {
        return requesterAddress;
    }

    long requesterSequence() {
        return requesterSequence;
    }

    /** Whether indirect probes were requested after the direct one was not answered. */
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

    /** When the current step of the probe times out, for a timeout of a direct answer. */
    long timeoutAtMs(long ackTimeoutMs) {
        return startedAtMs + (isIndirect ? 2 : 1) * ackTimeoutMs;
    }

    /**
     * How much worse this member's health is after the probe failed: helpers that sent not even a NACK count against
     * it.
     */
    int healthPenalty() {
        return expectedNacks > 0 ? expectedNacks - receivedNacks : 1;
    }
}
