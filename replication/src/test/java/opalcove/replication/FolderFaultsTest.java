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

/** Folders that fail for a while, and a process that ends at any step of a write. */
public class FolderFaultsTest {
    /** The steps of a write, in their order. */
    private enum Step {
        WRITE,
        SYNC_FILE,
        LINK,
        RENAME,
        SYNC_FOLDER
    }

    private static final byte[] OLD = "the old content".getBytes(StandardCharsets.UTF_8);
    private static final byte[] NEW = "what is written anew".getBytes(StandardCharsets.UTF_8);

    private Path file;

    @BeforeMethod
    public void folder() throws Exception {
        file = Files.createTempDirectory("folder").resolve("state");
        AtomicFile.write(file, "what was before that".getBytes(StandardCharsets.UTF_8));
        AtomicFile.write(file, OLD);
    }

    @DataProvider
    public Object[][] steps() {
        return new Object[][] {{Step.WRITE}, {Step.SYNC_FILE}, {Step.LINK}, {Step.RENAME}, {Step.SYNC_FOLDER}};
    }

    /** A disk that fails one step: the process ends there, having done half of it, or the system says no. */
    private static final class Failing implements FileOperations {
        private final Step step;
        private final boolean ends;
        private boolean healed;

        Failing(Step step, boolean ends) {
            this.step = step;
            this.ends = ends;
        }

        private void at(Step now) throws IOException {
            if (healed || now != step) {
                return;
            }
            if (ends) {
                throw new EndOfProcess();
            }
            throw new IOException(now == Step.WRITE ? "No space left on device" : "Input/output error");
        }

        @Override
        public void write(Path name, ByteBuffer bytes) throws IOException {
            if (!healed && step == Step.WRITE) {
                Files.write(name, new byte[] {bytes.get(0), bytes.get(1)});
            }
            at(Step.WRITE);
            FileOperations.REAL.write(name, bytes);
        }

        @Override
        public void sync(Path name) throws IOException {
            at(Files.isDirectory(name) ? Step.SYNC_FOLDER : Step.SYNC_FILE);
            FileOperations.REAL.sync(name);
        }

        @Override
        public void createHardLink(Path link, Path existing) throws IOException {
            at(Step.LINK);
            FileOperations.REAL.createHardLink(link, existing);
        }

        @Override
        public void rename(Path source, Path target) throws IOException {
            at(Step.RENAME);
            FileOperations.REAL.rename(source, target);
        }

        /** Stands for a kill: nothing that comes after it in the write is done. */
        private static final class EndOfProcess extends Error {
            private static final long serialVersionUID = 1;
        }
    }

    @Test(dataProvider = "steps")
    public void aProcessThatEndsAtAnyStepLeavesTheOldOrTheNewContentIntact(Step step) throws Exception {
        assertThrows(Failing.EndOfProcess.class, () -> AtomicFile.write(new Failing(step, true), file, NEW));
        assertEquals(AtomicFile.read(file), step == Step.SYNC_FOLDER ? NEW : OLD);
        AtomicFile.write(file, NEW);
        assertEquals(AtomicFile.read(file), NEW, "what the kill left behind is in nobody's way");
    }

    @Test(dataProvider = "steps")
    public void aStepThatFailsIsReportedAndTheNextWriteIsComplete(Step step) throws Exception {
        Failing disk = new Failing(step, false);
        assertThrows(IOException.class, () -> AtomicFile.write(disk, file, NEW));
        assertEquals(AtomicFile.read(file), step == Step.SYNC_FOLDER ? NEW : OLD);
        disk.healed = true;
        AtomicFile.write(disk, file, NEW);
        assertEquals(AtomicFile.read(file), NEW);
    }

    @Test
    public void afterAFailedSyncTheSameFileIsNotSyncedOnceMore() throws Exception {
        Failing disk = new Failing(Step.SYNC_FILE, false);
        assertThrows(IOException.class, () -> AtomicFile.write(disk, file, NEW));
        assertFalse(Files.exists(file.resolveSibling("state.part")), "a page may be marked clean: it is written anew");
    }

    @Test
    public void aTornSnapshotGivesWayToTheOneBeforeAndATornVoteIsRefused() throws Exception {
        Path snapshots = file.resolveSibling("snapshot");
        Snapshot before = new Snapshot("g1", 5, 4, true, 3, "{}", List.of());
        Snapshot after = new Snapshot("g1", 6, 4, true, 4, "{}", List.of());
        SnapshotFile.write(snapshots, before);
        SnapshotFile.write(snapshots, after);
        assertEquals(SnapshotFile.read(snapshots), after);
        byte[] whole = Files.readAllBytes(snapshots);
        for (int cut = 0; cut < whole.length; cut++) {
            Files.write(snapshots, java.util.Arrays.copyOf(whole, cut));
            assertEquals(SnapshotFile.read(snapshots), before);
            assertThrows(InvalidConfigurationException.class, () -> RaftVoterStore.open(snapshots));
        }
        Files.delete(snapshots);
        assertEquals(SnapshotFile.read(snapshots), before);
    }

    @Test(dataProvider = "steps")
    public void aVoterThatCannotWriteIsSilentUntilItCan(Step step) throws Exception {
        Path vote = file.resolveSibling("vote");
        Failing disk = new Failing(step, false);
        RaftVoterStore store = RaftVoterStore.open(disk, vote);
        disk.healed = true;
        store.persistAndFlushTerm(term(1));
        assertTrue(store.ensureWritten());
        disk.healed = false;
        RaftStore asItsNode = store;
        assertThrows(IOException.class, () -> asItsNode.persistAndFlushTerm(term(2)));
        assertFalse(store.ensureWritten(), "its vote is not in the file");
        assertFalse(store.ensureWritten(), "nor is it after another try");
        disk.healed = true;
        assertTrue(store.ensureWritten());
        RaftVoterStore back = RaftVoterStore.open(vote);
        back.persistAndFlushInitialGroupMembers(new DefaultRaftModelFactory()
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(List.of())
                .setVotingMembers(List.of())
                .build());
        back.persistAndFlushLocalEndpoint(new DefaultRaftModelFactory()
                .createRaftEndpointPersistentStateBuilder()
                .setVoting(true)
                .build());
        assertEquals(back.restoredState().getTermPersistentState().getTerm(), 2, "what was said is there after a restart");
    }

    private static io.microraft.model.persistence.RaftTermPersistentState term(int term) {
        return new DefaultRaftModelFactory()
                .createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(null)
                .build();
    }
}
