package opalcove.replication;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
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
 * What a voter must not forget: its vote, and the log since the last snapshot. It is small, a few versions, and so is written
 * whole at each flush ({@link AtomicFile}).
 */
public final class RaftVoterStore implements RaftStore {
    /** All of it, as it lies in the file. */
    static final class State implements Serializable {
        private static final long serialVersionUID = 1;
        private RaftEndpointPersistentState endpoint;
        private RaftGroupMembersView members;
        private RaftTermPersistentState term;
        private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
        private SnapshotChunk snapshot;
    }

    private final FileOperations disk;
    private final Path file;
    private final State state;
    /** The last flush has failed: what this voter holds is not in its file. */
    private boolean failed;

    private RaftVoterStore(FileOperations disk, Path file, State state) {
        this.disk = disk;
        this.file = file;
        this.state = state;
    }

    /** The store in that file, new where there is none; one that is torn or foreign is refused with the reason. */
    static RaftVoterStore open(Path file) throws IOException {
        return open(FileOperations.REAL, file);
    }

    static RaftVoterStore open(FileOperations disk, Path file) throws IOException {
        State state = Files.exists(file) ? SerializedForm.read(AtomicFile.read(file), State.class) : new State();
        return new RaftVoterStore(disk, file, state);
    }

    /**
     * Whether all that this voter holds is in its file, having tried once more where the last flush has failed. Guards the
     * votes: a voter that cannot write says nothing that others may count on.
     */
    boolean isWritten() {
        if (failed) {
            try {
                flush();
                Logger.info("agreement: the voter's state is written again");
            } catch (IOException e) {
                Logger.debug("agreement: the voter's state is still not written: {}", e.getMessage());
            }
        }
        return !failed;
    }

    /** What was kept, null where nothing was. */
    RestoredRaftState restored() {
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
        boolean before = failed;
        failed = true;
        try {
            AtomicFile.write(disk, file, SerializedForm.write(state));
            failed = false;
        } catch (IOException e) {
            if (!before) {
                Logger.error(
                        "agreement: the voter's state is not written, it says nothing till it is: {}", e.getMessage());
            }
            throw e;
        }
    }
}
