package opalcove.laboratory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import opalcove.config.InvalidConfigurationException;
import opalcove.configlease.LeaseState;
import opalcove.configlease.VersionLog;
import opalcove.replication.ConfigReplica;
import opalcove.replication.RaftVoterStore;
import opalcove.replication.ReplicationMessage;

/**
 * Simulates the replicated configuration in virtual time, without sockets. The gateways run the real {@link ConfigReplica},
 * voters included. The network between them loses, delays, duplicates and cuts messages, processes pause and end, and each
 * gateway's clock is off by its own skew. The same seed and the same calls give the same history.
 */
public final class AgreementModel extends VirtualNet {
    /** A proposal, and its outcome once a voter has responded. */
    public static final class Proposed {
        private VersionLog.Outcome outcome;

        /** Whether a voter has responded. */
        public boolean isDecided() {
            return outcome != null;
        }

        /** Whether the proposal was accepted. */
        public boolean accepted() {
            return outcome != null && outcome.accepted();
        }

        /** Returns the version that the response names. */
        public long version() {
            return outcome.version();
        }

        /** Returns why the proposal was rejected, or an empty string if it was accepted. */
        public String reason() {
            return outcome.reason();
        }
    }

    private final class Node extends Process implements ConfigReplica.Host {
        private final String name;
        private final long skew;
        private final ConfigReplica replica;
        private long tickAt = Long.MAX_VALUE;

        Node(String name, boolean votes, long skew) {
            this.name = name;
            this.skew = skew;
            replica = new ConfigReplica(
                    new ConfigReplica.Setup(
                            name,
                            name,
                            voters,
                            votes,
                            votes ? RaftVoterStore.inMemory() : null,
                            leaseMs,
                            new Random(random.nextLong()),
                            text -> {
                                if (text.isEmpty()) {
                                    throw new InvalidConfigurationException("it is empty");
                                }
                            }),
                    this);
        }

        @Override
        public long nowMs() {
            return AgreementModel.this.now() + skew;
        }

        @Override
        public void send(String address, ReplicationMessage message) {
            transmit(name, address, message);
        }

        @Override
        public void schedule(long delayMs, Runnable task) {
            at(AgreementModel.this.now() + delayMs, () -> whenAwake(task));
        }

        @Override
        public void leaseChanged(LeaseState before, LeaseState after, String text) {
            long at = AgreementModel.this.now();
            long ended = before.mode() == LeaseState.Mode.FULL ? before.expiresAtMs() - skew : at;
            conflicts.recordState(name, after.version(), after.mode() == LeaseState.Mode.FULL, at, ended);
            adoptionTimes
                    .computeIfAbsent(after.version(), version -> new TreeMap<>())
                    .putIfAbsent(name, at);
        }

        @Override
        void scheduleTick() {
            long due = Math.max(AgreementModel.this.now(), replica.lease().nextTickMs() - skew);
            if (due < tickAt) {
                tickAt = due;
                at(due, () -> {
                    if (tickAt == due) {
                        tickAt = Long.MAX_VALUE;
                        whenAwake(replica::tick);
                    }
                });
            }
        }
    }

    private final long leaseMs;
    private final Map<String, String> voters = new LinkedHashMap<>();
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, Proposed> proposals = new HashMap<>();
    private final ConflictDetector conflicts = new ConflictDetector();
    private final Map<Long, Map<String, Long>> adoptionTimes = new TreeMap<>();
    private long messages;

    /**
     * Creates and starts the gateways g1, g2, and so on.
     *
     * @param seed the seed of all random numbers
     * @param gateways the number of gateways
     * @param voting the number of voters, which are the first gateways
     * @param leaseMs the length of a lease, in ms
     * @param skewMs the most by which a gateway's clock is fast or slow, in ms
     */
    public AgreementModel(long seed, int gateways, int voting, long leaseMs, long skewMs) {
        super(1_000_000, new SplittableRandom(seed));
        this.leaseMs = leaseMs;
        for (int i = 1; i <= voting; i++) {
            voters.put("g" + i, "g" + i);
        }
        for (int i = 1; i <= gateways; i++) {
            Node node = new Node("g" + i, i <= voting, skewMs == 0 ? 0 : random.nextLong(-skewMs, skewMs + 1));
            nodes.put(node.name, node);
            node.replica.start();
            node.scheduleTick();
        }
    }

    private void transmit(String from, String to, ReplicationMessage message) {
        messages++;
        byte[] bytes = message.bytes();
        transmit(from, to, () -> arrive(to, ReplicationMessage.read(bytes)));
    }

    private void arrive(String to, ReplicationMessage message) {
        Proposed proposed = proposals.get(to);
        if (proposed != null && message.kind() == ReplicationMessage.Kind.PROPOSAL_RESPONSE) {
            proposed.outcome = message.outcome();
        }
        Node node = nodes.get(to);
        if (node != null) {
            node.whenAwake(() -> node.replica.receive(message));
        }
    }

    /**
     * Proposes a change of the version {@code base}, first through the given voter. The proposal is repeated every 300 ms
     * through the next voter until one responds, at most 100 times.
     */
    public Proposed propose(String through, long base, String text) {
        String client = "client-" + proposals.size();
        Proposed proposed = new Proposed();
        proposals.put(client, proposed);
        sendProposal(client, through, base, text, 0);
        return proposed;
    }

    private void sendProposal(String client, String through, long base, String text, int retries) {
        if (proposals.get(client).isDecided() || retries > 100) {
            return;
        }
        List<String> all = List.copyOf(voters.keySet());
        String voter = all.get((all.indexOf(through) + retries) % all.size());
        transmit(
                client,
                voter,
                new ReplicationMessage(
                        client,
                        client,
                        ReplicationMessage.Kind.PROPOSAL,
                        retries,
                        ReplicationMessage.proposalBody(new VersionLog.Proposal(client, base, client, text))));
        at(now() + 300, () -> sendProposal(client, through, base, text, retries + 1));
    }

    /** Ends a gateway without a shutdown. */
    public void kill(String name) {
        nodes.get(name).end();
        conflicts.recordEnd(name, now());
    }

    /** Pauses a gateway for the given time. */
    public void pause(String name, long ms) {
        nodes.get(name).pause(ms);
    }

    /** Returns the number of messages sent so far. */
    public long messages() {
        return messages;
    }

    /** Returns the detector that records which versions the gateways acted on. */
    public ConflictDetector conflicts() {
        return conflicts;
    }

    /** Returns the name of the first voter that runs and considers itself leader, or null if there is none. */
    public String leader() {
        return nodes.values().stream()
                .filter(each -> each.isAwake() && each.replica.isLeader())
                .map(each -> each.name)
                .findFirst()
                .orElse(null);
    }

    /** Returns the lease state of each running gateway by its name. */
    public Map<String, LeaseState> leaseStates() {
        Map<String, LeaseState> leaseStates = new TreeMap<>();
        nodes.values().stream()
                .filter(Node::isUp)
                .forEach(each -> leaseStates.put(each.name, each.replica.lease().state()));
        return leaseStates;
    }

    /** Returns when each gateway first acted on a version, in ms of virtual time, by the gateway's name. */
    public Map<String, Long> adoptionTimes(long version) {
        return adoptionTimes.getOrDefault(version, Map.of());
    }

    /** Whether all running gateways act on this version with a full lease. */
    public boolean allActOn(long version) {
        return leaseStates().values().stream()
                .allMatch(each -> each.version() == version && each.mode() == LeaseState.Mode.FULL);
    }

    /** Returns the names of all gateways. */
    public List<String> names() {
        return new ArrayList<>(nodes.keySet());
    }
}
