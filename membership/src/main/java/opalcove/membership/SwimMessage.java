package opalcove.membership;

import java.util.List;

/**
 * A message between members. Every one carries word of members (gossip): suspicions are told again to whom they concern.
 *
 * @param kind what it asks or answers
 * @param from the sender, as it knows itself
 * @param sequence the number of the probe, of the one who asked for it
 * @param target whom it is about, a name: for PING, who is meant by it; for PING_REQ, who is to be pinged; else empty
 * @param targetAddress where that one is, for PING_REQ; else empty
 * @param gossip word of members, of the sender too where it is news
 */
public record SwimMessage(
        Kind kind, Member from, long sequence, String target, String targetAddress, List<GossipEntry> gossip) {
    /** What a message asks or answers. */
    public enum Kind {
        /** Asks for an ACK. */
        PING,
        /** Answers a PING, or tells that a PING_REQ was answered. */
        ACK,
        /** Asks the receiver to ping another member. */
        PING_REQ,
        /** Tells who asked by PING_REQ that no answer came in time: it is not this helper that is silent. */
        NACK,
        /** Brings all that the sender knows, and asks for the same. */
        SYNC,
        /** Answers a SYNC. */
        SYNC_ACK,
        /** Brings nothing but gossip. */
        GOSSIP
    }

    /** Copies the gossip, so that a message never changes. */
    public SwimMessage {
        gossip = List.copyOf(gossip);
    }
}
