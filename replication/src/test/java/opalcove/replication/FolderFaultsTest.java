package opalcove.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.persistence.RaftStore;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import opalcove.config.InvalidConfigurationException;
import opalcove.recovery.Snapshot;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests writes to a folder that fails temporarily, and a process that ends at any step of a write. */
public class FolderFaultsTest {
    /** The steps of a write, in order. */
    private enum Step {
        WRITE,
        SYNC_FILE,
        CREATE_ALIAS,
        RENAME,
        SYNC_FOLDER
    }

    private static final byte[] OLD_CONTENT = "the old content".getBytes(StandardCharsets.UTF_8);
    private static final byte[] NEW_CONTENT = "what is written anew".getBytes(StandardCharsets.UTF_8);

    private Path file;

    @BeforeMethod
    public void createFileWithTwoContents() throws Exception {
        file = Files.createTempDirectory("folder").resolve("state");
        AtomicFile.write(file, "what was before that".getBytes(StandardCharsets.UTF_8));
        AtomicFile.write(file, OLD_CONTENT);
    }

    @DataProvider
    public Object[][] steps() {
        return new Object[][] {{Step.WRITE}, {Step.SYNC_FILE}, {Step.CREATE_ALIAS}, {Step.RENAME}, {Step.SYNC_FOLDER}};
    }

    /** File operations of which one step fails: either the process ends in it, or the step throws an IOException. */
    private static final class FaultyFileOperations implements FileOperations {
        private final Step step;
        private final boolean endsProcess;
        private boolean isRepaired;

        FaultyFileOperations(Step step, boolean endsProcess) {
            this.step = step;
            this.endsProcess = endsProcess;
        }

        private void failIfAt(Step current) throws IOException {
            if (isRepaired || current != step) {
                return;
            }
            if (endsProcess) {
                throw new SimulatedProcessEnd();
            }
            throw new IOException(current == Step.WRITE ? "No space left on device" : "Input/output error");
        }

        @Override
        public void write(Path name, ByteBuffer bytes) throws IOException {
            if (!isRepaired && step == Step.WRITE) {
                Files.write(name, new byte[] {bytes.get(0), bytes.get(1)});
            }
            failIfAt(Step.WRITE);
            FileOperations.REAL.write(name, bytes);
        }

        @Override
        public void sync(Path name) throws IOException {
            failIfAt(Files.isDirectory(name) ? Step.SYNC_FOLDER : Step.SYNC_FILE);
            FileOperations.REAL.sync(name);
        }

        @Override
        public void createAlias(Path alias, Path existing) throws IOException {
            failIfAt(Step.CREATE_ALIAS);
            FileOperations.REAL.createAlias(alias, existing);
        }

        @Override
        public void rename(Path source, Path target) throws IOException {
            failIfAt(Step.RENAME);
            FileOperations.REAL.rename(source, target);
        }

        /** Simulates the end of the process: no later operation of the write is executed. */
        private static final class SimulatedProcessEnd extends Error {
            private static final long serialVersionUID = 1;
        }
    }

    @Test(dataProvider = "steps")
    public void leavesOldOrNewContentIntactWhenProcessEndsAtAnyStep(Step step) throws Exception {
        assertThrows(
                FaultyFileOperations.SimulatedProcessEnd.class,
                () -> AtomicFile.write(new FaultyFileOperations(step, true), file, NEW_CONTENT));
        assertEquals(AtomicFile.read(file), step == Step.SYNC_FOLDER ? NEW_CONTENT : OLD_CONTENT);
        AtomicFile.write(file, NEW_CONTENT);
        assertEquals(AtomicFile.read(file), NEW_CONTENT, "the next write succeeds in spite of leftover files");
    }

    @Test(dataProvider = "steps")
    public void reportsFailedStepAndCompletesNextWriteAfterRepair(Step step) throws Exception {
        FaultyFileOperations disk = new FaultyFileOperations(step, false);
        assertThrows(IOException.class, () -> AtomicFile.write(disk, file, NEW_CONTENT));
        assertEquals(AtomicFile.read(file), step == Step.SYNC_FOLDER ? NEW_CONTENT : OLD_CONTENT);
        disk.isRepaired = true;
        AtomicFile.write(disk, file, NEW_CONTENT);
        assertEquals(AtomicFile.read(file), NEW_CONTENT);
    }

    @Test
    public void deletesNewFileInsteadOfSyncingItAgainAfterFailedSync() throws Exception {
        FaultyFileOperations disk = new FaultyFileOperations(Step.SYNC_FILE, false);
        assertThrows(IOException.class, () -> AtomicFile.write(disk, file, NEW_CONTENT));
        assertFalse(
                Files.exists(file.resolveSibling("state.part")),
                "the file must be deleted, since its pages may be marked clean");
    }

    @Test
    public void readsPreviousSnapshotAndRejectsVoterStateWhenFileIsTruncated() throws Exception {
        Path snapshotFile = file.resolveSibling("snapshot");
        Snapshot previous = new Snapshot("g1", 5, 4, true, 3, "{}", List.of());
        Snapshot newest = new Snapshot("g1", 6, 4, true, 4, "{}", List.of());
        SnapshotFile.write(snapshotFile, previous);
        SnapshotFile.write(snapshotFile, newest);
        assertEquals(SnapshotFile.read(snapshotFile), newest);
        byte[] complete = Files.readAllBytes(snapshotFile);
        for (int cut = 0; cut < complete.length; cut++) {
            Files.write(snapshotFile, java.util.Arrays.copyOf(complete, cut));
            assertEquals(SnapshotFile.read(snapshotFile), previous);
            assertThrows(InvalidConfigurationException.class, () -> RaftVoterStore.open(snapshotFile));
        }
        Files.delete(snapshotFile);
        assertEquals(SnapshotFile.read(snapshotFile), previous);
    }

    @Test(dataProvider = "steps")
    public void reportsVoterStateAsUnwrittenUntilWriteSucceeds(Step step) throws Exception {
        Path stateFile = file.resolveSibling("vote");
        FaultyFileOperations disk = new FaultyFileOperations(step, false);
        RaftVoterStore store = RaftVoterStore.open(disk, stateFile);
        disk.isRepaired = true;
        store.persistAndFlushTerm(term(1));
        assertTrue(store.ensureWritten());
        disk.isRepaired = false;
        RaftStore raftStore = store;
        assertThrows(IOException.class, () -> raftStore.persistAndFlushTerm(term(2)));
        assertFalse(store.ensureWritten(), "the vote is not in the file");
        assertFalse(store.ensureWritten(), "nor is it after a retry");
        disk.isRepaired = true;
        assertTrue(store.ensureWritten());
        RaftVoterStore reopened = RaftVoterStore.open(stateFile);
        reopened.persistAndFlushInitialGroupMembers(new DefaultRaftModelFactory()
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(List.of())
                .setVotingMembers(List.of())
                .build());
        reopened.persistAndFlushLocalEndpoint(new DefaultRaftModelFactory()
                .createRaftEndpointPersistentStateBuilder()
                .setVoting(true)
                .build());
        assertEquals(
                reopened.restoredState().getTermPersistentState().getTerm(), 2, "the flushed term survives a restart");
    }

    private static io.microraft.model.persistence.RaftTermPersistentState term(int term) {
        return new DefaultRaftModelFactory()
                .createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(null)
                .build();
    }
}
