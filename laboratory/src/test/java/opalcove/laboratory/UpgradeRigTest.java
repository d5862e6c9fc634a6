package opalcove.laboratory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import opalcove.configlease.VersionLog;
import org.testng.annotations.Test;

/**
 * Checks an upgrade with real processes. Three voters start from the state and snapshot files that an earlier build wrote at
 * version 3. They are then restarted one after another, and a version is proposed while each of them is down.
 */
public class UpgradeRigTest {
    private static final List<String> ALL = List.of("g1", "g2", "g3");
    private static final long TIMEOUT_MS = 60_000;
    private static final int LEASE_MS = 1500;
    private static final long ROUNDING_MS = 5;
    private static final int FIRST_VERSION = 3;

    private static void copyResource(String name, Path file) throws IOException {
        try (InputStream resource = UpgradeRigTest.class.getResourceAsStream("/upgrade/" + name)) {
            Files.copy(resource, file);
        }
    }

    private static void awaitAll(TestCluster cluster, List<String> names, int version) throws InterruptedException {
        assertTrue(
                cluster.await(
                        state -> names.stream()
                                .allMatch(name -> state.actsOn(name).equals(version + " FULL")),
                        TIMEOUT_MS),
                version + ": " + cluster.versionEvents());
    }

    @Test
    public void continuesFromFilesOfEarlierBuildWhenVotersRestartOneByOne() throws Exception {
        try (TestCluster cluster = new TestCluster(32, 500, List.of("g1", "g2"), ALL, LEASE_MS)) {
            for (String name : ALL) {
                copyResource(name + ".state", cluster.state(name));
                copyResource(name + ".snapshot", cluster.snapshot(name));
                cluster.start(name);
            }
            awaitAll(cluster, ALL, FIRST_VERSION);
            assertEquals(
                    cluster.client("g1").history().stream()
                            .map(VersionLog.Version::number)
                            .toList(),
                    List.of(1L, 2L, 3L));
            int version = FIRST_VERSION;
            for (String name : ALL) {
                cluster.kill(name);
                List<String> others =
                        ALL.stream().filter(each -> !each.equals(name)).toList();
                VersionLog.Outcome outcome =
                        cluster.client(others.get(0)).propose(version, "ops", TestCluster.document(1 + version));
                version++;
                assertEquals(outcome, new VersionLog.Outcome(true, version, ""));
                awaitAll(cluster, others, version);
                cluster.start(name);
                awaitAll(cluster, ALL, version);
            }
            assertEquals(cluster.client("g2").history().size(), version);
            assertNoFileRejected(cluster);
            assertEquals(cluster.conflictsLongerThan(LEASE_MS + ROUNDING_MS), List.of());
        }
    }

    /** Checks that no state file and no snapshot format was rejected; an older version in a snapshot is expected. */
    private static void assertNoFileRejected(TestCluster cluster) {
        cluster.versionEvents().forEach(event -> {
            assertTrue(!event.getString("event", "").equals("state_refused"), event.toString());
            assertTrue(!event.toString().contains("the snapshot: "), event.toString());
        });
    }
}
