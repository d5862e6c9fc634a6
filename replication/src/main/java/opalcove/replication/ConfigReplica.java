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
 * One gateway's replica of the configuration. It consists of the gateway's {@link ConfigLease} and, if the gateway is a
 * voter, its {@link RaftVoter}, and dispatches the messages between gateways to them. It has no sockets or timers of
 * its own: the program runs it on datagrams, the simulation in virtual time. Not thread-safe; owned by one thread of
 * its host.
 */
public final class ConfigReplica {
    /** Performs the replica's side effects. The replica calls it on the thread that calls the replica. */
    public interface Host {
        /** Returns the time of this gateway's monotonic clock, in ms. */
        long nowMs();

        /** Sends a message, which may be lost. */
        void send(String address, ReplicationMessage message);

        /** Runs the task after the delay in ms, never during this call. */
        void schedule(long delayMs, Runnable task);

        /** Called after a change of the lease's version or mode; text is the document of the version held. */
        void leaseChanged(LeaseState before, LeaseState after, String text);
    }

    /**
     * The parameters of a replica.
     *
     * @param name the gateway's name
     * @param address the gateway's address
     * @param voters the voters' addresses by name
     * @param isVoter whether this gateway is a voter
     * @param store stores the voter's state; null if the gateway is not a voter
     * @param leaseMs the length of a lease, in ms
     * @param random selects the voter that gets the first request, and the voter's election timeouts
     * @param validator throws InvalidConfigurationException if a proposed document is invalid
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
     * The addresses that requested a version during the last lease length, each with the time of its last request in
     * ms. They are notified of newer versions.
     */
    private final Map<String, Long> subscribers = new HashMap<>();

    /** Creates a replica without a version. */
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

    /** Starts the voter, if there is one. From now on the host calls {@link #tick} when the lease is due. */
    public void start() {
        if (voter != null) {
            voter.start();
        }
    }

    /** Returns this gateway's lease. The caller must only read it. */
    public ConfigLease lease() {
        return lease;
    }

    /** Whether this gateway is a voter. */
    public boolean isVoter() {
        return voter != null;
    }

    /** Whether this gateway is the leader of the voters, as far as it knows. */
    public boolean isLeader() {
        return voter != null && setup.name().equals(voter.leader());
    }

    /** Returns how often this gateway's voter was restarted since the start; 0 if the gateway is not a voter. */
    public long voterRestarts() {
        return voter == null ? 0 : voter.restarts();
    }

    /** Expires the lease and sends the next request, if they are due. */
    public void tick() {
        lease.tick(host.nowMs());
    }

    /**
     * Handles a message. First it expires the lease if that is due, because messages that arrive without a pause must
     * not delay the end of the lease.
     *
     * @throws InvalidConfigurationException if the message is invalid; nothing has changed then
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
                throw new InvalidConfigurationException("a gateway handles no message of kind " + message.kind());
        }
    }

    private ReplicationMessage message(Kind kind, long sequence, JsonObject body) {
        return new ReplicationMessage(setup.name(), setup.address(), kind, sequence, body);
    }

    private void sendVersionRequest(String voterName, long sequence, long heldVersion) {
        ReplicationMessage request =
                message(Kind.VERSION_REQUEST, sequence, ReplicationMessage.versionBody(heldVersion));
        if (voterName.equals(setup.name()) && voter != null) {
            // A request to the gateway's own voter needs no network. The response takes the usual path, through the
            // leader if the leader is another voter.
            host.schedule(0, () -> onVersionRequest(request));
        } else {
            host.send(setup.voters().get(voterName), request);
        }
    }

    /**
     * Forwards a request to the leader if this voter is not the leader, because clients may send to any voter. Returns
     * false if this voter has to respond itself. A request is dropped if the leader is unknown, if it was forwarded
     * before, or if this gateway is not a voter.
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
     * Responds with the leader's history, or with the voter's own history if no leader is known. An empty history of
     * its own is not sent: a voter that has just started knows no versions until the leader notifies it which entries
     * are committed.
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

    /** Notifies the addresses that requested a version during the last lease length; they request the new version. */
    private void announceVersion(long version) {
        long oldestMs = host.nowMs() - setup.leaseMs();
        subscribers.values().removeIf(requestedAtMs -> requestedAtMs < oldestMs);
        for (String address : subscribers.keySet()) {
            host.send(address, message(Kind.VERSION_ANNOUNCEMENT, 0, ReplicationMessage.versionBody(version)));
        }
    }
}
