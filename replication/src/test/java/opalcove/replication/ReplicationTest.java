package opalcove.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.microraft.model.impl.DefaultRaftModelFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import opalcove.TestSettings;
import opalcove.config.Backend;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.configlease.VersionLog;
import opalcove.recovery.Snapshot;
import org.testng.annotations.Test;

/** Tests a version's document and its strict part, the stored files, and the checks of the configuration section. */
public class ReplicationTest {
    private static final String BACKENDS_JSON =
            """
            [{"name":"n1","address":"127.0.0.1:1"},{"name":"n2","address":"127.0.0.1:2","status":"%s"}]""";

    private static ConfigDocument document(String settings, String secondBackendStatus) {
        return ConfigDocument.read(
                "{\"settings\":" + settings + ",\"nodes\":" + BACKENDS_JSON.formatted(secondBackendStatus) + "}");
    }

    @Test
    public void strictDocumentHasLowerQuotaOneAttemptAndNoBackendDrainedInEitherVersion() {
        ConfigDocument previous = document(
                TestSettings.JSON.replace(
                        "\"quota_rate\":50,\"peak_units\":100}]", "\"quota_rate\":20,\"peak_units\":200}]"),
                "draining");
        ConfigDocument newest = document(TestSettings.JSON, "up");
        ConfigDocument strict = newest.strict(previous);
        assertEquals(strict.settings().limits().maxAttempts(), 1);
        assertEquals(strict.settings().plans().get(1).rate(), 20.0);
        assertEquals(strict.settings().plans().get(1).burst(), 100.0);
        assertEquals(strict.backends().stream().map(Backend::name).toList(), List.of("n1"));
    }

    @Test
    public void rejectsInvalidDocumentWithKeyAndReason() {
        for (String[] each : new String[][] {
            {"", "JSON"},
            {"{\"settings\":{}}", "profiles"},
            {"{\"settings\":" + TestSettings.JSON + ",\"node\":[]}", "field node is not known"},
            {
                "{\"settings\":" + TestSettings.JSON.replace("\"max_attempts\":6", "\"max_attempts\":0") + "}",
                "max_attempts"
            },
            {
                "{\"settings\":" + TestSettings.JSON + ",\"nodes\":"
                        + BACKENDS_JSON.formatted("up").replace("n2", "n1") + "}",
                "n1 twice"
            }
        }) {
            String message = expectThrows(InvalidConfigurationException.class, () -> ConfigDocument.read(each[0]))
                    .getMessage();
            assertTrue(message.contains(each[1]), message);
        }
    }

    @Test
    public void readsVoterStateAndRejectsItWithReasonWhenFileIsDamaged() throws Exception {
        Path file = Files.createTempDirectory("vote").resolve("state");
        RaftVoterStore store = RaftVoterStore.open(file);
        assertNull(store.restoredState());
        DefaultRaftModelFactory factory = new DefaultRaftModelFactory();
        VersionLog.Proposal proposal = new VersionLog.Proposal("id", 0, "ops", "text");
        store.persistLogEntries(List.of(factory.createLogEntryBuilder()
                .setIndex(1)
                .setTerm(1)
                .setOperation(proposal)
                .build()));
        store.persistAndFlushTerm(factory.createRaftTermPersistentStateBuilder()
                .setTerm(3)
                .setVotedFor(null)
                .build());
        store.persistAndFlushInitialGroupMembers(factory.createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(List.of())
                .setVotingMembers(List.of())
                .build());
        store.persistAndFlushLocalEndpoint(factory.createRaftEndpointPersistentStateBuilder()
                .setVoting(true)
                .build());
        RaftVoterStore reopened = RaftVoterStore.open(file);
        assertNotNull(reopened.restoredState());
        assertEquals(reopened.restoredState().getTermPersistentState().getTerm(), 3);
        assertEquals(reopened.restoredState().getLogEntries().get(0).getOperation(), proposal);
        byte[] complete = Files.readAllBytes(file);
        for (int cut = 0; cut < complete.length; cut++) {
            Files.write(file, Arrays.copyOf(complete, cut));
            String message = expectThrows(InvalidConfigurationException.class, () -> RaftVoterStore.open(file))
                    .getMessage();
            assertTrue(message.contains(file.toString()) && message.matches("(?s).*(empty|no state|torn).*"), message);
        }
        byte[] changed = complete.clone();
        changed[complete.length - 3] ^= 1;
        Files.write(file, changed);
        assertTrue(expectThrows(InvalidConfigurationException.class, () -> RaftVoterStore.open(file))
                .getMessage()
                .contains("torn"));
    }

    @Test
    public void readsSnapshotAndRejectsItWithReasonWhenFileIsDamaged() throws Exception {
        Path file = Files.createTempDirectory("snapshot").resolve("g1");
        assertTrue(expectThrows(InvalidConfigurationException.class, () -> SnapshotFile.read(file, "g1"))
                .getMessage()
                .contains("there is none"));
        Snapshot snapshot =
                new Snapshot("g1", 5, 4, true, 3, "{\"settings\":{}}", List.of(new Snapshot.Peer("g2", "a:1", 9)));
        SnapshotFile.write(file, snapshot);
        assertEquals(SnapshotFile.read(file, "g1"), snapshot);
        assertTrue(expectThrows(InvalidConfigurationException.class, () -> SnapshotFile.read(file, "g2"))
                .getMessage()
                .contains("is of g1"));
        byte[] complete = Files.readAllBytes(file);
        for (int cut = 0; cut < complete.length; cut++) {
            Files.write(file, Arrays.copyOf(complete, cut));
            String message = expectThrows(InvalidConfigurationException.class, () -> SnapshotFile.read(file, "g1"))
                    .getMessage();
            assertTrue(message.matches("(?s).*(empty|no state|torn).*"), message);
        }
        AtomicFile.write(file, "{\"snapshot\":2}".getBytes(java.nio.charset.StandardCharsets.UTF_8));
        assertTrue(expectThrows(InvalidConfigurationException.class, () -> SnapshotFile.read(file, "g1"))
                .getMessage()
                .contains("its form is 2, not 1"));
    }

    @Test
    public void cutsEachBurstToShareOfOneGateway() {
        ConfigDocument shared = document(TestSettings.JSON.replace("\"balancers\":1", "\"balancers\":4"), "up")
                .withBurstShares();
        assertEquals(shared.settings().plans().get(0).burst(), 25.0);
        assertEquals(shared.settings().plans().get(0).rate(), 50.0);
    }

    @Test
    public void rejectsSerializedObjectWhenItsClassIsNotAllowed() {
        assertTrue(expectThrows(
                        InvalidConfigurationException.class,
                        () -> SerializedForm.read(
                                SerializedForm.write(new java.io.File("x")), java.io.Serializable.class))
                .getMessage()
                .contains("REJECTED"));
    }

    @Test
    public void rejectsInvalidSectionWithItsKey() {
        String validSection =
                """
                {"listen":"127.0.0.1:0","voters":[{"name":"g1","address":"127.0.0.1:1"}],"state_file":"/tmp/x"}""";
        assertEquals(
                ReplicationConfig.read("g1", JsonFields.parse(validSection)).leaseMs(), 2000);
        for (String[] each : new String[][] {
            {validSection.replace("/tmp/x", ""), "state_file"},
            {validSection.replace("\"state_file\"", "\"lease_ms\":1,\"state_file\""), "lease_ms"},
            {validSection.replace("\"state_file\"", "\"state\""), "agreement.state is not known"},
            {validSection.replace("}]", "},{\"name\":\"g2\",\"address\":\"127.0.0.1:2\"}]"), "1, 3, 5"}
        }) {
            String message = expectThrows(
                            InvalidConfigurationException.class,
                            () -> ReplicationConfig.read("g1", JsonFields.parse(each[0])))
                    .getMessage();
            assertTrue(message.contains(each[1]), message);
        }
    }
}
