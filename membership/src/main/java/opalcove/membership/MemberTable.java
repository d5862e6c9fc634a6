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
 * Table of this member and its known peers by name. It selects the next peer to probe and random peers, for example to
 * send gossip to. Owned by the thread of its {@link FailureDetector}.
 */
final class MemberTable {
    /** Maximum number of random draws for each requested peer; enough to find the eligible peers of a small fleet. */
    private static final int DRAWS_PER_PICK = 8;

    private final RandomGenerator random;
    private final TreeMap<String, Peer> peers = new TreeMap<>();
    private final List<String> probeOrder = new ArrayList<>();
    /** Cached list of the present peers; null from a change until the list is next needed. */
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

    /** Sets this member to alive, with an incarnation one above the given one. */
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

    /** Increases with every change. */
    long version() {
        return version;
    }

    /** Returns the peer with this name; null if there is none. */
    Peer get(String name) {
        return peers.get(name);
    }

    /** Adds a peer without a state; the caller must set its first state at once. */
    Peer add(String name) {
        Peer peer = new Peer(null);
        peers.put(name, peer);
        return peer;
    }

    /** Adds members known from an earlier run as alive; does not change members that are in the table. */
    void addKnown(Collection<Member> members) {
        for (Member each : members) {
            if (each.isPresent() && !isSelf(each.name()) && !peers.containsKey(each.name())) {
                peers.put(each.name(), new Peer(each.withState(State.ALIVE)));
            }
        }
        recordChange();
    }

    /** Must be called after each change of a peer's state. */
    void recordChange() {
        present = null;
        version++;
    }

    /** Removes the peers that have been dead, or have left, for longer than the retention time in ms. */
    void removeExpired(long nowMs, long retentionMs) {
        if (peers.size() > present().size()) {
            peers.values().removeIf(peer -> peer.isExpired(nowMs, retentionMs));
        }
    }

    Collection<Peer> peers() {
        return peers.values();
    }

    /** Returns the peers that are part of the fleet, sorted by name. */
    List<Peer> present() {
        if (present == null) {
            present = peers.values().stream().filter(Peer::isPresent).toList();
        }
        return present;
    }

    /** Returns the size of the fleet, including this member. */
    int memberCount() {
        return 1 + present().size();
    }

    /** Returns the members that are part of the fleet, including this one, sorted by name. */
    Collection<Member> presentMembers() {
        TreeMap<String, Member> members = new TreeMap<>();
        members.put(self.name(), self);
        present().forEach(peer -> members.put(peer.name(), peer.member()));
        return members.values();
    }

    /** Returns the name of the present peer at this address; empty if there is none. */
    String nameAt(String address) {
        for (Peer peer : present()) {
            if (peer.address().equals(address)) {
                return peer.name();
            }
        }
        return "";
    }

    /**
     * Returns the addresses to contact after a partition: first the seeds at which no peer is present, then the addresses
     * of dead peers.
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

    /** Returns the present peer that follows this member on the ring of all names; null if there is none. */
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

    /**
     * Returns the next peer to probe; null if none is present. Each present peer is returned once per round in random
     * order, which bounds the time between two probes of the same peer.
     */
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

    /** Returns up to maxPeers different random peers that are present and eligible. */
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
