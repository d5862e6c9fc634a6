package opalcove.membership;

import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import opalcove.membership.Member.State;
import opalcove.membership.SwimMessage.Kind;

/**
 * One member's part of the SWIM protocol (Das, Gupta and Motivala, 2002) with the Lifeguard refinements (Dadgar,
 * Phillips and Currey, 2018): whom to probe, when to suspect a member and when to declare it dead, and what gossip to
 * send to whom. It does no I/O and reads no clock: the host passes the time in, in ms of a monotonic clock, and sends
 * the messages. Not thread-safe; owned by one thread of its host.
 *
 * <p>Beside a member in random order, each member probes the next one on a ring of all names, so that a crash is
 * detected within one period whatever the random order is. Members that probed a suspect on request, without an answer,
 * confirm the suspicion.
 */
public final class FailureDetector {
    /** The effects of the protocol, on the thread that calls the detector. */
    public interface Host {
        /** Sends a message, without any guarantee of delivery. */
        void send(String address, SwimMessage message);

        /**
         * The state of a member has changed; before is null for one that was not known. Called once for each change.
         */
        void memberChanged(Member before, Member after);
    }

    /** Up to that fleet size the SYNC period is as configured; beyond it, it grows with the fleet. */
    private static final int SYNC_PERIOD_MEMBERS = 24;

    private final SwimConfig config;
    private final List<String> seeds;
    private final RandomGenerator random;
    private final Host host;
    private final MemberTable members;
    private final LocalHealth health;
    private final GossipQueue gossip;
    private final MessageSender sender;
    private final ProbeTable probes = new ProbeTable();
    private long nextProbeMs;
    private long nextGossipMs;
    private long nextRejoinMs;
    private long nextSyncMs;
    private long lastTickMs;
    private long ownProbes;
    private long acks;
    private long requestedProbes;
    private long suspicions;
    private long confirmedDeaths;
    private long refutations;
    private long pauses;

    /**
     * A member that starts at the time given. Its incarnation must be higher than that of any earlier process of its
     * name; the time of the start meets that.
     */
    public FailureDetector(
            long nowMs,
            String name,
            String address,
            long incarnation,
            List<String> seeds,
            SwimConfig config,
            RandomGenerator random,
            Host host) {
        this.seeds = seeds.stream().filter(seed -> !seed.equals(address)).toList();
        this.config = config;
        this.random = random;
        this.host = host;
        members = new MemberTable(new Member(name, address, incarnation, State.ALIVE), random);
        health = new LocalHealth(config.maxHealthScore());
        gossip = new GossipQueue(config);
        sender = new MessageSender(config, members, gossip, host);
        lastTickMs = nowMs;
        // Guards the network against members that were started at the same instant and would all probe at the same
        // instant.
        nextProbeMs = nowMs + random.nextLong(config.probePeriodMs());
        nextGossipMs = nowMs + random.nextLong(config.gossipPeriodMs());
        nextRejoinMs = nowMs;
        nextSyncMs = nowMs + random.nextLong(config.syncPeriodMs());
        gossip.enqueue(GossipEntry.of(members.self()));
    }

    /**
     * Adds members known from before, for example from a snapshot: taken as alive until a probe fails, and not
     * gossiped, since they are no news. Members that are known already stay as they are.
     */
    public void addKnown(Collection<Member> known) {
        members.addKnown(known);
    }

    /** This member, as it announces itself. */
    public Member self() {
        return members.self();
    }

    /** All other members that are known, whatever their state, by name. */
    public List<Member> peers() {
        return members.peers().stream().map(Peer::member).toList();
    }

    /** The members that are part of the fleet, this one included, by name. */
    public Collection<Member> presentMembers() {
        return members.presentMembers();
    }

    /** Grows with every change of what is known. */
    public long version() {
        return members.version();
    }

    /** The local health score, from 0 for healthy: how slow this member itself seems to be. */
    public int healthScore() {
        return health.score();
    }

    /** How often each event of the protocol has occurred since the start. */
    public ProtocolCounts counts() {
        return new ProtocolCounts(ownProbes, acks, requestedProbes, suspicions, confirmedDeaths, refutations, pauses);
    }

    /** When {@link #tick} is next to be called at the latest, in ms. */
    public long nextTickMs() {
        if (isLeaving()) {
            return nextGossipMs;
        }
        long dueMs = Math.min(Math.min(nextProbeMs, nextGossipMs), Math.min(nextRejoinMs, nextSyncMs));
        return Math.min(dueMs, probes.nextTimeoutMs(health.scaleMs(config.ackTimeoutMs())));
    }

    private boolean isLeaving() {
        return members.self().state() == State.LEFT;
    }

    /** Does what is due. */
    public void tick(long nowMs) {
        long gapMs = nowMs - lastTickMs;
        lastTickMs = nowMs;
        if (gapMs > config.probePeriodMs()) {
            recoverFromPause(nowMs, gapMs);
        }
        if (isLeaving()) {
            gossipIfDue(nowMs);
            return;
        }
        checkProbes(nowMs);
        checkSuspects(nowMs);
        if (nowMs >= nextProbeMs) {
            nextProbeMs = nowMs + health.scaleMs(config.probePeriodMs());
            probe(nowMs, members.nextOnRing());
            probe(nowMs, members.nextInProbeOrder());
        }
        if (nowMs >= nextRejoinMs) {
            nextRejoinMs = nowMs + config.rejoinPeriodMs();
            rejoin();
        }
        if (nowMs >= nextSyncMs) {
            // Longer in a large fleet, whose SYNC is larger: the bytes that a member sends stay the same.
            nextSyncMs = nowMs + config.syncPeriodMs() * Math.max(1, members.memberCount() / SYNC_PERIOD_MEMBERS);
            members.pick(1, peer -> true).forEach(peer -> sender.sendState(Kind.SYNC, peer.address(), 0));
        }
        gossipIfDue(nowMs);
        members.removeExpired(nowMs, config.retentionMs());
    }

    /**
     * This process itself stood still. Answers that are missing say nothing about the others, who may have answered
     * meanwhile: pending probes are void and suspects get the time again. Guards the fleet against a member that wakes
     * up and accuses all others.
     */
    private void recoverFromPause(long nowMs, long pauseMs) {
        pauses++;
        probes.clear();
        members.peers().forEach(peer -> peer.suspicion().extendBy(pauseMs));
        health.adjust(1);
        nextProbeMs = nowMs + config.probePeriodMs() / 2;
    }

    private void probe(long nowMs, Peer target) {
        if (target == null || probes.hasOwnProbeOf(target.name())) {
            return;
        }
        ownProbes++;
        long sequence = probes.add(Probe.own(target.name(), nowMs));
        sender.send(target.address(), Kind.PING, sequence, target.name(), "");
    }

    /** Probes that timed out: indirect ones are requested, and when these fail too, the target becomes a suspect. */
    private void checkProbes(long nowMs) {
        probes.forEach((sequence, probe) -> {
            Peer target = members.get(probe.target());
            // Read for each probe: one that failed makes the timeout of the next ones longer.
            long ackTimeoutMs = health.scaleMs(config.ackTimeoutMs());
            if (target == null || !target.isPresent()) {
                probes.remove(sequence);
            } else if (probe.isRequested()) {
                checkRequestedProbe(nowMs, sequence, probe, target);
            } else if (!probe.isIndirect() && probe.elapsedMs(nowMs) >= ackTimeoutMs) {
                requestIndirectProbes(sequence, probe, target);
            } else if (probe.isIndirect() && probe.elapsedMs(nowMs) >= 2 * ackTimeoutMs) {
                probes.remove(sequence);
                // Without even a NACK from the helpers, it may be this member that cannot be reached.
                health.adjust(probe.healthPenalty());
                suspect(nowMs, target, self().name());
            }
        });
    }

    /** A NACK in time tells the requester that this helper is there; the missing answer can confirm a suspicion. */
    private void checkRequestedProbe(long nowMs, long sequence, Probe probe, Peer target) {
        if (probe.elapsedMs(nowMs) < config.ackTimeoutMs() * 4 / 5) {
            return;
        }
        probes.remove(sequence);
        sender.send(probe.requesterAddress(), Kind.NACK, probe.requesterSequence(), probe.target(), "");
        target.recordMissedAck(nowMs);
        if (target.state() == State.SUSPECT) {
            confirmIfAckMissed(nowMs, target);
        }
    }

    private void requestIndirectProbes(long sequence, Probe probe, Peer target) {
        probe.becomeIndirect();
        for (Peer helper :
                members.pick(config.indirectProbes(), peer -> peer.state() == State.ALIVE && peer != target)) {
            probe.expectNack();
            sender.send(helper.address(), Kind.PING_REQ, sequence, probe.target(), target.address());
        }
    }

    private void checkSuspects(long nowMs) {
        int memberCount = members.memberCount();
        for (Peer peer : members.present()) {
            if (peer.state() != State.SUSPECT) {
                continue;
            }
            double elapsed = peer.suspicion().elapsedFraction(nowMs, config, memberCount);
            if (elapsed >= 1) {
                confirmedDeaths++;
                update(nowMs, peer, peer.member().withState(State.DEAD), "");
            } else if (peer.suspicion().takeLastPing(elapsed)) {
                // Gossip of a refutation does not reach every member: the few that still suspect ping the suspect
                // itself.
                sender.send(peer.address(), Kind.PING, probes.nextSequence(), peer.name(), "");
            }
        }
    }

    private void suspect(long nowMs, Peer peer, String accuser) {
        if (peer.state() == State.ALIVE) {
            if (members.isSelf(accuser)) {
                suspicions++;
            }
            update(nowMs, peer, peer.member().withState(State.SUSPECT), accuser);
        } else if (peer.state() == State.SUSPECT && peer.suspicion().confirm(accuser, config)) {
            gossip.enqueue(new GossipEntry(peer.member(), accuser));
        }
    }

    /** Confirms a suspicion if this member is healthy and itself found the suspect silent in the last two periods. */
    private void confirmIfAckMissed(long nowMs, Peer peer) {
        if (health.isHealthy()
                && peer.hasMissedAckWithin(2 * config.probePeriodMs(), nowMs)
                && !peer.suspicion().isAccusedBy(self().name())) {
            suspect(nowMs, peer, self().name());
        }
    }

    /** Takes on a newer state of a peer, and gossips it. */
    private void update(long nowMs, Peer peer, Member next, String accuser) {
        Member before = peer.member();
        peer.update(nowMs, next, accuser);
        gossip.discardAbout(next.name());
        members.recordChange();
        gossip.enqueue(new GossipEntry(next, accuser));
        if (next.state() == State.SUSPECT) {
            confirmIfAckMissed(nowMs, peer);
        }
        if (!next.equals(before)) {
            host.memberChanged(before, next);
        }
    }

    /**
     * Contacts one seed that is not known, or one dead member, at a time: so a fleet finds itself again after a
     * partition.
     */
    private void rejoin() {
        List<String> candidates = members.rejoinCandidates(seeds);
        if (!candidates.isEmpty()) {
            sender.sendState(Kind.SYNC, candidates.get(random.nextInt(candidates.size())), 0);
        }
    }

    private void gossipIfDue(long nowMs) {
        if (nowMs >= nextGossipMs) {
            nextGossipMs = nowMs + config.gossipPeriodMs();
            sender.sendGossip();
        }
    }

    /** Handles a message from another member. */
    public void receive(long nowMs, SwimMessage message) {
        if (isLeaving()) {
            return;
        }
        boolean isCompleteState = message.kind() == Kind.SYNC || message.kind() == Kind.SYNC_ACK;
        apply(nowMs, GossipEntry.of(message.from()), false);
        message.gossip().forEach(entry -> apply(nowMs, entry, isCompleteState));
        String senderAddress = message.from().address();
        switch (message.kind()) {
            case PING -> {
                // Guards against answering for another process that had this address before.
                if (members.isSelf(message.target())) {
                    sender.send(senderAddress, Kind.ACK, message.sequence(), self().name(), "");
                }
            }
            case PING_REQ -> probeOnRequest(nowMs, message);
            case ACK -> onAck(message);
            case NACK -> probes.countNack(message.sequence());
            case SYNC -> sender.sendState(Kind.SYNC_ACK, senderAddress, message.sequence());
            default -> {}
        }
    }

    private void probeOnRequest(long nowMs, SwimMessage request) {
        Peer target = members.get(request.target());
        if (target != null && target.isPresent()) {
            requestedProbes++;
            Probe probe = Probe.requestedBy(request.from().address(), request.sequence(), target.name(), nowMs);
            sender.send(target.address(), Kind.PING, probes.add(probe), target.name(), "");
        }
    }

    private void onAck(SwimMessage message) {
        Probe probe = probes.removeAcknowledged(message.sequence(), message.target());
        if (probe == null) {
            return;
        }
        if (probe.isRequested()) {
            sender.send(probe.requesterAddress(), Kind.ACK, probe.requesterSequence(), probe.target(), "");
        } else {
            acks++;
            health.adjust(-1);
        }
    }

    /**
     * Applies one entry. In a SYNC a death counts as a suspicion only: after a partition each side takes the other for
     * dead.
     */
    private void apply(long nowMs, GossipEntry entry, boolean isCompleteState) {
        Member reported = entry.member();
        if (members.isSelf(reported.name())) {
            refute(reported);
            return;
        }
        Peer peer = members.get(reported.name());
        if (peer == null) {
            if (reported.isPresent()) {
                update(nowMs, members.add(reported.name()), reported, entry.accuser());
            }
            return;
        }
        if (isCompleteState && reported.state() == State.DEAD && peer.isPresent()) {
            reported = reported.withState(State.SUSPECT);
        }
        if (reported.overrides(peer.member())) {
            update(nowMs, peer, reported, entry.accuser());
        } else if (reported.state() == State.SUSPECT
                && reported.incarnation() == peer.member().incarnation()) {
            suspect(nowMs, peer, entry.accuser());
        }
    }

    /** Refutes a suspicion or death of this member itself, by an incarnation higher than the reported one. */
    private void refute(Member reported) {
        if (reported.incarnation() < self().incarnation()
                || reported.incarnation() == self().incarnation() && reported.state() == State.ALIVE) {
            return;
        }
        refutations++;
        health.adjust(1);
        members.refuteUpTo(reported.incarnation());
        gossip.enqueue(GossipEntry.of(self()));
    }

    /** Announces that this member leaves; the host keeps ticking for a few gossip periods before the process ends. */
    public void leave(long nowMs) {
        members.leave();
        gossip.clear();
        gossip.enqueue(GossipEntry.of(self()));
        nextGossipMs = nowMs;
        tick(nowMs);
    }
}
