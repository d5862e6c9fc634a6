package opalcove.laboratory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import opalcove.configlease.VersionLog;
import org.testng.annotations.Test;

/**
 * Agreed versions among real processes, with faults between them. That no contradiction outlives the lease holds whatever the
 * machine's speed; the few ms beside it are what whole milliseconds of two clocks differ by.
 */
public class AgreementRigTest {
    private static final List<String> ALL = List.of("g1", "g2", "g3", "g4", "g5");
    private static final List<String> VOTERS = List.of("g1", "g2", "g3");
    private static final long MAX_MS = 60_000;
    private static final int LEASE_MS = 1500;
    private static final long ROUNDING_MS = 5;
    /** The document of so many attempts drains its node. */
    private static final int DRAINS = 3;

    private static TestCluster fleet(long seed) throws Exception {
        TestCluster cluster = new TestCluster(seed, 500, List.of("g1", "g2"), VOTERS, LEASE_MS);
        for (String name : ALL) {
            cluster.start(name);
        }
        assertEquals(cluster.client("g1").propose(0, "ops", document(6)), new VersionLog.Outcome(true, 1, ""));
        awaitAll(cluster, ALL, "1 FULL");
        return cluster;
    }

    private static String document(int attempts) {
        JsonObject settings = Json.parse(Laboratory.settingsText()).asObject();
        settings.get("ceilings").asObject().set("max_attempts", attempts);
        // The node is drained in one version and open again in the next.
        JsonObject node = Json.object()
                .add("name", "n1")
                .add("address", "127.0.0.1:1")
                .add("status", attempts == DRAINS ? "draining" : "up");
        return Json.object()
                .add("settings", settings)
                .add("nodes", Json.array().asArray().add(node))
                .toString();
    }

    private static void awaitAll(TestCluster cluster, List<String> names, String acting) throws InterruptedException {
        assertTrue(
                cluster.await(
                        running -> names.stream()
                                .allMatch(name -> running.actsOn(name).equals(acting)),
                        MAX_MS),
                acting + ": " + cluster.versionEvents());
    }

    private static List<String> but(String... names) {
        List<String> rest = new ArrayList<>(ALL);
        rest.removeAll(Arrays.asList(names));
        return rest;
    }

    private static CompletableFuture<VersionLog.Outcome> propose(
            TestCluster cluster, String through, long base, int attempts) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return cluster.client(through).propose(base, "ops at " + through, document(attempts));
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    @Test
    public void aLeaderIsKilledAmidTwoChangesOfWhichOneWins() throws Exception {
        try (TestCluster cluster = fleet(11)) {
            assertTrue(cluster.await(running -> !running.leader().isEmpty(), MAX_MS));
            String leader = cluster.leader();
            CompletableFuture<VersionLog.Outcome> a = propose(cluster, "g1", 1, 5);
            CompletableFuture<VersionLog.Outcome> b = propose(cluster, "g2", 1, 4);
            cluster.kill(leader);
            assertTrue(a.get().accepted() ^ b.get().accepted(), a.get() + " " + b.get());
            VersionLog.Outcome lost = a.get().accepted() ? b.get() : a.get();
            assertTrue(lost.reason().contains("version 2 by ops at g"), lost.reason());
            awaitAll(cluster, but(leader), "2 FULL");
            cluster.start(leader);
            awaitAll(cluster, ALL, "2 FULL");
            VersionLog.Outcome broken = cluster.client("g1").propose(2, "ops", "{\"settings\":{}}");
            assertFalse(broken.accepted());
            assertTrue(broken.reason().contains("field "), broken.reason());
            assertEquals(cluster.client("g1").current().number(), 2);
            assertEquals(
                    cluster.client("g1").history().stream()
                            .map(VersionLog.Version::number)
                            .toList(),
                    List.of(1L, 2L));
            assertEquals(cluster.conflictsLongerThan(LEASE_MS + ROUNDING_MS), List.of());
        }
    }

    @Test
    public void aPauseAndAOneSidedCutFromTheLeaderLetNoVersionOutliveItsLease() throws Exception {
        try (TestCluster cluster = fleet(12)) {
            cluster.cut(cluster.leader(), "g4");
            cluster.pause("g5");
            assertTrue(propose(cluster, "g1", 1, 3).get().accepted());
            awaitAll(cluster, but("g5"), "2 FULL");
            assertTrue(propose(cluster, "g2", 2, 2).get().accepted());
            awaitAll(cluster, but("g5"), "3 FULL");
            Thread.sleep(LEASE_MS); // the pause is to be longer than the lease; nothing is judged by it
            cluster.resume("g5");
            awaitAll(cluster, ALL, "3 FULL");
            // Behind, it never hears of the version that drains the node: it sends nothing to any node until it is told
            // more.
            List<JsonObject> lapsed = cluster.versionEvents().stream()
                    .filter(each -> each.getString("observer", "").equals("g5")
                            && each.getString("mode", "").equals("STRICT"))
                    .toList();
            assertEquals(lapsed.size(), 1, "it was strict first");
            assertEquals(lapsed.get(0).getInt("nodes", -1), 0);
            assertEquals(cluster.conflictsLongerThan(LEASE_MS + ROUNDING_MS), List.of());
        }
    }

    @Test
    public void aMinorityIsStrictAndATornStateIsRefusedAndCaughtUp() throws Exception {
        try (TestCluster cluster = fleet(13)) {
            assertTrue(cluster.await(running -> !running.leader().isEmpty(), MAX_MS));
            String alone = cluster.leader();
            for (String each : but(alone)) {
                cluster.cut(alone, each);
                cluster.cut(each, alone);
            }
            String other = VOTERS.stream()
                    .filter(each -> !each.equals(alone))
                    .findFirst()
                    .orElseThrow();
            assertTrue(propose(cluster, other, 1, 3).get().accepted());
            awaitAll(cluster, but(alone), "2 FULL");
            awaitAll(cluster, List.of(alone), "1 STRICT");
            cluster.heal();
            awaitAll(cluster, ALL, "2 FULL");
            cluster.kill(alone);
            byte[] state = Files.readAllBytes(cluster.state(alone));
            Files.write(cluster.state(alone), Arrays.copyOf(state, state.length / 2));
            assertTrue(propose(cluster, other, 2, 2).get().accepted());
            cluster.start(alone);
            awaitAll(cluster, ALL, "3 FULL");
            assertTrue(
                    cluster.versionEvents().stream()
                            .anyMatch(each -> each.getString("event", "").equals("state_refused")
                                    && each.getString("reason", "").contains("torn")),
                    cluster.versionEvents().toString());
            assertEquals(cluster.conflictsLongerThan(LEASE_MS + ROUNDING_MS), List.of());
        }
    }
}
