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
 * Stores the state that a voter must not lose: its vote, the last snapshot, and the log since then. The state is small,
 * a few versions, so each flush writes it completely to an {@link AtomicFile}. Not thread-safe; owned by its voter's
 * thread.
 */
public final class RaftVoterStore implements RaftStore {
    /** The content of the file, in serialized form. */
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
    /** The file of the state; null for a store in memory. */
    private final Path file;

    private final State state;
    /** Whether the last flush failed, so that the state of this voter is not in its file. */
    private boolean hasFailedFlush;

    private long failedFlushes;
    /** The index of the snapshot after which the stored entries conflict with the leader's; NO_INDEX if none do. */
    private long divergedAfterIndex = NO_INDEX;

    private RaftVoterStore(FileOperations operations, Path file, State state) {
        this.operations = operations;
        this.file = file;
        this.state = state;
    }

    /**
     * Opens the store in a file; a store without any state if the file does not exist.
     *
     * @throws opalcove.config.InvalidConfigurationException with the reason, if the file is damaged or not a voter's
     *     state
     */
    static RaftVoterStore open(Path file) throws IOException {
        return open(FileOperations.REAL, file);
    }

    /** Creates a store in memory, for simulations. Its content is lost when the process ends. */
    public static RaftVoterStore inMemory() {
        return new RaftVoterStore(FileOperations.REAL, null, new State());
    }

    static RaftVoterStore open(FileOperations operations, Path file) throws IOException {
        State state = Files.exists(file) ? SerializedForm.read(AtomicFile.read(file), State.class) : new State();
        return new RaftVoterStore(operations, file, state);
    }

    /**
     * Retries the last flush if it failed, and returns whether the state of this voter is in its file. A voter that
     * cannot write its state must send nothing, because other voters would rely on a vote that a restart loses.
     */
    boolean ensureWritten() {
        if (hasFailedFlush) {
            try {
                flush();
                Logger.info("agreement: voter state written after a failed write");
            } catch (IOException e) {
                Logger.debug("agreement: voter state still not written: {}", e.getMessage());
            }
        }
        return !hasFailedFlush;
    }

    /** Returns how many flushes have failed since the store was opened. */
    long failedFlushes() {
        return failedFlushes;
    }

    /** Whether the entries stored after the snapshot conflict with the leader's. Such entries are not committed. */
    boolean hasDiverged() {
        return divergedAfterIndex != NO_INDEX;
    }

    /**
     * Records a conflict between the entries of a request and those stored right after the snapshot. MicroRaft 0.7
     * cannot compare them, because the preceding entry is in the snapshot, and rejects every such request.
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

    /** Deletes the entries that conflict with the leader's. Call this only while no consensus node uses the store. */
    void discardDivergedEntries() {
        if (state.snapshot != null && state.snapshot.getIndex() == divergedAfterIndex) {
            state.entries.tailMap(divergedAfterIndex, false).clear();
        }
        divergedAfterIndex = NO_INDEX;
    }

    /** Returns the stored state; null if there is none. */
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
                    "the snapshot of the versions must have 1 chunk, not " + chunk.getSnapshotChunkCount());
        }
        // Raft retains the entries after a snapshot only if the entry at the snapshot's index has the snapshot's term.
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
                        "agreement: voter state not written, this voter sends nothing until it is: {}", e.getMessage());
            }
            throw e;
        }
    }
}
