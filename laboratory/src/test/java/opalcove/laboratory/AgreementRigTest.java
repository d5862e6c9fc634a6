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
 * Checks the replicated configuration with real processes and faults between them. No two gateways may act on different
 * versions for longer than the lease, however slow the machine is; {@code ROUNDING_MS} allows for clocks that are read in whole
 * milliseconds.
 */
public class AgreementRigTest {
    private static final List<String> ALL = List.of("g1", "g2", "g3", "g4", "g5");
    private static final List<String> VOTERS = List.of("g1", "g2", "g3");
    private static final long MAX_MS = 60_000;
    private static final int LEASE_MS = 1500;
    private static final long ROUNDING_MS = 5;
    /** The number of attempts in the document that drains its backend. */
    private static final int DRAINING_ATTEMPTS = 3;

    private static TestCluster startFleet(long seed) throws Exception {
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
        // The backend is draining in one version and up again in the next.
        JsonObject backend = Json.object()
                .add("name", "n1")
                .add("address", "127.0.0.1:1")
                .add("status", attempts == DRAINING_ATTEMPTS ? "draining" : "up");
        return Json.object()
                .add("settings", settings)
                .add("nodes", Json.array().asArray().add(backend))
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

    private static List<String> allExcept(String... names) {
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
    public void acceptsExactlyOneOfTwoProposalsWhenLeaderIsKilled() throws Exception {
        try (TestCluster cluster = startFleet(11)) {
            assertTrue(cluster.await(running -> !running.leader().isEmpty(), MAX_MS));
            String leader = cluster.leader();
            CompletableFuture<VersionLog.Outcome> a = propose(cluster, "g1", 1, 5);
            CompletableFuture<VersionLog.Outcome> b = propose(cluster, "g2", 1, 4);
            cluster.kill(leader);
            assertTrue(a.get().accepted() ^ b.get().accepted(), a.get() + " " + b.get());
            VersionLog.Outcome rejected = a.get().accepted() ? b.get() : a.get();
            assertTrue(rejected.reason().contains("version 2 by ops at g"), rejected.reason());
            awaitAll(cluster, allExcept(leader), "2 FULL");
            cluster.start(leader);
            awaitAll(cluster, ALL, "2 FULL");
            VersionLog.Outcome invalid = cluster.client("g1").propose(2, "ops", "{\"settings\":{}}");
            assertFalse(invalid.accepted());
            assertTrue(invalid.reason().contains("field "), invalid.reason());
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
    public void actsOnNoVersionBeyondLeaseUnderPauseAndOneWayCutFromLeader() throws Exception {
        try (TestCluster cluster = startFleet(12)) {
            cluster.cut(cluster.leader(), "g4");
            cluster.pause("g5");
            assertTrue(propose(cluster, "g1", 1, 3).get().accepted());
            awaitAll(cluster, allExcept("g5"), "2 FULL");
            assertTrue(propose(cluster, "g2", 2, 2).get().accepted());
            awaitAll(cluster, allExcept("g5"), "3 FULL");
            Thread.sleep(LEASE_MS); // makes the pause longer than the lease; no assertion depends on this time
            cluster.resume("g5");
            awaitAll(cluster, ALL, "3 FULL");
            // The gateway missed the version that drains the backend, so it sends to no backend until it has a newer
            // version.
            List<JsonObject> strictEvents = cluster.versionEvents().stream()
                    .filter(each -> each.getString("observer", "").equals("g5")
                            && each.getString("mode", "").equals("STRICT"))
                    .toList();
            assertEquals(strictEvents.size(), 1, "it reported strict mode once");
            assertEquals(strictEvents.get(0).getInt("nodes", -1), 0);
            assertEquals(cluster.conflictsLongerThan(LEASE_MS + ROUNDING_MS), List.of());
        }
    }

    @Test
    public void becomesStrictInMinorityAndCatchesUpAfterTruncatedStateFileIsRejected() throws Exception {
        try (TestCluster cluster = startFleet(13)) {
            assertTrue(cluster.await(running -> !running.leader().isEmpty(), MAX_MS));
            String isolated = cluster.leader();
            for (String each : allExcept(isolated)) {
                cluster.cut(isolated, each);
                cluster.cut(each, isolated);
            }
            String other = VOTERS.stream()
                    .filter(each -> !each.equals(isolated))
                    .findFirst()
                    .orElseThrow();
            assertTrue(propose(cluster, other, 1, 3).get().accepted());
            awaitAll(cluster, allExcept(isolated), "2 FULL");
            awaitAll(cluster, List.of(isolated), "1 STRICT");
            cluster.heal();
            awaitAll(cluster, ALL, "2 FULL");
            cluster.kill(isolated);
            byte[] state = Files.readAllBytes(cluster.state(isolated));
            Files.write(cluster.state(isolated), Arrays.copyOf(state, state.length / 2));
            assertTrue(propose(cluster, other, 2, 2).get().accepted());
            cluster.start(isolated);
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
