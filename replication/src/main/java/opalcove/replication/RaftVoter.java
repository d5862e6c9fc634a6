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
     * @param store where its vote and its log are stored
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

    /** The phases of the consensus node that runs or is to run. */
    private enum Phase {
        RUNNING,
        /** Ends, to be started again. */
        TERMINATING,
        /** Has ended, and is started again as soon as the state is written. */
        TERMINATED,
        /** This voter's part in the group has ended. */
        STOPPED
    }

    private record PendingRead(Consumer<VersionLog.Version> onResult, Runnable onFailure) {}

    /** Part of each message between voters. */
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
    /** How many flushes had failed when the node was started. */
    private long failedFlushesAtStart;

    /** Empty if none is in flight. */
    private List<PendingRead> readsInFlight = List.of();

    private long restarts;

    /**
     * A voter that goes on from the state in its store.
     *
     * @param send sends bytes to the voter of a name, without any guarantee of delivery
     * @param onVersion called with the number of each new version
     */
    public RaftVoter(Setup setup, BiConsumer<String, byte[]> send, LongConsumer onVersion) {
        this.setup = setup;
        this.send = send;
        this.onVersion = onVersion;
        createNode();
    }

    /** Creates a node that goes on from the state in the store. */
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

    /** Times are seconds of the voter's clock, which its host may run faster than real time. */
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

    /** Takes part from now on. */
    public void start() {
        node.start();
        scheduleCheck();
    }

    private void scheduleCheck() {
        setup.executor().schedule(this::check, HEARTBEAT_PERIOD_SECONDS, TimeUnit.SECONDS);
    }

    /** Starts the node again where it cannot go on by itself. */
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
                restart("its log contradicts the leader's right after its snapshot");
            } else {
                checkElection();
            }
        }
        scheduleCheck();
    }

    /** Whether all that the node has stored was written: after a write that failed, the node takes it for written or not at all. */
    private boolean allFlushesSucceeded() {
        return setup.store().failedFlushes() == failedFlushesAtStart;
    }

    private void checkElection() {
        node.getReport().thenAccept(report -> {
            if (phase == Phase.RUNNING
                    && electionMonitor.isStalled(report.getResult(), setup.clock().millis())) {
                restart("it keeps to a leader that it has lost");
            }
        });
    }

    /** Starts the node again on what the store holds, as a restart of the process would. */
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
            // What the next node takes for stored must be in the file.
            setup.store().flush();
        } catch (IOException e) {
            Logger.debug("agreement: voter not started again, its state is not written: {}", e.getMessage());
            return;
        }
        restarts++;
        createNode();
        phase = Phase.RUNNING;
        node.start();
    }

    /** How often the consensus node was started again because it could not go on by itself. */
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

    /** The name of the leader, as far as this voter knows; null if it knows none. */
    public String leader() {
        if (phase != Phase.RUNNING) {
            return null;
        }
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null ? null : leader.getId().toString();
    }

    /** The versions as this voter has them, which may lag behind. */
    public List<VersionLog.Version> history() {
        return stateMachine.history();
    }

    /**
     * Reads the version that is the newest at some moment after this call, number 0 if there is none; fails if this
     * voter is not the leader or loses the leadership. Calls during a read share the next one.
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
                        // The node was restarted meanwhile.
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

    /** Fails the reads of a node that has ended. Guards later reads, which wait for the one in flight: not all are ended by it. */
    private void failReads() {
        List<PendingRead> reads = new ArrayList<>(readsInFlight);
        reads.addAll(pendingReads);
        readsInFlight = List.of();
        pendingReads.clear();
        reads.forEach(each -> each.onFailure().run());
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
        phase = Phase.STOPPED;
        node.terminate();
    }

    /**
     * Sends messages as bytes. Guards the votes: a voter whose state is not written sends nothing that others may rely
     * on.
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
