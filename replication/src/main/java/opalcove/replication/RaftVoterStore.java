package opalcove.replication;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.Serializable;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.tinylog.Logger;

/**
 * What a voter must not forget: its vote, and the log since the last snapshot. It is small, a few versions, so each
 * flush writes all of it to an {@link AtomicFile}. Not thread-safe; owned by its voter's thread.
 */
public final class RaftVoterStore implements RaftStore {
    /** The content of the file. */
    static final class State implements Serializable {
        private static final long serialVersionUID = 1;
        private RaftEndpointPersistentState endpoint;
        private RaftGroupMembersView members;
        private RaftTermPersistentState term;
        private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
        private SnapshotChunk snapshot;
    }

    private static final long NO_INDEX = -1;

    private final FileOperations operations;
    /** Null for a store in memory. */
    private final Path file;

    private final State state;
    /** Whether the last flush failed: the state of this voter is not in its file. */
    private boolean hasFailedFlush;

    private long failedFlushes;
    /** The index of the snapshot whose following entries contradict the leader's; NO_INDEX if there is none. */
    private long divergedAfterIndex = NO_INDEX;

    private RaftVoterStore(FileOperations operations, Path file, State state) {
        this.operations = operations;
        this.file = file;
        this.state = state;
    }

    /**
     * Opens the store in that file, a new one if the file does not exist.
     *
     * @throws opalcove.config.InvalidConfigurationException with the reason, if the file is torn or foreign
     */
    static RaftVoterStore open(Path file) throws IOException {
        return open(FileOperations.REAL, file);
    }

    /** A store that lasts as long as its process, for simulations. */
    public static RaftVoterStore inMemory() {
        return new RaftVoterStore(FileOperations.REAL, null, new State());
    }

    static RaftVoterStore open(FileOperations operations, Path file) throws IOException {
        State state = Files.exists(file) ? SerializedForm.read(AtomicFile.read(file), State.class) : new State();
        return new RaftVoterStore(operations, file, state);
    }

    /**
     * Whether the state of this voter is in its file; tries to write it again if the last flush failed. Guards the
     * votes: a voter that cannot write sends nothing that others may rely on.
     */
    boolean ensureWritten() {
        if (hasFailedFlush) {
            try {
                flush();
                Logger.info("agreement: voter state written again");
            } catch (IOException e) {
                Logger.debug("agreement: voter state still not written: {}", e.getMessage());
            }
        }
        return !hasFailedFlush;
    }

    /** How many flushes have failed since the store was opened. */
    long failedFlushes() {
        return failedFlushes;
    }

    /** Whether entries are stored after the snapshot that contradict the leader's: they are not committed. */
    boolean hasDiverged() {
        return divergedAfterIndex != NO_INDEX;
    }

    /**
     * Notes whether the entries of a request contradict those stored right after the snapshot. MicroRaft 0.7 cannot compare
     * these, for the entry before them is in the snapshot, and refuses every such request.
     */
    void detectDivergence(AppendEntriesRequest request) {
        boolean followsSnapshot = state.snapshot != null
                && request.getPreviousLogIndex() == state.snapshot.getIndex()
                && request.getPreviousLogTerm() == state.snapshot.getTerm();
        boolean isCurrent = state.term != null && request.getTerm() >= state.term.getTerm();
        if (!followsSnapshot || !isCurrent || request.getLogEntries().isEmpty()) {
            return;
        }
        LogEntry own = state.entries.get(state.snapshot.getIndex() + 1);
        if (own != null && own.getTerm() != request.getLogEntries().get(0).getTerm()) {
            divergedAfterIndex = state.snapshot.getIndex();
        }
    }

    /** Drops the entries that contradict the leader's; to be called while no consensus node uses the store. */
    void discardDivergedEntries() {
        if (state.snapshot != null && state.snapshot.getIndex() == divergedAfterIndex) {
            state.entries.tailMap(divergedAfterIndex, false).clear();
        }
        divergedAfterIndex = NO_INDEX;
    }

    /** The state that was stored; null if there is none. */
    RestoredRaftState restoredState() {
        if (state.endpoint == null || state.members == null) {
            return null;
        }
        DefaultRaftModelFactory factory = new DefaultRaftModelFactory();
        SnapshotEntry snapshot = state.snapshot == null
                ? null
                : factory.createSnapshotEntryBuilder()
                        .setIndex(state.snapshot.getIndex())
                        .setTerm(state.snapshot.getTerm())
                        .setSnapshotChunks(List.of(state.snapshot))
                        .setGroupMembersView(state.snapshot.getGroupMembersView())
                        .build();
        return new RestoredRaftState(
                state.endpoint, state.members, state.term, snapshot, new ArrayList<>(state.entries.values()));
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
        state.endpoint = endpoint;
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        state.members = members;
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        state.term = term;
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) {
        entries.forEach(entry -> state.entries.put(entry.getIndex(), entry));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        if (chunk.getSnapshotChunkCount() != 1) {
            throw new IllegalStateException(
                    "a snapshot of versions is one chunk, not " + chunk.getSnapshotChunkCount());
        }
        // Raft keeps the entries after a snapshot only where the entry at its index is the snapshot's own.
        LogEntry own = state.entries.get(chunk.getIndex());
        if (own != null && own.getTerm() != chunk.getTerm() && state.entries.higherKey(chunk.getIndex()) != null) {
            divergedAfterIndex = chunk.getIndex();
        }
        state.snapshot = chunk;
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        state.entries.tailMap(index, true).clear();
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        state.entries.headMap(index, true).clear();
    }

    @Override
    public void deleteSnapshotChunks(long index, int chunks) {
        if (state.snapshot != null && state.snapshot.getIndex() == index) {
            state.snapshot = null;
        }
    }

    @Override
    public void flush() throws IOException {
        if (file == null) {
            return;
        }
        boolean hadFailedFlush = hasFailedFlush;
        hasFailedFlush = true;
        try {
            AtomicFile.write(operations, file, SerializedForm.write(state));
            hasFailedFlush = false;
        } catch (IOException e) {
            failedFlushes++;
            if (!hadFailedFlush) {
                Logger.error(
                        "agreement: voter state not written, this voter is silent until it is: {}", e.getMessage());
            }
            throw e;
        }
    }
}
