package opalcove.membership;

import java.util.List;

/**
 * A message between members; a message of any kind can carry gossip.
 *
 * @param kind the kind of request or response
 * @param from the sender in the state that it announces
 * @param sequence the sequence number of the probe, assigned by the member that requested it
 * @param target the name of the probed member, which is the intended receiver of a PING; empty in messages of no probe
 * @param targetAddress the target's address for PING_REQ; otherwise empty
 * @param gossip states of members, including the sender's own while it is queued
 */
public record SwimMessage(
        Kind kind, Member from, long sequence, String target, String targetAddress, List<GossipEntry> gossip) {
    /** The kind of a message. The constants' names are also their names in datagrams. */
    public enum Kind {
        /** Requests an ACK. */
        PING,
        /** Responds to a PING, or reports to the requester that its PING_REQ succeeded. */
        ACK,
        /** Requests that the receiver probes another member. */
        PING_REQ,
        /**
         * Reports to the requester of a PING_REQ that the target sent no ACK in time, and shows that the sender itself is
         * reachable.
         */
        NACK,
        /** Carries the complete state of the sender and requests that of the receiver. */
        SYNC,
        /** Responds to a SYNC with the complete state. */
        SYNC_ACK,
        /** Carries only gossip. */
        GOSSIP
    }

    /** Copies the gossip, so that the message is immutable. */
    public SwimMessage {
        gossip = List.copyOf(gossip);
    }
}
