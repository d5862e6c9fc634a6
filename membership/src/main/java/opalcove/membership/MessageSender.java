package opalcove.membership;

import java.util.ArrayList;
import java.util.List;
import opalcove.membership.Member.State;
import opalcove.membership.SwimMessage.Kind;

/**
 * Sends this member's messages, each with gossip for its receiver. Owned by the thread of its {@link FailureDetector}.
 */
final class MessageSender {
    /** Maximum number of entries in one message of a SYNC, so that it fits into a datagram. */
    private static final int MAX_SYNC_ENTRIES = 128;

    private final SwimConfig config;
    private final MemberTable members;
    private final GossipQueue gossip;
    private final FailureDetector.Host host;

    MessageSender(SwimConfig config, MemberTable members, GossipQueue gossip, FailureDetector.Host host) {
        this.config = config;
        this.members = members;
        this.gossip = gossip;
        this.host = host;
    }

    /** Sends a message about a probe; for a PING the target is the intended receiver. */
    void send(String address, Kind kind, long sequence, String target, String targetAddress) {
        String receiver = kind == Kind.PING ? target : members.nameAt(address);
        host.send(
                address, new SwimMessage(kind, members.self(), sequence, target, targetAddress, entriesFor(receiver)));
    }

    /** Sends the complete state, in as many messages as it needs. */
    void sendState(Kind kind, String address, long sequence) {
        List<GossipEntry> state = new ArrayList<>();
        state.add(GossipEntry.of(members.self()));
        for (Peer peer : members.peers()) {
            state.add(new GossipEntry(
                    peer.member(),
                    peer.state() == State.SUSPECT ? peer.suspicion().anyAccuser() : ""));
        }
        for (int from = 0; from < state.size(); from += MAX_SYNC_ENTRIES) {
            List<GossipEntry> part = state.subList(from, Math.min(state.size(), from + MAX_SYNC_ENTRIES));
            // Only the first part requests the receiver's state.
            host.send(
                    address, new SwimMessage(from == 0 ? kind : Kind.SYNC_ACK, members.self(), sequence, "", "", part));
        }
    }

    /** Sends pending gossip to random peers. */
    void sendGossip() {
        if (gossip.isEmpty()) {
            return;
        }
        for (Peer peer : members.pick(config.gossipFanout(), each -> true)) {
            List<GossipEntry> entries = entriesFor(peer.name());
            if (!entries.isEmpty()) {
                host.send(peer.address(), new SwimMessage(Kind.GOSSIP, members.self(), 0, "", "", entries));
            }
        }
    }

    /**
     * The gossip for a receiver; first of all what it is accused of, so that it can refute that (Lifeguard's buddy
     * system).
     */
    private List<GossipEntry> entriesFor(String receiver) {
        List<GossipEntry> entries = new ArrayList<>();
        Peer peer = members.get(receiver);
        if (peer != null && (peer.state() == State.SUSPECT || peer.state() == State.DEAD)) {
            entries.add(new GossipEntry(peer.member(), peer.suspicion().anyAccuser()));
        }
        gossip.drainTo(entries, receiver, members.memberCount());
        return entries;
    }
}
