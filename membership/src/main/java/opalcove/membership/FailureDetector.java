package opalcove.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import opalcove.membership.Member.State;
import opalcove.membership.SwimMessage.Kind;

/**
 * One member's part of the SWIM protocol (Das, Gupta and Motivala, 2002) with the Lifeguard refinements (Dadgar, Phillips
 * and Currey, 2018): whom to probe, whom to ask for help, when to suspect, when to hold a member for dead, and what to tell
 * whom. It makes no I/O and has no clock: it is told the time, and says what is to be sent. Not for several threads.
 *
 * <p>Beside a member in turn, each member probes the next one on a ring of all names, so that a crash is met within one
 * period whoever's turn it is. Helpers that find a member silent are witnesses of their own.
 */
public final class FailureDetector {
    /** What a member's part has its host do. */
    public interface Host {
        /** Sends a message; it may be lost, and nothing tells so. */
        void send(String address, SwimMessage message);

        /** What is held of a member has changed; before is null for one that was not known. Comes once a change. */
        void changed(Member before, Member after);
    }

    /** The most words in one message of a SYNC. */
    private static final int MOST_SYNC = 128;
    /** A fleet of that many has the usual period of SYNCs. */
    private static final int SYNC_MEMBERS = 24;
    /** Draws for each member that is picked: at so many a fleet of few gives those that it has. */
    private static final int DRAWS = 8;
    /** How often a suspect is called before it is held for dead. */
    private static final int LAST_CALLS = 3;

    /** What was done so far. */
    public record Counts(
            long probes, long acks, long helped, long suspicions, long confirmed, long refuted, long pauses) {}

    private static final class Entry {
        Member member;
        /** As a suspect: since when, who accuses. */
        long suspectAt;

        final Set<String> accusers = new HashSet<>();
        long goneAt;
        int calls;
        /** When this member, asked to help, last found it silent. */
        long silentAt = Long.MIN_VALUE / 2;

        Entry(Member member) {
            this.member = member;
        }
    }

    /** A probe under way, of this member's own or for another one. */
    private static final class Probe {
        final String target;
        final long startedAt;
        /** Whom it is made for, and under which number there; null for one of its own. */
        final String askerAddress;

        final long askerSequence;
        boolean helpAsked;
        int nacksDue;
        int nacks;

        Probe(String target, long startedAt, String askerAddress, long askerSequence) {
            this.target = target;
            this.startedAt = startedAt;
            this.askerAddress = askerAddress;
            this.askerSequence = askerSequence;
        }
    }

    private static final class Broadcast {
        final GossipEntry word;
        int passed;

        Broadcast(GossipEntry word) {
            this.word = word;
        }
    }

    private final SwimConfig figures;
    private final List<String> seeds;
    private final RandomGenerator random;
    private final Host host;
    private final TreeMap<String, Entry> others = new TreeMap<>();
    private final Map<Long, Probe> probes = new LinkedHashMap<>();
    private final Map<String, Broadcast> news = new HashMap<>();
    private final List<String> turn = new ArrayList<>();
    /** Those of the others that are present, until one of them changes. */
    private List<Entry> present;

    private Member self;
    private long sequence;
    private int health;
    private long version;
    private long nextProbe;
    private long nextGossip;
    private long nextRejoin;
    private long nextSync;
    private long lastTick;
    private long probed;
    private long acked;
    private long helped;
    private long suspicions;
    private long confirmed;
    private long refuted;
    private long pauses;

    /**
     * A member that starts at the time given. Its incarnation must be higher than that of any earlier process of its name;
     * the time of the start will do.
     */
    public FailureDetector(
            long now,
            String name,
            String address,
            long incarnation,
            List<String> seeds,
            SwimConfig figures,
            RandomGenerator random,
            Host host) {
        self = new Member(name, address, incarnation, State.ALIVE);
        this.seeds = seeds.stream().filter(seed -> !seed.equals(address)).toList();
        this.figures = figures;
        this.random = random;
        this.host = host;
        lastTick = now;
        // Guards the network against members that were started in one instant and all probe in another.
        nextProbe = now + random.nextLong(figures.probeMs());
        nextGossip = now + random.nextLong(figures.gossipMs());
        nextRejoin = now;
        nextSync = now + random.nextLong(figures.syncMs());
        pass(GossipEntry.of(self));
    }

    /**
     * Takes in members known from before, as of a snapshot: held for alive until a probe says otherwise, and not passed on,
     * for it is no news. Who is known already stays as known.
     */
    public void know(Collection<Member> members) {
        for (Member each : members) {
            if (each.present() && !each.name().equals(self.name()) && !others.containsKey(each.name())) {
                others.put(each.name(), new Entry(each.as(State.ALIVE)));
            }
        }
        present = null;
        version++;
    }

    /** This member, as it knows itself. */
    public Member self() {
        return self;
    }

    /** All that is known of the others, by name. */
    public List<Member> others() {
        return others.values().stream().map(entry -> entry.member).toList();
    }

    /** Grows with every change of what is known. */
    public long version() {
        return version;
    }

    /** The local health multiplier, from 0: how slow this member itself seems to be. */
    public int health() {
        return health;
    }

    /** How often each event of the protocol occurred since the start. */
    public Counts counts() {
        return new Counts(probed, acked, helped, suspicions, confirmed, refuted, pauses);
    }

    /** When {@link #tick} has work at the latest. */
    public long due() {
        if (self.state() == State.LEFT) {
            return nextGossip;
        }
        long due = Math.min(Math.min(nextProbe, nextGossip), Math.min(nextRejoin, nextSync));
        for (Probe probe : probes.values()) {
            due = Math.min(due, probe.startedAt + (probe.helpAsked ? 2 : 1) * patience());
        }
        return due;
    }

    private long patience() {
        return figures.ackMs() * (health + 1);
    }

    /** The others that are held for a part of the fleet. */
    private List<Entry> present() {
        if (present == null) {
            present = others.values().stream()
                    .filter(entry -> entry.member.present())
                    .toList();
        }
        return present;
    }

    private int members() {
        return 1 + present().size();
    }

    /** Does what is due. */
    public void tick(long now) {
        long gap = now - lastTick;
        lastTick = now;
        if (gap > figures.probeMs()) {
            awoke(now, gap);
        }
        if (self.state() == State.LEFT) {
            gossipIfDue(now);
            return;
        }
        judgeProbes(now);
        judgeSuspects(now);
        if (now >= nextProbe) {
            nextProbe = now + figures.probeMs() * (health + 1);
            probe(now, ringNext());
            probe(now, nextInTurn());
        }
        if (now >= nextRejoin) {
            nextRejoin = now + figures.rejoinMs();
            rejoin();
        }
        if (now >= nextSync) {
            // Longer in a large fleet, whose SYNC is larger: the bytes of a member stay the same.
            nextSync = now + figures.syncMs() * Math.max(1, members() / SYNC_MEMBERS);
            pick(1, entry -> true).forEach(entry -> sync(Kind.SYNC, entry.member.address(), 0));
        }
        gossipIfDue(now);
        if (others.size() > present().size()) {
            others.values().removeIf(entry -> !entry.member.present() && now - entry.goneAt > figures.forgetMs());
        }
    }

    /**
     * This process itself stood still. What was not answered meanwhile tells nothing of the others, who may have answered:
     * probes under way are void and suspects get the time again. Guards the fleet against a member that wakes up and
     * accuses everybody.
     */
    private void awoke(long now, long gap) {
        pauses++;
        probes.clear();
        others.values().forEach(entry -> entry.suspectAt += gap);
        health(1);
        nextProbe = now + figures.probeMs() / 2;
    }

    private void health(int change) {
        health = Math.max(0, Math.min(figures.mostHealth(), health + change));
    }

    private Entry ringNext() {
        for (Entry entry : others.tailMap(self.name(), false).values()) {
            if (entry.member.present()) {
                return entry;
            }
        }
        for (Entry entry : others.headMap(self.name()).values()) {
            if (entry.member.present()) {
                return entry;
            }
        }
        return null;
    }

    /** Each member once a round, in a drawn order: the time between two probes of one member is bounded. */
    private Entry nextInTurn() {
        for (int tries = 0; tries < 2; tries++) {
            while (!turn.isEmpty()) {
                Entry entry = others.get(turn.remove(turn.size() - 1));
                if (entry != null && entry.member.present()) {
                    return entry;
                }
            }
            present().forEach(entry -> turn.add(entry.member.name()));
            shuffle(turn);
        }
        return null;
    }

    private void shuffle(List<?> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }

    /** So many different ones of the fleet, drawn; fewer where few are as wanted. */
    private List<Entry> pick(int most, Predicate<Entry> wanted) {
        List<Entry> from = present();
        Set<Entry> found = new LinkedHashSet<>();
        for (int draw = 0; draw < DRAWS * most && found.size() < most && !from.isEmpty(); draw++) {
            Entry drawn = from.get(random.nextInt(from.size()));
            if (wanted.test(drawn)) {
                found.add(drawn);
            }
        }
        return List.copyOf(found);
    }

    private void probe(long now, Entry target) {
        if (target == null
                || probes.values().stream()
                        .anyMatch(probe -> probe.askerAddress == null && probe.target.equals(target.member.name()))) {
            return;
        }
        probed++;
        long number = ++sequence;
        probes.put(number, new Probe(target.member.name(), now, null, 0));
        send(target.member.address(), Kind.PING, number, target.member.name(), "");
    }

    /** Probes without an answer: others are asked, and when they got none either, the member is a suspect. */
    private void judgeProbes(long now) {
        for (Map.Entry<Long, Probe> each : List.copyOf(probes.entrySet())) {
            Probe probe = each.getValue();
            long waited = now - probe.startedAt;
            Entry target = others.get(probe.target);
            if (target == null || !target.member.present()) {
                probes.remove(each.getKey());
            } else if (probe.askerAddress != null) {
                // A helper tells in time that it is there; that it found no answer makes it a witness of a suspicion.
                if (waited >= figures.ackMs() * 4 / 5) {
                    probes.remove(each.getKey());
                    send(probe.askerAddress, Kind.NACK, probe.askerSequence, probe.target, "");
                    target.silentAt = now;
                    if (target.member.state() == State.SUSPECT) {
                        witness(now, target);
                    }
                }
            } else if (!probe.helpAsked && waited >= patience()) {
                probe.helpAsked = true;
                for (Entry helper :
                        pick(figures.helpers(), entry -> entry.member.state() == State.ALIVE && entry != target)) {
                    probe.nacksDue++;
                    send(helper.member.address(), Kind.PING_REQ, each.getKey(), probe.target, target.member.address());
                }
            } else if (probe.helpAsked && waited >= 2 * patience()) {
                probes.remove(each.getKey());
                // Helpers that did not even say that they found nothing: it may be this member that is not reached.
                health(probe.nacksDue > 0 ? probe.nacksDue - probe.nacks : 1);
                suspect(now, target, self.name());
            }
        }
    }

    private void judgeSuspects(long now) {
        int members = members();
        for (Entry entry : present()) {
            if (entry.member.state() != State.SUSPECT) {
                continue;
            }
            double part = (now - entry.suspectAt) / figures.suspicionMs(members, entry.accusers.size() - 1);
            if (part >= 1) {
                confirmed++;
                become(now, entry, entry.member.as(State.DEAD), "");
            } else if (entry.calls < LAST_CALLS && part >= 0.6 + 0.4 * entry.calls / LAST_CALLS) {
                // A refutation passes some members by: the few that still suspect ask the suspect itself.
                entry.calls++;
                send(entry.member.address(), Kind.PING, ++sequence, entry.member.name(), "");
            }
        }
    }

    private void suspect(long now, Entry entry, String accuser) {
        if (entry.member.state() == State.ALIVE) {
            if (accuser.equals(self.name())) {
                suspicions++;
            }
            become(now, entry, entry.member.as(State.SUSPECT), accuser);
        } else if (entry.member.state() == State.SUSPECT
                && entry.accusers.size() <= figures.helpers()
                && entry.accusers.add(accuser)) {
            pass(new GossipEntry(entry.member, accuser));
        }
    }

    /** Confirms a suspicion where this member, itself in health, found the suspect silent of late. */
    private void witness(long now, Entry entry) {
        if (health == 0 && now - entry.silentAt < 2 * figures.probeMs() && !entry.accusers.contains(self.name())) {
            suspect(now, entry, self.name());
        }
    }

    /** Takes a newer word of a member, and passes it on. */
    private void become(long now, Entry entry, Member next, String accuser) {
        Member before = entry.member;
        entry.member = next;
        entry.accusers.clear();
        entry.calls = 0;
        news.keySet().removeIf(key -> key.startsWith(next.name() + " "));
        if (next.state() == State.SUSPECT) {
            entry.suspectAt = now;
            entry.accusers.add(accuser);
        } else {
            entry.silentAt = Long.MIN_VALUE / 2;
        }
        if (!next.present()) {
            entry.goneAt = now;
        }
        version++;
        present = null;
        pass(new GossipEntry(next, accuser));
        if (next.state() == State.SUSPECT) {
            witness(now, entry);
        }
        if (before == null
                || before.state() != next.state()
                || !before.address().equals(next.address())
                || before.incarnation() != next.incarnation()) {
            host.changed(before, next);
        }
    }

    private void pass(GossipEntry word) {
        news.put(word.member().name() + " " + word.by(), new Broadcast(word));
    }

    /** One call at a time to a seed that is not known, or to a member held for dead: so a healed cut is found. */
    private void rejoin() {
        Set<String> known = new HashSet<>();
        present().forEach(entry -> known.add(entry.member.address()));
        List<String> calls = new ArrayList<>(
                seeds.stream().filter(seed -> !known.contains(seed)).toList());
        others.values().stream()
                .filter(entry -> entry.member.state() == State.DEAD)
                .map(entry -> entry.member.address())
                .filter(address -> !calls.contains(address))
                .forEach(calls::add);
        if (!calls.isEmpty()) {
            sync(Kind.SYNC, calls.get(random.nextInt(calls.size())), 0);
        }
    }

    private void sync(Kind kind, String address, long number) {
        List<GossipEntry> all = new ArrayList<>();
        all.add(GossipEntry.of(self));
        for (Entry entry : others.values()) {
            all.add(new GossipEntry(
                    entry.member,
                    entry.member.state() == State.SUSPECT
                            ? entry.accusers.iterator().next()
                            : ""));
        }
        // A datagram holds so many words; the parts that follow ask for nothing.
        for (int from = 0; from < all.size(); from += MOST_SYNC) {
            host.send(
                    address,
                    new SwimMessage(
                            from == 0 ? kind : Kind.SYNC_ACK,
                            self,
                            number,
                            "",
                            "",
                            all.subList(from, Math.min(all.size(), from + MOST_SYNC))));
        }
    }

    private void gossipIfDue(long now) {
        if (now < nextGossip) {
            return;
        }
        nextGossip = now + figures.gossipMs();
        if (news.isEmpty()) {
            return;
        }
        for (Entry entry : pick(figures.fanout(), each -> true)) {
            List<GossipEntry> words = words(entry.member.name());
            if (!words.isEmpty()) {
                host.send(entry.member.address(), new SwimMessage(Kind.GOSSIP, self, 0, "", "", words));
            }
        }
    }

    /** The news told least often so far; first of all, what is held against the receiver (Lifeguard's buddy). */
    private List<GossipEntry> words(String receiver) {
        List<GossipEntry> words = new ArrayList<>();
        Entry about = others.get(receiver);
        if (about != null && about.member.state() != State.ALIVE && about.member.state() != State.LEFT) {
            words.add(new GossipEntry(
                    about.member, about.accusers.stream().findFirst().orElse("")));
        }
        int most = figures.passes(members());
        List<Broadcast> order = new ArrayList<>(news.values());
        order.sort(Comparator.<Broadcast>comparingInt(each -> each.passed)
                .thenComparing(each -> each.word.member().name())
                .thenComparing(each -> each.word.by()));
        for (Broadcast each : order) {
            if (words.size() >= figures.gossipMost()) {
                break;
            }
            if (!each.word.member().name().equals(receiver)) {
                words.add(each.word);
                each.passed++;
            }
        }
        news.values().removeIf(each -> each.passed >= most);
        return words;
    }

    private void send(String address, Kind kind, long number, String target, String targetAddress) {
        String receiver = kind == Kind.PING ? target : nameAt(address);
        host.send(address, new SwimMessage(kind, self, number, target, targetAddress, words(receiver)));
    }

    private String nameAt(String address) {
        for (Entry entry : present()) {
            if (entry.member.address().equals(address)) {
                return entry.member.name();
            }
        }
        return "";
    }

    /** Takes a message in. */
    public void receive(long now, SwimMessage message) {
        if (self.state() == State.LEFT) {
            return;
        }
        boolean whole = message.kind() == Kind.SYNC || message.kind() == Kind.SYNC_ACK;
        heard(now, GossipEntry.of(message.from()), false);
        message.gossip().forEach(word -> heard(now, word, whole));
        String back = message.from().address();
        switch (message.kind()) {
            case PING -> {
                // Guards against answering for another process that had this address before.
                if (message.target().equals(self.name())) {
                    send(back, Kind.ACK, message.sequence(), self.name(), "");
                }
            }
            case PING_REQ -> {
                Entry target = others.get(message.target());
                if (target != null && target.member.present()) {
                    helped++;
                    long number = ++sequence;
                    probes.put(number, new Probe(message.target(), now, back, message.sequence()));
                    send(target.member.address(), Kind.PING, number, message.target(), "");
                }
            }
            case ACK -> acked(message);
            case NACK -> {
                Probe probe = probes.get(message.sequence());
                if (probe != null) {
                    probe.nacks++;
                }
            }
            case SYNC -> sync(Kind.SYNC_ACK, back, message.sequence());
            default -> {}
        }
    }

    private void acked(SwimMessage message) {
        Probe probe = probes.get(message.sequence());
        if (probe == null || !probe.target.equals(message.target())) {
            return;
        }
        probes.remove(message.sequence());
        if (probe.askerAddress != null) {
            send(probe.askerAddress, Kind.ACK, probe.askerSequence, probe.target, "");
        } else {
            acked++;
            health(-1);
        }
    }

    /** Takes one word in. In a SYNC a death is but a suspicion: after a cut each side holds the other for dead. */
    private void heard(long now, GossipEntry word, boolean whole) {
        Member told = word.member();
        if (told.name().equals(self.name())) {
            aboutSelf(told);
            return;
        }
        Entry known = others.get(told.name());
        if (known == null) {
            if (told.present()) {
                Entry entry = new Entry(null);
                others.put(told.name(), entry);
                become(now, entry, told, word.by());
            }
            return;
        }
        if (whole && told.state() == State.DEAD && known.member.present()) {
            told = told.as(State.SUSPECT);
        }
        if (told.overrides(known.member)) {
            become(now, known, told, word.by());
        } else if (told.state() == State.SUSPECT && told.incarnation() == known.member.incarnation()) {
            suspect(now, known, word.by());
        }
    }

    /** Refutes what is said against this member, by an incarnation higher than the one that it is said of. */
    private void aboutSelf(Member told) {
        if (told.incarnation() < self.incarnation()
                || told.incarnation() == self.incarnation() && told.state() == State.ALIVE) {
            return;
        }
        refuted++;
        health(1);
        self = new Member(self.name(), self.address(), told.incarnation() + 1, State.ALIVE);
        version++;
        pass(GossipEntry.of(self));
    }

    /** Tells the others that this member goes; the host ticks on for a few gossip periods, then ends. */
    public void leave(long now) {
        self = self.as(State.LEFT);
        news.clear();
        pass(GossipEntry.of(self));
        nextGossip = now;
        tick(now);
    }

    /** The members held for a part of the fleet, this one among them, by name. */
    public Collection<Member> fleet() {
        TreeMap<String, Member> fleet = new TreeMap<>();
        fleet.put(self.name(), self);
        present().forEach(entry -> fleet.put(entry.member.name(), entry.member));
        return fleet.values();
    }
}
