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
 * One of the gateways that agree on the order of versions: a member of a Raft group (MicroRaft) whose state machine is the
 * {@link VersionLog}. Sockets, timers and clock are its host's, so that the same voter runs in virtual time. All on one thread.
 */
public final class RaftVoter {
    /** What a voter is given: its name, those of all voters, where its vote is kept (null: nowhere, for a model). */
    public record Setup(
            String name,
            List<String> voters,
            RaftVoterStore store,
            RaftNodeExecutor executor,
            Clock clock,
            Random random) {}

    record Named(String id) implements RaftEndpoint, Serializable {
        @Override
        public Object getId() {
            return id;
        }
    }

    private record Waiting(Consumer<VersionLog.Version> answer, Runnable lost) {}

    private static final String READ = "read";
    private static final String NEW_TERM = "term";
    private static final VersionLog.Version NO_VERSION = new VersionLog.Version(0, "", "", "");

    private final VersionLog registry = new VersionLog();
    private final List<Waiting> waiting = new ArrayList<>();
    private final LongConsumer decided;
    private final RaftNode node;
    private boolean reading;

    /** send: carries bytes to a voter of that name, or loses them; decided: told each new version's number. */
    public RaftVoter(Setup setup, BiConsumer<String, byte[]> send, LongConsumer decided) {
        this.decided = decided;
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId("versions")
                .setExecutor(setup.executor())
                .setClock(setup.clock())
                .setRandom(setup.random())
                .setStateMachine(new Machine())
                .setTransport(new Transport() {
                    @Override
                    public void send(RaftEndpoint target, RaftMessage message) {
                        if (setup.store() != null && !setup.store().isWritten()) {
                            return;
                        }
                        send.accept(target.getId().toString(), SerializedForm.write(message));
                    }

                    @Override
                    public boolean isReachable(RaftEndpoint endpoint) {
                        return true;
                    }
                })
                // Seconds of the clock given, which the host may let go faster than the wall's.
                .setConfig(RaftConfig.newBuilder()
                        .setLeaderElectionTimeoutMillis(500)
                        .setLeaderHeartbeatPeriodSecs(1)
                        .setLeaderHeartbeatTimeoutSecs(3)
                        .setAppendEntriesRequestBatchSize(4)
                        .setCommitCountToTakeSnapshot(8)
                        .setTransferSnapshotsFromFollowersEnabled(false)
                        .build());
        if (setup.store() != null) {
            builder.setStore(setup.store());
        }
        if (setup.store() != null && setup.store().restored() != null) {
            builder.setRestoredState(setup.store().restored());
        } else {
            List<RaftEndpoint> members = new ArrayList<>();
            setup.voters().forEach(each -> members.add(new Named(each)));
            builder.setLocalEndpoint(new Named(setup.name())).setInitialGroupMembers(members);
        }
        node = builder.build();
    }

    /** Takes part from now on. */
    public void start() {
        node.start();
    }

    /** Takes in what another voter sent. */
    public void handle(byte[] message) {
        node.handle(SerializedForm.read(message, RaftMessage.class));
    }

    /** The voter that leads, as far as this one knows; null where it knows none. */
    public String leader() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null ? null : leader.getId().toString();
    }

    /** The versions as this voter has them, which may lie behind. */
    public List<VersionLog.Version> history() {
        return registry.history();
    }

    /**
     * Tells the newest version at some moment after this call, number 0 where there is none; lost where this voter does not
     * lead or loses the lead. Calls that come while the voters are being asked share one later round.
     */
    public void confirm(Consumer<VersionLog.Version> answer, Runnable lost) {
        waiting.add(new Waiting(answer, lost));
        if (!reading) {
            read();
        }
    }

    private void read() {
        reading = true;
        List<Waiting> round = List.copyOf(waiting);
        waiting.clear();
        node.<VersionLog.Version>query(READ, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((read, failure) -> {
                    reading = false;
                    round.forEach(each -> {
                        if (failure == null) {
                            each.answer().accept(read.getResult());
                        } else {
                            each.lost().run();
                        }
                    });
                    if (!waiting.isEmpty()) {
                        read();
                    }
                });
    }

    /** Has the voters decide on a proposal; lost where this voter does not lead, or the outcome is not known. */
    public void propose(VersionLog.Proposal proposal, Consumer<VersionLog.Outcome> outcome, Runnable lost) {
        node.<VersionLog.Outcome>replicate(proposal)
                .whenComplete((Ordered<VersionLog.Outcome> done, Throwable failure) -> {
                    if (failure == null) {
                        outcome.accept(done.getResult());
                    } else {
                        lost.run();
                    }
                });
    }

    /** Ends this voter's part. */
    public void stop() {
        node.terminate();
    }

    private final class Machine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (operation instanceof VersionLog.Proposal proposal) {
                VersionLog.Outcome outcome = registry.decide(proposal);
                if (outcome.accepted()) {
                    decided.accept(outcome.version());
                }
                return outcome;
            }
            return registry.newest() == null ? NO_VERSION : registry.newest();
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            chunks.accept(new ArrayList<>(registry.history()));
        }

        @Override
        @SuppressWarnings("unchecked")
        public void installSnapshot(long index, List<Object> chunks) {
            registry.restore((List<VersionLog.Version>) chunks.get(0));
        }

        @Override
        public Object getNewTermOperation() {
            return NEW_TERM;
        }
    }
}
