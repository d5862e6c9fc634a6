package opalcove.replication;

import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
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

    /** One run of the consensus node, from its start to its end, with the versions that it has decided on. */
    private static final class Incarnation {
        private final VersionLog log = new VersionLog();
        private RaftNode node;
    }

    private record PendingRead(Consumer<VersionLog.Version> onResult, Runnable onFailure) {}

    /** Part of each message between voters. */
    private static final String GROUP_ID = "versions";

    private static final int HEARTBEAT_PERIOD_SECONDS = 1;
    private static final int HEARTBEAT_TIMEOUT_SECONDS = 3;

    private static final String READ_OPERATION = "read";
    /** Stands in the stored logs. */
    private static final String NEW_TERM_OPERATION = "term";

    private static final VersionLog.Version NO_VERSION = new VersionLog.Version(0, "", "", "");

    private final Setup setup;
    private final BiConsumer<String, byte[]> send;
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private final LongConsumer onVersion;
    private final ElectionMonitor elections = new ElectionMonitor(TimeUnit.SECONDS.toMillis(HEARTBEAT_TIMEOUT_SECONDS));
    private Incarnation current;
    private boolean isReading;
    private boolean hasStopped;
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
        current = createIncarnation();
    }

    private Incarnation createIncarnation() {
        Incarnation created = new Incarnation();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(GROUP_ID)
                .setExecutor(setup.executor())
                .setClock(setup.clock())
                .setRandom(setup.random())
                .setStateMachine(new LogStateMachine(created.log))
                .setTransport(new VoterTransport())
                .setStore(setup.store())
                .setConfig(config());
        RestoredRaftState restored = setup.store().restored();
        if (restored != null) {
            builder.setRestoredState(restored);
        } else {
            List<RaftEndpoint> members = new ArrayList<>();
            setup.voters().forEach(voter -> members.add(new VoterId(voter)));
            builder.setLocalEndpoint(new VoterId(setup.name())).setInitialGroupMembers(members);
        }
        created.node = builder.build();
        return created;
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
        current.node.start();
        scheduleElectionCheck();
    }

    private void scheduleElectionCheck() {
        setup.executor().schedule(this::checkElection, HEARTBEAT_PERIOD_SECONDS, TimeUnit.SECONDS);
    }

    private void checkElection() {
        current.node.getReport().thenAccept(report -> {
            if (elections.isStalled(report.getResult(), setup.clock().millis())) {
                restart();
            }
        });
        if (!hasStopped) {
            scheduleElectionCheck();
        }
    }

    /** Starts the consensus node again on what its store holds, as a restart of the process would. */
    private void restart() {
        try {
            // What the next incarnation takes for stored must be in the file.
            setup.store().flush();
        } catch (IOException e) {
            Logger.debug("agreement: voter not restarted, its state is not written: {}", e.getMessage());
            return;
        }
        Logger.warn("agreement: voter keeps to a leader that it has lost: restarted from its stored state");
        restarts++;
        current.node.terminate().whenComplete((ended, failure) -> {
            if (!hasStopped) {
                current = createIncarnation();
                current.node.start();
            }
        });
    }

    /** How often the consensus node was started again because it kept to a leader that it had lost. */
    public long restarts() {
        return restarts;
    }

    /** Handles a message of another voter. */
    public void handle(byte[] message) {
        current.node.handle(SerializedForm.read(message, RaftMessage.class));
    }

    /** The name of the leader, as far as this voter knows; null if it knows none. */
    public String leader() {
        RaftEndpoint leader = current.node.getTerm().getLeaderEndpoint();
        return leader == null ? null : leader.getId().toString();
    }

    /** The versions as this voter has them, which may lag behind. */
    public List<VersionLog.Version> history() {
        return current.log.history();
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
        current.node
                .<VersionLog.Version>query(READ_OPERATION, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
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
        current.node
                .<VersionLog.Outcome>replicate(proposal)
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
        hasStopped = true;
        current.node.terminate();
    }

    /**
     * Sends messages as bytes. Guards the votes: a voter whose state is not written sends nothing that others may rely
     * on.
     */
    private final class VoterTransport implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            if (setup.store().isWritten()) {
                send.accept(target.getId().toString(), SerializedForm.write(message));
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true;
        }
    }

    private final class LogStateMachine implements StateMachine {
        private final VersionLog log;

        LogStateMachine(VersionLog log) {
            this.log = log;
        }

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
