package opalcove.membership;

import opalcove.membership.Member.State;

/** What this member knows of one other member. Owned by the thread of its {@link FailureDetector}. */
final class Peer {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final SuspicionTimer suspicion = new SuspicionTimer();
    private Member member;
    private long departedAtMs;
    private long missedAckAtMs = NEVER;

    /** A peer in that state; null for one of which a first state is about to be set. */
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

    /** Takes on a newer state. */
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

    /** Notes that this member, on the request of another one, got no answer from the peer. */
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
