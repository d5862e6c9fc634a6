package opalcove.membership;

import java.util.List;

/**
 * A message between members. Each one carries gossip.
 *
 * @param kind what it requests or answers
 * @param from the sender, as it announces itself
 * @param sequence the number of the probe, as given by the member that requested it
 * @param target a member's name: for PING the intended receiver, for PING_REQ the member to probe; else empty
 * @param targetAddress the target's address for PING_REQ; else empty
 * @param gossip states of members, among them the sender's own while that is news
 */
public record SwimMessage(
        Kind kind, Member from, long sequence, String target, String targetAddress, List<GossipEntry> gossip) {
    /** What a message requests or answers. The constants' names are also their names in datagrams. */
    public enum Kind {
        /** Requests an ACK. */
        PING,
        /** Answers a PING, or reports to the requester that its PING_REQ succeeded. */
        ACK,
        /** Requests that the receiver probes another member. */
        PING_REQ,
        /**
         * Reports to the requester of a PING_REQ that the target did not answer in time; so this helper is not silent.
         */
        NACK,
        /** Carries the complete state of the sender and requests that of the receiver. */
        SYNC,
        /** Answers a SYNC with the complete state. */
        SYNC_ACK,
        /** Carries nothing but gossip. */
        GOSSIP
    }

    /** Copies the gossip, so that a message never changes. */
    public SwimMessage {
        gossip = List.copyOf(gossip);
    }
}
