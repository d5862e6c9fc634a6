package opalcove.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import opalcove.membership.Member.State;

/**
 * This member and all peers that it knows, by name, and the choice among them: the next one to probe, and random ones
 * to send gossip to. Owned by the thread of its {@link FailureDetector}.
 */
final class MemberTable {
    /** Random draws for each peer that is picked: enough that a small fleet yields those that it has. */
    private static final int DRAWS_PER_PICK = 8;

    private final RandomGenerator random;
    private final TreeMap<String, Peer> peers = new TreeMap<>();
    private final List<String> probeOrder = new ArrayList<>();
    /** The peers that are present; null after a change, until they are needed again. */
    private List<Peer> present;

    private Member self;
    private long version;

    MemberTable(Member self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    Member self() {
        return self;
    }

    /** Raises this member's incarnation above the given one. */
    void refuteUpTo(long incarnation) {
        self = new Member(self.name(), self.address(), incarnation + 1, State.ALIVE);
        version++;
    }

    /** Sets this member's state to LEFT. */
    void leave() {
        self = self.withState(State.LEFT);
    }

    boolean isSelf(String name) {
        return name.equals(self.name());
    }

    /** Grows with every change. */
    long version() {
        return version;
    }

    /** The peer of that name; null if there is none. */
    Peer get(String name) {
        return peers.get(name);
    }

    /** Adds a peer of which a first state is about to be set. */
    Peer add(String name) {
        Peer peer = new Peer(null);
        peers.put(name, peer);
        return peer;
    }

    /** Adds members known from before as alive; those that are in the table stay as they are. */
    void addKnown(Collection<Member> members) {
        for (Member each : members) {
            if (each.isPresent() && !isSelf(each.name()) && !peers.containsKey(each.name())) {
                peers.put(each.name(), new Peer(each.withState(State.ALIVE)));
            }
        }
        recordChange();
    }

    /** To be called after each change of a peer's state. */
    void recordChange() {
        present = null;
        version++;
    }

    /** Removes the peers that have been gone for longer than that. */
    void removeExpired(long nowMs, long retentionMs) {
        if (peers.size() > present().size()) {
            peers.values().removeIf(peer -> peer.isExpired(nowMs, retentionMs));
        }
    }

    Collection<Peer> peers() {
        return peers.values();
    }

    /** The peers that are part of the fleet, by name. */
    List<Peer> present() {
        if (present == null) {
            present = peers.values().stream().filter(Peer::isPresent).toList();
        }
        return present;
    }

    /** The size of the fleet, this member included. */
    int memberCount() {
        return 1 + present().size();
    }

    /** The members that are part of the fleet, this one included, by name. */
    Collection<Member> presentMembers() {
        TreeMap<String, Member> members = new TreeMap<>();
        members.put(self.name(), self);
        present().forEach(peer -> members.put(peer.name(), peer.member()));
        return members.values();
    }

    /** The name of the present peer at that address; empty if there is none. */
    String nameAt(String address) {
        for (Peer peer : present()) {
            if (peer.address().equals(address)) {
                return peer.name();
            }
        }
        return "";
    }

    /**
     * Addresses to contact after a partition: seeds that are not the address of a present peer, then those of dead
     * peers.
     */
    List<String> rejoinCandidates(List<String> seeds) {
        Set<String> known = new HashSet<>();
        present().forEach(peer -> known.add(peer.address()));
        List<String> candidates = new ArrayList<>(
                seeds.stream().filter(seed -> !known.contains(seed)).toList());
        peers.values().stream()
                .filter(peer -> peer.state() == State.DEAD)
                .map(Peer::address)
                .filter(address -> !candidates.contains(address))
                .forEach(candidates::add);
        return candidates;
    }

    /** The present peer that follows this member on the ring of all names; null if there is none. */
    Peer nextOnRing() {
        for (Peer peer : peers.tailMap(self.name(), false).values()) {
            if (peer.isPresent()) {
                return peer;
            }
        }
        for (Peer peer : peers.headMap(self.name()).values()) {
            if (peer.isPresent()) {
                return peer;
            }
        }
        return null;
    }

    /** Each present peer once a round, in random order: the time between two probes of one peer is bounded. */
    Peer nextInProbeOrder() {
        for (int round = 0; round < 2; round++) {
            while (!probeOrder.isEmpty()) {
                Peer peer = peers.get(probeOrder.remove(probeOrder.size() - 1));
                if (peer != null && peer.isPresent()) {
                    return peer;
                }
            }
            present().forEach(peer -> probeOrder.add(peer.name()));
            shuffle(probeOrder);
        }
        return null;
    }

    private void shuffle(List<?> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }

    /** Up to that many different random peers that are present and eligible; fewer where few are eligible. */
    List<Peer> pick(int maxPeers, Predicate<Peer> eligible) {
        List<Peer> candidates = present();
        Set<Peer> picked = new LinkedHashSet<>();
        for (int draw = 0;
                draw < DRAWS_PER_PICK * maxPeers && picked.size() < maxPeers && !candidates.isEmpty();
                draw++) {
            Peer drawn = candidates.get(random.nextInt(candidates.size()));
            if (eligible.test(drawn)) {
                picked.add(drawn);
            }
        }
        return List.copyOf(picked);
    }
}
