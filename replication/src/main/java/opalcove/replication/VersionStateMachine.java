package opalcove.replication;

import io.microraft.statemachine.StateMachine;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import opalcove.configlease.VersionLog;

/** The state machine of the Raft group: the {@link VersionLog}. Owned by its voter's thread. */
final class VersionStateMachine implements StateMachine {
    /** The operation of the first log entry of each term. It is part of stored logs. */
    private static final String NEW_TERM_OPERATION = "term";

    private static final VersionLog.Version NO_VERSION = new VersionLog.Version(0, "", "", "");

    private final VersionLog log = new VersionLog();
    private final LongConsumer onVersion;

    /** Creates a state machine without versions; onVersion receives the number of each new version. */
    VersionStateMachine(LongConsumer onVersion) {
        this.onVersion = onVersion;
    }

    /** Returns the versions, oldest first. */
    List<VersionLog.Version> history() {
        return log.history();
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
