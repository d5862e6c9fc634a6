package opalcove.replication;

import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.io.Serializable;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import opalcove.configlease.VersionLog;
import org.tinylog.Logger;

/**
 * A voter: a member of the Raft group (MicroRaft) that agrees on the order of configuration versions. The replicated
 * state machine is the {@link VersionLog}. The host supplies network, timers and clock, so that the same voter also
 * runs in virtual time. Not thread-safe; owned by the single thread on which its executor runs tasks.
 */
public final class RaftVoter {
    /**
     * The identity of a voter and the resources that it uses.
     *
     * @param name the voter's name
     * @param voters the names of all voters
     * @param store stores the voter's vote and its log
     * @param executor runs the voter's tasks on a single thread
     * @param clock the voter's clock
     * @param random the source of the election timeouts
     */
    public record Setup(
            String name,
            List<String> voters,
            RaftVoterStore store,
            RaftNodeExecutor executor,
            Clock clock,
            Random random) {}

    /** A voter's identity in the Raft group. It is part of stored states and of messages. */
    record VoterId(String name) implements RaftEndpoint, Serializable {
        @Override
        public Object getId() {
            return name;
        }
    }

    /** The lifecycle of the consensus node. */
    private enum Phase {
        /** The node runs. */
        RUNNING,
        /** The node is terminating; a new one is started after it. */
        TERMINATING,
        /** The node has terminated; a new one is started as soon as the stored state is written. */
        TERMINATED,
        /** The voter was stopped and starts no further node. */
        STOPPED
    }

    private record PendingRead(Consumer<VersionLog.Version> onResult, Runnable onFailure) {}

    /** The id of the Raft group, which is part of each message between voters. */
    private static final String GROUP_ID = "versions";

    private static final int HEARTBEAT_PERIOD_SECONDS = 1;
    private static final int HEARTBEAT_TIMEOUT_SECONDS = 3;

    private static final String READ_OPERATION = "read";

    private final Setup setup;
    private final BiConsumer<String, byte[]> send;
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private final LongConsumer onVersion;
    private final ElectionMonitor electionMonitor =
            new ElectionMonitor(TimeUnit.SECONDS.toMillis(HEARTBEAT_TIMEOUT_SECONDS));
    private Phase phase = Phase.RUNNING;
    private RaftNode node;
    private VersionStateMachine stateMachine;
    /** The store's count of failed flushes when the node was created. */
    private long failedFlushesAtStart;

    /** The callers that wait for the query in flight; empty if none is in flight. */
    private List<PendingRead> readsInFlight = List.of();

    private long restarts;

    /**
     * Creates a voter that resumes from the state in its store.
     *
     * @param send sends bytes to the voter with the given name; the bytes may be lost
     * @param onVersion receives the number of each new version
     */
    public RaftVoter(Setup setup, BiConsumer<String, byte[]> send, LongConsumer onVersion) {
        this.setup = setup;
        this.send = send;
        this.onVersion = onVersion;
        createNode();
    }

    /** Creates a node that resumes from the state in the store. */
    private void createNode() {
        stateMachine = new VersionStateMachine(onVersion);
        failedFlushesAtStart = setup.store().failedFlushes();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(GROUP_ID)
                .setExecutor(setup.executor())
                .setClock(setup.clock())
                .setRandom(setup.random())
                .setStateMachine(stateMachine)
                .setTransport(new VoterTransport())
                .setStore(setup.store())
                .setConfig(config());
        RestoredRaftState restored = setup.store().restoredState();
        if (restored != null) {
            builder.setRestoredState(restored);
        } else {
            List<RaftEndpoint> members = new ArrayList<>();
            setup.voters().forEach(voter -> members.add(new VoterId(voter)));
            builder.setLocalEndpoint(new VoterId(setup.name())).setInitialGroupMembers(members);
        }
        node = builder.build();
    }

    /** Times are measured on the voter's clock, which its host may run faster than real time. */
    private static RaftConfig config() {
        return RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(500)
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD_SECONDS)
                .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_SECONDS)
                .setAppendEntriesRequestBatchSize(4)
                .setCommitCountToTakeSnapshot(8)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
    }

    /** Starts the node and its periodic check. */
    public void start() {
        node.start();
        scheduleCheck();
    }

    private void scheduleCheck() {
        setup.executor().schedule(this::check, HEARTBEAT_PERIOD_SECONDS, TimeUnit.SECONDS);
    }

    /** Restarts the node if it cannot recover by itself. */
    private void check() {
        if (phase == Phase.STOPPED) {
            return;
        }
        if (phase == Phase.TERMINATED) {
            startNewNode();
        } else if (phase == Phase.RUNNING) {
            if (!allFlushesSucceeded()) {
                restart("its state could not be written");
            } else if (setup.store().hasDiverged()) {
                restart("its log conflicts with the leader's right after its snapshot");
            } else {
                checkElection();
            }
        }
        scheduleCheck();
    }

    /**
     * Whether every flush since the node's creation succeeded. After a failed write the node takes its state either for
     * written or for not stored at all, so it must be restarted from the store.
     */
    private boolean allFlushesSucceeded() {
        return setup.store().failedFlushes() == failedFlushesAtStart;
    }

    private void checkElection() {
        node.getReport().thenAccept(report -> {
            if (phase == Phase.RUNNING
                    && electionMonitor.isStalled(
                            report.getResult(), setup.clock().millis())) {
                restart("it still follows a leader that it has lost");
            }
        });
    }

    /** Replaces the node by one that resumes from the store, as a restart of the process would. */
    private void restart(String reason) {
        Logger.warn("agreement: voter restarts from its stored state: {}", reason);
        phase = Phase.TERMINATING;
        node.terminate().whenComplete((ended, failure) -> {
            if (phase == Phase.TERMINATING) {
                phase = Phase.TERMINATED;
                failReads();
                startNewNode();
            }
        });
    }

    private void startNewNode() {
        setup.store().discardDivergedEntries();
        try {
            // The next node takes the store's state for written, so the state must be in the file.
            setup.store().flush();
        } catch (IOException e) {
            Logger.debug("agreement: voter not restarted, its state cannot be written: {}", e.getMessage());
            return;
        }
        restarts++;
        createNode();
        phase = Phase.RUNNING;
        node.start();
    }

    /** Returns how often the consensus node was restarted because it could not recover by itself. */
    public long restarts() {
        return restarts;
    }

    /** Handles a message of another voter. */
    public void handle(byte[] message) {
        RaftMessage raftMessage = SerializedForm.read(message, RaftMessage.class);
        if (raftMessage instanceof AppendEntriesRequest request) {
            setup.store().detectDivergence(request);
        }
        node.handle(raftMessage);
    }

    /** Returns the name of the leader that this voter knows; null if it knows none. */
    public String leader() {
        if (phase != Phase.RUNNING) {
            return null;
        }
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null ? null : leader.getId().toString();
    }

    /** Returns the versions that this voter has applied, which may lag behind the leader's. */
    public List<VersionLog.Version> history() {
        return stateMachine.history();
    }

    /**
     * Reads the version that is the newest at some moment after this call; its number is 0 if there is none. Fails if
     * this voter is not the leader or loses the leadership. All calls made during a query share the next query.
     */
    public void readNewest(Consumer<VersionLog.Version> onResult, Runnable onFailure) {
        pendingReads.add(new PendingRead(onResult, onFailure));
        if (readsInFlight.isEmpty()) {
            read();
        }
    }

    private void read() {
        List<PendingRead> reads = List.copyOf(pendingReads);
        pendingReads.clear();
        readsInFlight = reads;
        node.<VersionLog.Version>query(READ_OPERATION, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((newest, failure) -> {
                    if (readsInFlight != reads) {
                        // The node was restarted during the query, and its reads have failed already.
                        return;
                    }
                    readsInFlight = List.of();
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

    /**
     * Fails the reads of a terminated node. The node does not complete all of its queries when it terminates, and
     * without this call later reads would wait forever for the query in flight.
     */
    private void failReads() {
        List<PendingRead> reads = new ArrayList<>(readsInFlight);
        reads.addAll(pendingReads);
        readsInFlight = List.of();
        pendingReads.clear();
        reads.forEach(each -> each.onFailure().run());
    }

    /** Replicates a proposal. Fails if this voter is not the leader, or if the outcome is unknown. */
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

    /** Stops this voter for good. */
    public void stop() {
        phase = Phase.STOPPED;
        node.terminate();
    }

    /**
     * Sends messages in serialized form. A voter whose state is not written sends nothing, because after a restart it
     * would have lost a vote or an entry that other voters rely on.
     */
    private final class VoterTransport implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            if (allFlushesSucceeded() && setup.store().ensureWritten()) {
                send.accept(target.getId().toString(), SerializedForm.write(message));
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true;
        }
    }
}
