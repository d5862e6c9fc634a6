package opalcove.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.microraft.model.message.RaftMessage;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.ObjectInputStream;
import java.io.ObjectStreamClass;
import java.io.ObjectStreamField;
import java.io.Serializable;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import opalcove.config.InvalidConfigurationException;
import opalcove.configlease.LeaseState;
import opalcove.configlease.VersionLog;
import opalcove.recovery.Snapshot;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the serialized form of stored data and of messages between voters against files that an older build wrote. The
 * program must read these files, resume from them and write the same bytes, whatever its classes are called now.
 */
public class WrittenFormTest {
    /** The project's classes in streams, each name with serialVersionUID and fields, in stream order. */
    private static final Map<String, String> CLASSES = Map.of(
            "opalcove.agreement.Registry$Proposal",
            "0 J base, Ljava/lang/String; by, Ljava/lang/String; id, Ljava/lang/String; text",
            "opalcove.agreement.Registry$Version",
            "0 J number, Ljava/lang/String; by, Ljava/lang/String; id, Ljava/lang/String; text",
            "opalcove.agreement.Registry$Outcome",
            "0 Z taken, J version, Ljava/lang/String; reason",
            "opalcove.versions.Voter$Named",
            "0 Ljava/lang/String; id",
            "opalcove.versions.VoterStore$State",
            "1 Lio/microraft/model/persistence/RaftEndpointPersistentState; endpoint, Ljava/util/TreeMap; entries, "
                    + "Lio/microraft/model/log/RaftGroupMembersView; members, Lio/microraft/model/log/SnapshotChunk; "
                    + "snapshot, Lio/microraft/model/persistence/RaftTermPersistentState; term");

    private static byte[] resource(String name) {
        try (InputStream in = WrittenFormTest.class.getResourceAsStream("/written/" + name)) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static Path copyResources(String... names) throws IOException {
        Path folder = Files.createTempDirectory("written");
        for (String name : names) {
            Files.write(folder.resolve(name), resource(name));
        }
        return folder;
    }

    private static byte[] inflate(byte[] deflated) {
        try (InputStream in = new InflaterInputStream(new ByteArrayInputStream(deflated))) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static String describeFields(ObjectStreamClass descriptor) {
        return descriptor.getSerialVersionUID() + " "
                + Stream.of(descriptor.getFields())
                        .map(field -> typeName(field) + " " + field.getName())
                        .collect(Collectors.joining(", "));
    }

    private static String typeName(ObjectStreamField field) {
        return field.isPrimitive() ? String.valueOf(field.getTypeCode()) : field.getTypeString();
    }

    /** Returns the project's class descriptors in a stream, read without the classes of the program. */
    private static Map<String, String> projectClasses(byte[] deflated) {
        Map<String, String> classes = new TreeMap<>();
        try (ObjectInputStream in = new ObjectInputStream(new ByteArrayInputStream(inflate(deflated))) {
            @Override
            protected ObjectStreamClass readClassDescriptor() throws IOException, ClassNotFoundException {
                ObjectStreamClass descriptor = super.readClassDescriptor();
                if (descriptor.getName().startsWith("opalcove.")) {
                    classes.put(descriptor.getName(), describeFields(descriptor));
                }
                return descriptor;
            }

            @Override
            protected Class<?> resolveClass(ObjectStreamClass descriptor) throws IOException, ClassNotFoundException {
                return descriptor.getName().startsWith("opalcove.") ? null : super.resolveClass(descriptor);
            }
        }) {
            in.readObject();
        } catch (ClassNotFoundException expected) {
            // The project's classes are not resolved. The stream is read to its end by their descriptors alone.
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return classes;
    }

    private static void assertWrittenClasses(Map<String, String> found, String... names) {
        Map<String, String> expected = new TreeMap<>();
        for (String name : names) {
            expected.put(name, CLASSES.get(name));
        }
        assertEquals(found, expected);
    }

    @DataProvider
    public Object[][] messages() {
        String voterId = "opalcove.versions.Voter$Named";
        String proposal = "opalcove.agreement.Registry$Proposal";
        String version = "opalcove.agreement.Registry$Version";
        return new Object[][] {
            {"AppendEntriesFailureResponse", new String[] {voterId}},
            {"AppendEntriesRequest", new String[] {voterId, proposal}},
            {"AppendEntriesSuccessResponse", new String[] {voterId}},
            {"InstallSnapshotRequest", new String[] {voterId, version}},
            {"InstallSnapshotResponse", new String[] {voterId}},
            {"PreVoteRequest", new String[] {voterId}},
            {"PreVoteResponse", new String[] {voterId}},
            {"VoteRequest", new String[] {voterId}},
            {"VoteResponse", new String[] {voterId}}
        };
    }

    @Test(dataProvider = "messages")
    public void readsMessageAndWritesSameBytes(String kind, String... names) {
        byte[] stored = resource(kind + ".message");
        RaftMessage message = SerializedForm.read(stored, RaftMessage.class);
        assertEquals(message.getClass().getSimpleName(), "Default" + kind + "OrBuilder");
        byte[] rewritten = SerializedForm.write(message);
        assertWrittenClasses(projectClasses(stored), names);
        assertWrittenClasses(projectClasses(rewritten), names);
        assertEquals(inflate(rewritten), inflate(stored));
    }

    @DataProvider
    public Object[][] states() {
        return new Object[][] {{"g1.state"}, {"g2.state"}, {"g3.state"}, {"g1.state.before"}};
    }

    @Test(dataProvider = "states")
    public void readsVoterStateAndWritesSameBytes(String name) throws IOException {
        byte[] stored = AtomicFile.read(copyResources(name).resolve(name));
        byte[] rewritten = SerializedForm.write(SerializedForm.read(stored, Serializable.class));
        String[] names = {
            "opalcove.agreement.Registry$Proposal",
            "opalcove.agreement.Registry$Version",
            "opalcove.versions.Voter$Named",
            "opalcove.versions.VoterStore$State"
        };
        assertWrittenClasses(projectClasses(stored), names);
        assertWrittenClasses(projectClasses(rewritten), names);
        assertEquals(inflate(rewritten), inflate(stored));
    }

    @Test
    public void writesOutcomeUnderItsWrittenNames() {
        byte[] written = SerializedForm.write(new VersionLog.Outcome(true, 3, "why"));
        assertWrittenClasses(projectClasses(written), "opalcove.agreement.Registry$Outcome");
        assertEquals(SerializedForm.read(written, VersionLog.Outcome.class), new VersionLog.Outcome(true, 3, "why"));
    }

    @Test
    public void votersContinueFromStoredFilesAndReachSameHistory() throws IOException {
        Path folder = copyResources("g1.state", "g2.state", "g3.state");
        Map<String, RaftVoterStore> stores = new LinkedHashMap<>();
        for (String name : VirtualVoters.NAMES) {
            stores.put(name, RaftVoterStore.open(folder.resolve(name + ".state")));
            assertTrue(stores.get(name).restoredState().getTermPersistentState().getTerm() > 0, name);
        }
        VirtualVoters voters = new VirtualVoters(stores, (from, message) -> {});
        String leader = voters.awaitLeader();
        assertEquals(
                voters.propose(new VersionLog.Proposal("id-24", 23, "ops", "again")),
                new VersionLog.Outcome(true, 24, ""),
                "a proposal accepted before the restart is recognized");
        assertEquals(
                voters.propose(new VersionLog.Proposal("id-new", 23, "ops", "late")),
                new VersionLog.Outcome(false, 24, "it changes version 23, but version 24 by ops is in force"));
        assertEquals(
                voters.propose(new VersionLog.Proposal("id-25", 24, "ops", "{\"text\":25}")),
                new VersionLog.Outcome(true, 25, ""));
        voters.runFor(10_000);
        for (String name : VirtualVoters.NAMES) {
            List<VersionLog.Version> history = voters.voter(name).history();
            assertEquals(
                    history.stream().map(VersionLog.Version::number).toList(),
                    LongStream.rangeClosed(10, 25).boxed().toList(),
                    name + " of " + leader);
            assertEquals(history.get(15), new VersionLog.Version(25, "id-25", "ops", "{\"text\":25}"));
        }
    }

    @Test
    public void readsFleetSnapshotAndWritesSameBytes() throws IOException {
        Path folder = copyResources("recovery.snapshot", "recovery.snapshot.before");
        Path file = folder.resolve("recovery.snapshot");
        Snapshot snapshot = SnapshotFile.read(file, "g1");
        assertEquals(
                snapshot,
                new Snapshot(
                        "g1",
                        1_700_000_000_002L,
                        1_690_000_000_000L,
                        true,
                        24,
                        "{\"settings\":{},\"nodes\":[\"\u00e9\"]}",
                        List.of(
                                new Snapshot.Peer("g2", "127.0.0.1:7002", 1_690_000_000_002L),
                                new Snapshot.Peer("g3", "127.0.0.1:7003", 1_690_000_000_003L))));
        assertEquals(
                new String(AtomicFile.read(file), StandardCharsets.UTF_8),
                "{\"snapshot\":1,\"gateway\":\"g1\",\"written_ms\":1700000000002,\"incarnation\":1690000000000,"
                        + "\"clean\":true,\"version\":24,\"text\":\"{\\\"settings\\\":{},\\\"nodes\\\":[\\\"\u00e9\\\"]}\","
                        + "\"members\":[{\"name\":\"g2\",\"address\":\"127.0.0.1:7002\",\"incarnation\":1690000000002},"
                        + "{\"name\":\"g3\",\"address\":\"127.0.0.1:7003\",\"incarnation\":1690000000003}]}");
        Path rewrittenFile = folder.resolve("again");
        SnapshotFile.write(rewrittenFile, snapshot);
        assertEquals(Files.readAllBytes(rewrittenFile), resource("recovery.snapshot"));
        Files.delete(file);
        assertFalse(SnapshotFile.read(file, "g1").isClean(), "the previous content is used");
    }

    @Test
    public void rejectsProjectClassThatIsNotWrittenClass() {
        for (Serializable other : new Serializable[] {ReplicationMessage.Kind.VERSION_REQUEST, LeaseState.Mode.FULL}) {
            String message = expectThrows(
                            InvalidConfigurationException.class,
                            () -> SerializedForm.read(SerializedForm.write(other), Serializable.class))
                    .getMessage();
            assertTrue(message.startsWith("not a record of this program: opalcove."), message);
        }
    }

    @Test
    public void rejectsRecordWhenFieldNameDiffers() {
        byte[] written = SerializedForm.write(new VersionLog.Outcome(true, 3, "why"));
        byte[] inflated = inflate(written);
        int fieldNameIndex = new String(inflated, StandardCharsets.ISO_8859_1).indexOf("reason");
        inflated[fieldNameIndex] = 'R';
        ByteArrayOutputStream changed = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(changed)) {
            out.write(inflated);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        String message = expectThrows(
                        InvalidConfigurationException.class,
                        () -> SerializedForm.read(changed.toByteArray(), Serializable.class))
                .getMessage();
        assertTrue(message.contains("its fields are not those of this program"), message);
    }
}
