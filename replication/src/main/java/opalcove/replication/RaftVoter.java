package opalcove.replication;

import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.Serializable;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import opalcove.configlease.VersionLog;

/**
 * One of the gateways that agree on the order of versions: a member of a Raft group (MicroRaft) whose state machine is
 * the {@link VersionLog}. Sockets, timers and clock are its host's, so that the same voter runs in virtual time. Not
 * thread-safe; owned by the one thread that its executor runs tasks on.
 */
public final class RaftVoter {
    /**
     * A voter and its surroundings.
     *
     * @param name the voter's name
     * @param voters the names of all voters
     * @param store where its vote and its log are stored; null for a simulation
     * @param executor runs the voter's tasks, on one thread
     * @param clock the voter's clock
     * @param random draws election timeouts
     */
    public record Setup(
            String name,
            List<String> voters,
            RaftVoterStore store,
            RaftNodeExecutor executor,
            Clock clock,
            Random random) {}

    /** A voter's name, as the Raft group knows it; part of stored states and of messages. */
    record VoterId(String name) implements RaftEndpoint, Serializable {
        @Override
        public Object getId() {
            return name;
        }
    }

    private record PendingRead(Consumer<VersionLog.Version> onResult, Runnable onFailure) {}

    /** Part of each message between voters. */
    private static final String GROUP_ID = "versions";

    private static final String READ_OPERATION = "read";
    /** Stands in the stored logs. */
    private static final String NEW_TERM_OPERATION = "term";

    private static final VersionLog.Version NO_VERSION = new VersionLog.Version(0, "", "", "");

    private final VersionLog log = new VersionLog();
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private final LongConsumer onVersion;
    private final RaftNode node;
    private boolean isReading;

    /**
     * A voter that goes on from the state in its store.
     *
     * @param send sends bytes to the voter of a name, without any guarantee of delivery
     * @param onVersion called with the number of each new version
     */
    public RaftVoter(Setup setup, BiConsumer<String, byte[]> send, LongConsumer onVersion) {
        this.onVersion = onVersion;
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(GROUP_ID)
                .setExecutor(setup.executor())
                .setClock(setup.clock())
                .setRandom(setup.random())
                .setStateMachine(new LogStateMachine())
                .setTransport(new VoterTransport(setup.store(), send))
                .setConfig(config());
        if (setup.store() != null) {
            builder.setStore(setup.store());
        }
        if (setup.store() != null && setup.store().restored() != null) {
            builder.setRestoredState(setup.store().restored());
        } else {
            List<RaftEndpoint> members = new ArrayList<>();
            setup.voters().forEach(voter -> members.add(new VoterId(voter)));
            builder.setLocalEndpoint(new VoterId(setup.name())).setInitialGroupMembers(members);
        }
        node = builder.build();
    }

    /** Times are seconds of the voter's clock, which its host may run faster than real time. */
    private static RaftConfig config() {
        return RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(500)
                .setLeaderHeartbeatPeriodSecs(1)
                .setLeaderHeartbeatTimeoutSecs(3)
                .setAppendEntriesRequestBatchSize(4)
                .setCommitCountToTakeSnapshot(8)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
    }

    /** Takes part from now on. */
    public void start() {
        node.start();
    }

    /** Handles a message of another voter. */
    public void handle(byte[] message) {
        node.handle(SerializedForm.read(message, RaftMessage.class));
    }

    /** The name of the leader, as far as this voter knows; null if it knows none. */
    public String leader() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null ? null : leader.getId().toString();
    }

    /** The versions as this voter has them, which may lag behind. */
    public List<VersionLog.Version> history() {
        return log.history();
    }

    /**
     * Reads the version that is the newest at some moment after this call, number 0 if there is none; fails if this
     * voter is not the leader or loses the leadership. Calls during a read share the next one.
     */
    public void readNewest(Consumer<VersionLog.Version> onResult, Runnable onFailure) {
        pendingReads.add(new PendingRead(onResult, onFailure));
        if (!isReading) {
            read();
        }
    }

    private void read() {
        isReading = true;
        List<PendingRead> reads = List.copyOf(pendingReads);
        pendingReads.clear();
        node.<VersionLog.Version>query(READ_OPERATION, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((newest, failure) -> {
                    isReading = false;
                    reads.forEach(each -> {
                        if (failure == null) {
                            each.onResult().accept(newest.getResult());
                        } else {
                            each.onFailure().run();
                        }
                    });
                    if (!pendingReads.isEmpty()) {
                        read();
                    }
                });
    }

    /** Has the voters decide on a proposal; fails if this voter is not the leader, or if the outcome is not known. */
    public void propose(VersionLog.Proposal proposal, Consumer<VersionLog.Outcome> onOutcome, Runnable onFailure) {
        node.<VersionLog.Outcome>replicate(proposal)
                .whenComplete((Ordered<VersionLog.Outcome> outcome, Throwable failure) -> {
                    if (failure == null) {
                        onOutcome.accept(outcome.getResult());
                    } else {
                        onFailure.run();
                    }
                });
    }

    /** Ends this voter's part in the group. */
    public void stop() {
        node.terminate();
    }

    /**
     * Sends messages as bytes. Guards the votes: a voter whose state is not written sends nothing that others may rely
     * on.
     */
    private record VoterTransport(RaftVoterStore store, BiConsumer<String, byte[]> send) implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            if (store == null || store.isWritten()) {
                send.accept(target.getId().toString(), SerializedForm.write(message));
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true;
        }
    }

    private final class LogStateMachine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (operation instanceof VersionLog.Proposal proposal) {
                VersionLog.Outcome outcome = log.decide(proposal);
                if (outcome.accepted()) {
                    onVersion.accept(outcome.version());
                }
                return outcome;
            }
            return log.newest() == null ? NO_VERSION : log.newest();
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            chunks.accept(new ArrayList<>(log.history()));
        }

        @Override
        @SuppressWarnings("unchecked")
        public void installSnapshot(long index, List<Object> chunks) {
            log.restore((List<VersionLog.Version>) chunks.get(0));
        }

        @Override
        public Object getNewTermOperation() {
            return NEW_TERM_OPERATION;
        }
    }
}
