package opalcove.laboratory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import opalcove.configlease.VersionLog;
import org.testng.annotations.Test;

/** Checks how a fleet of real processes recovers from a power loss, for which all of them are killed at once. */
public class RecoveryRigTest {
    private static final List<String> ALL = List.of("g1", "g2", "g3", "g4", "g5");
    private static final long MAX_MS = 60_000;
    private static final int LEASE_MS = 1500;
    private static final long ROUNDING_MS = 5;

    private static void killAll(TestCluster cluster) throws InterruptedException {
        for (String name : ALL) {
            cluster.kill(name);
        }
    }

    private static void start(TestCluster cluster, List<String> names) throws IOException {
        for (String name : names) {
            cluster.start(name);
        }
    }

    private static List<JsonObject> recoveries(TestCluster cluster, String name, int from) {
        List<JsonObject> all = cluster.versionEvents();
        return all.subList(Math.min(from, all.size()), all.size()).stream()
                .filter(each -> each.getString("event", "").equals("recovery")
                        && each.getString("observer", "").equals(name))
                .toList();
    }

    private static boolean hasReported(TestCluster cluster, String name, int from, String phase) {
        return recoveries(cluster, name, from).stream()
                .anyMatch(each -> each.getString("phase", "").equals(phase));
    }

    @Test
    public void recoversToOneVersionAndRejectsDamagedSnapshotsAfterRepeatedPowerLoss() throws Exception {
        try (TestCluster cluster = new TestCluster(21, 500, List.of("g1", "g2"), List.of("g1", "g2", "g3"), LEASE_MS)) {
            start(cluster, ALL);
            assertEquals(
                    cluster.client("g1").propose(0, "ops", TestCluster.document(6)),
                    new VersionLog.Outcome(true, 1, ""));
            assertTrue(
                    cluster.await(
                            running -> ALL.stream()
                                    .allMatch(name -> running.actsOn(name).equals("1 FULL")
                                            && running.versionEvents().stream()
                                                    .anyMatch(each -> each.getString("event", "")
                                                                    .equals("snapshot")
                                                            && each.getString("observer", "")
                                                                    .equals(name))),
                            MAX_MS),
                    cluster.versionEvents().toString());

            // The power fails while a proposal is being decided, which leaves one snapshot truncated and one missing.
            CompletableFuture<VersionLog.Outcome> pending = CompletableFuture.supplyAsync(() -> {
                try {
                    return cluster.client("g2").propose(1, "ops", TestCluster.document(3));
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            killAll(cluster);
            byte[] complete = Files.readAllBytes(cluster.snapshot("g4"));
            Files.write(cluster.snapshot("g4"), Arrays.copyOf(complete, complete.length - 7));
            Files.delete(cluster.snapshot("g5"));
            int first = cluster.versionEvents().size();
            start(cluster, ALL);
            assertTrue(
                    cluster.await(
                            running -> ALL.stream().allMatch(name -> hasReported(running, name, first, "RESTORING")),
                            MAX_MS),
                    cluster.versionEvents().toString());

            // The power fails again before the fleet has recovered; then the gateways start in another order, one of
            // them later.
            killAll(cluster);
            int second = cluster.versionEvents().size();
            start(cluster, List.of("g5", "g3", "g4", "g1"));
            assertTrue(
                    cluster.await(running -> !recoveries(running, "g4", second).isEmpty(), MAX_MS));
            start(cluster, List.of("g2"));
            assertTrue(pending.get().accepted(), "the proposal was repeated until it was decided");
            assertTrue(
                    cluster.await(
                            running -> ALL.stream()
                                    .allMatch(name -> hasReported(running, name, second, "FULL")
                                            && running.actsOn(name).equals("2 FULL")),
                            MAX_MS),
                    cluster.versionEvents().toString());

            assertRecoveryPhasesInOrder(cluster, second);
            assertSnapshotsRejected(cluster, first);
            assertEquals(cluster.conflictsLongerThan(LEASE_MS + ROUNDING_MS), List.of());
        }
    }

    /** Checks that each gateway went through the phases in order and treated no backend as warmed up. */
    private static void assertRecoveryPhasesInOrder(TestCluster cluster, int from) {
        for (String name : ALL) {
            List<JsonObject> phases = recoveries(cluster, name, from);
            assertEquals(
                    phases.stream().map(each -> each.getString("phase", "")).toList(),
                    List.of("WAITING", "RESTORING", "FULL"),
                    name);
            assertTrue(phases.get(1).getBoolean("cold", false), "each backend counts as newly started");
        }
    }

    /** Checks that the truncated snapshot and the missing one were rejected, each with its reason. */
    private static void assertSnapshotsRejected(TestCluster cluster, int from) {
        assertTrue(
                recoveries(cluster, "g4", from).get(0).get("refused").toString().contains("torn"));
        assertTrue(
                recoveries(cluster, "g5", from).get(0).get("refused").toString().contains("there is none"));
    }
}
