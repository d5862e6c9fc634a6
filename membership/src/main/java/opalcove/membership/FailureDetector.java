package opalcove.membership;

import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import opalcove.membership.Member.State;
import opalcove.membership.SwimMessage.Kind;

/**
 * Runs the SWIM protocol (Das, Gupta and Motivala, 2002) with the Lifeguard refinements (Dadgar, Phillips and Currey,
 * 2018) for one member. It decides which members to probe, when to suspect a member, when to declare it dead, and which
 * gossip to send to which member. It does no I/O and reads no clock: the host passes the time in, in ms of a monotonic
 * clock, and sends the messages. Not thread-safe; owned by one thread of its host.
 *
 * <p>In each probe period a member probes one member in random order and the next one on a ring of all names. The ring
 * ensures that a crash is detected within one period, whatever the random order is. A member that probed a suspect on
 * request and received no ACK confirms the suspicion.
 */
public final class FailureDetector {
    /** Receives the effects of the protocol, on the thread that calls the detector. */
    public interface Host {
        /** Sends a message, without any guarantee of delivery. */
        void send(String address, SwimMessage message);

        /**
         * Called once for each change of a member's state.
         *
         * @param before the previous state; null for a member that was not known
         * @param after the new state
         */
        void memberChanged(Member before, Member after);
    }

    /** Fleet size up to which the SYNC period is as configured; in a larger fleet the period grows with its size. */
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
     * Creates the detector of a member that starts at the given time.
     *
     * @param nowMs the time of the start, in ms of the host's monotonic clock
     * @param incarnation must be higher than that of any earlier process of the same name; the wall-clock time of the
     *     start satisfies this
     * @param seeds addresses to contact while no member is known at them; this member's own address is ignored
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
        // The first probe, gossip and SYNC are at random times: otherwise members started at the same instant would all
        // send at the same instant.
        nextProbeMs = nowMs + random.nextLong(config.probePeriodMs());
        nextGossipMs = nowMs + random.nextLong(config.gossipPeriodMs());
        nextRejoinMs = nowMs;
        nextSyncMs = nowMs + random.nextLong(config.syncPeriodMs());
        gossip.enqueue(GossipEntry.of(members.self()));
    }

    /**
     * Adds members known from an earlier run, for example from a snapshot. They count as alive until a probe fails, and
     * are not gossiped, since the fleet knows them already. The state of a member in the table is not changed.
     */
    public void addKnown(Collection<Member> known) {
        members.addKnown(known);
    }

    /** Returns this member in the state that it announces. */
    public Member self() {
        return members.self();
    }

    /** Returns all other known members in any state, sorted by name. */
    public List<Member> peers() {
        return members.peers().stream().map(Peer::member).toList();
    }

    /** Returns the members that are alive or suspected, including this one, sorted by name. */
    public Collection<Member> presentMembers() {
        return members.presentMembers();
    }

    /** Returns a number that increases with every change of the member table. */
    public long version() {
        return members.version();
    }

    /** Returns the local health score: 0 if this member is healthy, higher the slower it seems to be. */
    public int healthScore() {
        return health.score();
    }

    /** Returns how often each event of the protocol has occurred since the start. */
    public ProtocolCounts counts() {
        return new ProtocolCounts(ownProbes, acks, requestedProbes, suspicions, confirmedDeaths, refutations, pauses);
    }

    /** Returns the time in ms by which {@link #tick} must be called next. */
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

    /** Runs each step of the protocol that is due at the given time. */
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
            // The period grows with the size of a SYNC in a large fleet, so that the bytes sent per second stay the
            // same.
            nextSyncMs = nowMs + config.syncPeriodMs() * Math.max(1, members.memberCount() / SYNC_PERIOD_MEMBERS);
            members.pick(1, peer -> true).forEach(peer -> sender.sendState(Kind.SYNC, peer.address(), 0));
        }
        gossipIfDue(nowMs);
        members.removeExpired(nowMs, config.retentionMs());
    }

    /**
     * Recovers from a pause of this process. A missing ACK proves nothing about its sender, since it may have arrived
     * during the pause, so pending probes are discarded and each suspicion is extended by the pause. Otherwise a member
     * that resumes would suspect all others.
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

    /** Requests indirect probes for each probe that timed out, and suspects the target when these have failed as well. */
    private void checkProbes(long nowMs) {
        probes.forEach((sequence, probe) -> {
            Peer target = members.get(probe.target());
            // Computed for each probe, since a failed probe lengthens the timeout of the next ones.
            long ackTimeoutMs = health.scaleMs(config.ackTimeoutMs());
            if (target == null || !target.isPresent()) {
                probes.remove(sequence);
            } else if (probe.isRequested()) {
                checkRequestedProbe(nowMs, sequence, probe, target);
            } else if (!probe.isIndirect() && probe.elapsedMs(nowMs) >= ackTimeoutMs) {
                requestIndirectProbes(sequence, probe, target);
            } else if (probe.isIndirect() && probe.elapsedMs(nowMs) >= 2 * ackTimeoutMs) {
                probes.remove(sequence);
                // If the requested members sent not even a NACK, this member itself may be unreachable.
                health.adjust(probe.healthPenalty());
                suspect(nowMs, target, self().name());
            }
        });
    }

    /**
     * Sends a NACK before the requester's timeout, which shows that this member is reachable. The missing ACK can confirm
     * a suspicion.
     */
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
        for (Peer prober :
                members.pick(config.indirectProbes(), peer -> peer.state() == State.ALIVE && peer != target)) {
            probe.expectNack();
            sender.send(prober.address(), Kind.PING_REQ, sequence, probe.target(), target.address());
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
                // Gossip of a refutation does not reach every member, so the few that still suspect the peer ping it
                // directly.
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

    /** Confirms a suspicion if this member is healthy and missed an ACK of the suspect in the last two probe periods. */
    private void confirmIfAckMissed(long nowMs, Peer peer) {
        if (health.isHealthy()
                && peer.hasMissedAckWithin(2 * config.probePeriodMs(), nowMs)
                && !peer.suspicion().isAccusedBy(self().name())) {
            suspect(nowMs, peer, self().name());
        }
    }

    /** Applies a newer state of a peer and gossips it. */
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
     * Sends a SYNC to one random address of an unknown seed or a dead member, so that the parts of a fleet rejoin after
     * a partition.
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

    /** Handles a message from another member, received at the given time in ms. */
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
                // A PING to another member, whose process had this address before, must not be acknowledged on its
                // behalf.
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

    /**
     * Announces that this member leaves. The host must continue to call {@link #tick} for a few gossip periods before the
     * process ends.
     */
    public void leave(long nowMs) {
        members.leave();
        gossip.clear();
        gossip.enqueue(GossipEntry.of(self()));
        nextGossipMs = nowMs;
        tick(nowMs);
    }
}
