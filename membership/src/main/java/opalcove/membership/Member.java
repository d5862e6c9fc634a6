package opalcove.membership;

/**
 * The state of one gateway, as another one knows it.
 *
 * @param name its unique name
 * @param address host and port of its datagram socket
 * @param incarnation orders its states, the higher one is newer; only the member itself raises it
 * @param state its state in that incarnation
 */
public record Member(String name, String address, long incarnation, State state) {
    /**
     * The states; of two at the same incarnation, the later one in this order overrides. The constants' names are also
     * their names in datagrams and events and, in lower case, in the reply to MEMBERS.
     */
    public enum State {
        ALIVE,
        /** Did not answer in time, neither directly nor through other members; it may refute that. */
        SUSPECT,
        /** Was a suspect for the whole suspicion timeout. */
        DEAD,
        /** Announced that it leaves. */
        LEFT
    }

    /** Whether this state is newer than another one of the same member. */
    boolean overrides(Member known) {
        return incarnation != known.incarnation
                ? incarnation > known.incarnation
                : state.ordinal() > known.state.ordinal();
    }

    /** Whether the member is part of the fleet: alive, or only suspected. */
    public boolean isPresent() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    Member withState(State next) {
        return new Member(name, address, incarnation, next);
    }
}
