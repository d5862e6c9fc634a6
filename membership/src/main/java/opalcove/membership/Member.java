package opalcove.membership;

/**
 * A gateway and its state as known to another gateway.
 *
 * @param name the gateway's unique name
 * @param address the host and port of its datagram socket
 * @param incarnation orders the member's states, a higher one being newer; only the member itself raises it
 * @param state the member's state in this incarnation
 */
public record Member(String name, String address, long incarnation, State state) {
    /**
     * The state of a member. Of two states with the same incarnation, the one declared later overrides the other. The
     * constants' names are also their names in datagrams and events and, in lower case, in the reply to MEMBERS.
     */
    public enum State {
        ALIVE,
        /** Sent no ACK in time to a direct or an indirect probe; the member may refute the suspicion. */
        SUSPECT,
        /** Was suspected until the suspicion timeout expired. */
        DEAD,
        /** Announced a graceful shutdown. */
        LEFT
    }

    /** Whether this state is newer than another one of the same member. */
    boolean overrides(Member known) {
        return incarnation != known.incarnation
                ? incarnation > known.incarnation
                : state.ordinal() > known.state.ordinal();
    }

    /** Whether the member is part of the fleet, that is, alive or suspected. */
    public boolean isPresent() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    Member withState(State next) {
        return new Member(name, address, incarnation, next);
    }
}
