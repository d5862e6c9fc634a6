package opalcove.membership;

import java.util.ArrayList;
import java.util.List;
import opalcove.membership.Member.State;
import opalcove.membership.SwimMessage.Kind;

/**
 * Sends this member's messages and adds gossip for the receiver to each. Owned by the thread of its {@link FailureDetector}.
 */
final class MessageSender {
    /** Maximum number of entries in one message of a SYNC or SYNC_ACK, so that it fits into a datagram. */
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

    /** Sends a message of a probe; the target of a PING is its intended receiver. */
    void send(String address, Kind kind, long sequence, String target, String targetAddress) {
        String receiver = kind == Kind.PING ? target : members.nameAt(address);
        host.send(
                address, new SwimMessage(kind, members.self(), sequence, target, targetAddress, entriesFor(receiver)));
    }

    /** Sends the complete state, split into as many messages as necessary. */
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
            // Only the first part may be a SYNC, so that the receiver's state is requested once.
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
     * Returns the gossip for a receiver. If the receiver is suspected or dead, that entry is the first, so that the
     * receiver can refute it (Lifeguard's buddy system).
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
