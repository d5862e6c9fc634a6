package opalcove.membership;

import opalcove.membership.Member.State;

/** State of one other member as known to this member. Owned by the thread of its {@link FailureDetector}. */
final class Peer {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final SuspicionTimer suspicion = new SuspicionTimer();
    private Member member;
    private long departedAtMs;
    private long missedAckAtMs = NEVER;

    /** Creates a peer in the given state; null if its first state is set later by {@link #update}. */
    Peer(Member member) {
        this.member = member;
    }

    Member member() {
        return member;
    }

    String name() {
        return member.name();
    }

    String address() {
        return member.address();
    }

    State state() {
        return member.state();
    }

    boolean isPresent() {
        return member.isPresent();
    }

    SuspicionTimer suspicion() {
        return suspicion;
    }

    /** Applies a newer state. */
    void update(long nowMs, Member next, String accuser) {
        member = next;
        if (next.state() == State.SUSPECT) {
            suspicion.start(nowMs, accuser);
        } else {
            suspicion.cancel();
            missedAckAtMs = NEVER;
        }
        if (!next.isPresent()) {
            departedAtMs = nowMs;
        }
    }

    /** Records that a probe of the peer, which another member had requested from this one, received no ACK. */
    void recordMissedAck(long nowMs) {
        missedAckAtMs = nowMs;
    }

    boolean hasMissedAckWithin(long windowMs, long nowMs) {
        return nowMs - missedAckAtMs < windowMs;
    }

    boolean isExpired(long nowMs, long retentionMs) {
        return !isPresent() && nowMs - departedAtMs > retentionMs;
    }
}
