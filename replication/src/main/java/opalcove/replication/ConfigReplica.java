package opalcove.replication;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import opalcove.config.InvalidConfigurationException;
import opalcove.configlease.ConfigLease;
import opalcove.configlease.LeaseConfig;
import opalcove.configlease.LeaseState;
import opalcove.configlease.VersionLog;
import opalcove.replication.ReplicationMessage.Kind;

/**
 * One gateway's replica of the configuration, without sockets and timers of its own: its {@link ConfigLease} and, if it
 * is a voter, its {@link RaftVoter}, and how the messages between gateways drive them. The program runs it on
 * datagrams, the simulation in virtual time. Not thread-safe; owned by one thread of its host.
 */
public final class ConfigReplica {
    /** The effects of a replica, on the thread that calls it. */
    public interface Host {
        /** This gateway's monotonic clock, in ms. */
        long nowMs();

        /** Sends a message, without any guarantee of delivery. */
        void send(String address, ReplicationMessage message);

        /** Runs the task after the delay, never within this call. */
        void schedule(long delayMs, Runnable task);

        /** Version or mode of the lease have changed; text is the document of the version held. */
        void leaseChanged(LeaseState before, LeaseState after, String text);
    }

    /**
     * A gateway and its voters.
     *
     * @param name the gateway's name
     * @param address the gateway's address
     * @param voters the voters' addresses by name
     * @param isVoter whether this gateway takes part in the votes
     * @param store where the voter's state is stored; null for a gateway that is no voter
     * @param leaseMs how long a confirmed version may be acted on
     * @param random draws the first voter to request, and the voter's election timeouts
     * @param validator throws InvalidConfigurationException for a document that must not be accepted
     */
    public record Setup(
            String name,
            String address,
            Map<String, String> voters,
            boolean isVoter,
            RaftVoterStore store,
            long leaseMs,
            Random random,
            Consumer<String> validator) {}

    private final Setup setup;
    private final Host host;
    private final ConfigLease lease;
    private final RaftVoter voter;
    /**
     * Addresses that requested a version within a lease's time, and are notified of newer ones; with the time of the
     * request.
     */
    private final Map<String, Long> subscribers = new HashMap<>();

    /** A replica that holds no version yet. */
    public ConfigReplica(Setup setup, Host host) {
        this.setup = setup;
        this.host = host;
        List<String> voterNames = new ArrayList<>(setup.voters().keySet());
        int firstVoter = voterNames.contains(setup.name())
                ? voterNames.indexOf(setup.name())
                : setup.random().nextInt(voterNames.size());
        lease = new ConfigLease(
                host.nowMs(), voterNames, firstVoter, LeaseConfig.of(setup.leaseMs()), new ConfigLease.Host() {
                    @Override
                    public void requestVersion(String voterName, long sequence, long heldVersion) {
                        sendVersionRequest(voterName, sequence, heldVersion);
                    }

                    @Override
                    public void leaseChanged(LeaseState before, LeaseState after, String text) {
                        host.leaseChanged(before, after, text);
                    }
                });
        voter = !setup.isVoter()
                ? null
                : new RaftVoter(
                        new RaftVoter.Setup(
                                setup.name(),
                                voterNames,
                                setup.store(),
                                new VoterTime.Executor(host),
                                new VoterTime.AcceleratedClock(host),
                                setup.random()),
                        (voterName, message) -> host.send(
                                setup.voters().get(voterName),
                                message(Kind.RAFT, 0, ReplicationMessage.raftBody(message))),
                        this::announceVersion);
    }

    /** Takes part from now on; the host then calls {@link #tick} when the lease is due. */
    public void start() {
        if (voter != null) {
            voter.start();
        }
    }

    /** This gateway's lease, to be read only. */
    public ConfigLease lease() {
        return lease;
    }

    /** Whether this gateway takes part in the votes. */
    public boolean isVoter() {
        return voter != null;
    }

    /** Whether this gateway is the leader of the voters, as far as it knows. */
    public boolean isLeader() {
        return voter != null && setup.name().equals(voter.leader());
    }

    /** How often this gateway's voter had to be started again since the start; 0 if it is no voter. */
    public long voterRestarts() {
        return voter == null ? 0 : voter.restarts();
    }

    /** Does what is due. */
    public void tick() {
        lease.tick(host.nowMs());
    }

    /**
     * Handles a message, after the end of a lease that is due: input without a pause must not put it off.
     *
     * @throws InvalidConfigurationException if it makes no sense; nothing has changed then
     */
    public void receive(ReplicationMessage message) {
        lease.expireIfDue(host.nowMs());
        switch (message.kind()) {
            case RAFT -> {
                if (voter != null) {
                    voter.handle(message.raftMessage());
                }
            }
            case VERSION_REQUEST -> onVersionRequest(message);
            case PROPOSAL -> onProposal(message);
            case HISTORY_REQUEST -> onHistoryRequest(message);
            case VERSION_RESPONSE, PROPOSAL_RESPONSE, HISTORY_RESPONSE -> onResponse(message);
            case VERSION_ANNOUNCEMENT -> lease.onVersionAnnounced(host.nowMs(), message.version());
            default ->
                throw new InvalidConfigurationException("no request of this gateway is answered by " + message.kind());
        }
    }

    private ReplicationMessage message(Kind kind, long sequence, JsonObject body) {
        return new ReplicationMessage(setup.name(), setup.address(), kind, sequence, body);
    }

    private void sendVersionRequest(String voterName, long sequence, long heldVersion) {
        ReplicationMessage request =
                message(Kind.VERSION_REQUEST, sequence, ReplicationMessage.versionBody(heldVersion));
        if (voterName.equals(setup.name()) && voter != null) {
            // The gateway's own voter needs no network; the response takes the usual way, by the leader if that is
            // another one.
            host.schedule(0, () -> onVersionRequest(request));
        } else {
            host.send(setup.voters().get(voterName), request);
        }
    }

    /**
     * Forwards a request to the leader if this voter is not the leader: clients may send to any voter. False if it is
     * up to this voter to respond.
     */
    private boolean forwardedToLeader(ReplicationMessage request) {
        if (voter == null) {
            return true;
        }
        String leader = voter.leader();
        if (setup.name().equals(leader)) {
            return false;
        }
        if (leader != null && request.origin() == null) {
            host.send(setup.voters().get(leader), request.forwardedBy(setup.name(), setup.address()));
        }
        return true;
    }

    private void onVersionRequest(ReplicationMessage request) {
        if (voter != null && request.origin() == null) {
            subscribers.put(request.address(), host.nowMs());
        }
        if (forwardedToLeader(request)) {
            return;
        }
        voter.readNewest(
                newest -> respond(
                        request,
                        Kind.VERSION_RESPONSE,
                        newest.number() == request.version()
                                ? ReplicationMessage.versionBody(newest.number())
                                : ReplicationMessage.versionBody(newest.number(), newest.text())),
                () -> {});
    }

    /**
     * Responds with the leader's history. Without a leader the voter's own may still help, but not an empty one: a voter
     * that has just started knows of no version before the leader has told it which are decided.
     */
    private void onHistoryRequest(ReplicationMessage request) {
        if (voter != null && voter.leader() == null) {
            if (!voter.history().isEmpty()) {
                respondWithHistory(request);
            }
        } else if (!forwardedToLeader(request)) {
            voter.readNewest(newest -> respondWithHistory(request), () -> {});
        }
    }

    private void respondWithHistory(ReplicationMessage request) {
        respond(request, Kind.HISTORY_RESPONSE, ReplicationMessage.historyBody(voter.history()));
    }

    private void onProposal(ReplicationMessage request) {
        if (forwardedToLeader(request)) {
            return;
        }
        String text = request.text();
        try {
            validate(request.proposalId(), text);
        } catch (InvalidConfigurationException e) {
            respond(
                    request,
                    Kind.PROPOSAL_RESPONSE,
                    ReplicationMessage.outcomeBody(new VersionLog.Outcome(false, 0, e.getMessage())));
            return;
        }
        voter.propose(
                request.proposal(text),
                outcome -> respond(request, Kind.PROPOSAL_RESPONSE, ReplicationMessage.outcomeBody(outcome)),
                () -> {});
    }

    private void validate(String proposalId, String text) {
        setup.validator().accept(text == null ? "" : text);
        int packedBytes = ReplicationMessage.packText(text).length();
        if (proposalId.isEmpty()) {
            throw new InvalidConfigurationException("a proposal needs an id");
        }
        if (packedBytes > ReplicationMessage.MAX_BYTES / 2) {
            throw new InvalidConfigurationException("the document is too large: " + packedBytes + " bytes deflated, of "
                    + ReplicationMessage.MAX_BYTES / 2);
        }
    }

    private void respond(ReplicationMessage request, Kind kind, JsonObject body) {
        host.send(request.address(), message(kind, request.sequence(), request.withOrigin(body)));
    }

    private void onResponse(ReplicationMessage response) {
        if (response.origin() != null) {
            String originAddress = response.origin().address();
            host.send(originAddress, response.returnedBy(setup.name(), setup.address()));
        } else if (response.kind() == Kind.VERSION_RESPONSE) {
            lease.onResponse(host.nowMs(), response.sequence(), response.version(), response.text());
        }
    }

    /** Notifies the addresses that requested a version within a lease's time; they request the new one. */
    private void announceVersion(long version) {
        long oldestMs = host.nowMs() - setup.leaseMs();
        subscribers.values().removeIf(requestedAtMs -> requestedAtMs < oldestMs);
        for (String address : subscribers.keySet()) {
            host.send(address, message(Kind.VERSION_ANNOUNCEMENT, 0, ReplicationMessage.versionBody(version)));
        }
    }
}
