package opalcove.laboratory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import opalcove.config.InvalidConfigurationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Membership among real processes, with faults between them. What must not have happened is read from the history after a
 * later crash has been told by all: by then it would have been told, too.
 */
public class ClusterRigTest {
    private static final List<String> ALL = List.of("g1", "g2", "g3", "g4", "g5");
    private static final long MAX_MS = 60_000;
    private static final int PROBE_MS = 500;

    private static TestCluster fleet(long seed) throws Exception {
        TestCluster cluster = new TestCluster(seed, PROBE_MS, List.of("g1", "g2"));
        for (String name : ALL) {
            cluster.start(name);
        }
        assertTrue(cluster.await(running -> running.allAlive(ALL), MAX_MS), "they come together: " + cluster.history());
        return cluster;
    }

    private static boolean allHold(TestCluster cluster, String name, String state) {
        return ALL.stream().filter(each -> !each.equals(name)).allMatch(each -> cluster.lastState(each, name)
                .equals(state));
    }

    private static List<TestCluster.Event> deathsBut(TestCluster cluster, String name) {
        return cluster.history().stream()
                .filter(each -> each.state().equals("DEAD") && !each.name().equals(name))
                .toList();
    }

    /**
     * The scenarios that the examples tell: short pauses, loss and a one-sided cut are no death, a crash is one; a member
     * that is slow itself has no healthy one held for dead; three messages of ten lost, and the fleet is whole after it; a gateway that
     * cannot ask is strict, and no version outlives its lease.
     */
    @Test(dataProvider = "examples")
    public void theExampleComesOutAsItWants(String example) throws Exception {
        List<TestCluster.Event> events = new ArrayList<>();
        List<String> wrong = ClusterScenario.read(Path.of("example", example)).play(events::add);
        assertEquals(wrong, List.of(), events.toString());
        assertTrue(example.contains("agreement")
                || events.stream()
                        .anyMatch(each ->
                                each.state().equals("DEAD") && each.name().equals("g5")));
    }

    @DataProvider
    public Object[] examples() {
        return new Object[] {"rig-faults.json", "rig-slow-member.json", "rig-heavy-loss.json", "rig-agreement.json"};
    }

    @Test
    public void allThatIsWrongWithAScenarioIsToldByFileKeyAndReason() throws Exception {
        String text = Files.readString(Path.of("example/rig-faults.json"));
        Path file = Files.createTempFile("scenario", ".json");
        try {
            Files.writeString(
                    file,
                    text.replace("\"loss\": 0.1", "\"loss\": 1.1")
                            .replace("[\"g1\"], \"of\"", "[\"g9\"], \"of\"")
                            .replace("\"do\": \"kill\"", "\"do\": \"hit\"")
                            .replace("\"most_s\"", "\"most\""));
            String told = expectThrows(InvalidConfigurationException.class, () -> ClusterScenario.read(file))
                    .getMessage();
            for (String part : List.of(
                    "field most is not known",
                    "steps[2] must have shares",
                    "names g9",
                    "steps[6].do has an unknown value hit",
                    file.toString())) {
                assertTrue(told.contains(part), told);
            }
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void aLongPauseIsADeathThatIsRefutedOnceAndALeaveIsNoDeath() throws Exception {
        try (TestCluster cluster = fleet(2)) {
            cluster.pause("g3");
            assertTrue(
                    cluster.await(running -> allHold(running, "g3", "DEAD"), MAX_MS),
                    "told dead: " + cluster.history());
            cluster.resume("g3");
            assertTrue(
                    cluster.await(running -> allHold(running, "g3", "ALIVE"), MAX_MS), "refuted: " + cluster.history());
            for (String observer : ALL) {
                List<TestCluster.Event> told = cluster.history().stream()
                        .filter(each ->
                                each.observer().equals(observer) && each.name().equals("g3"))
                        .toList();
                if (!observer.equals("g3")) {
                    assertEquals(
                            told.stream()
                                    .filter(each -> each.state().equals("DEAD"))
                                    .count(),
                            1);
                    assertTrue(told.get(told.size() - 1).incarnation()
                            > told.get(0).incarnation());
                }
            }
            cluster.leave("g4");
            assertTrue(
                    cluster.await(
                            running -> List.of("g1", "g2", "g3", "g5").stream()
                                    .allMatch(each ->
                                            running.lastState(each, "g4").equals("LEFT")),
                            MAX_MS),
                    "it left: " + cluster.history());
            assertEquals(deathsBut(cluster, "g3"), List.of());
        }
    }

    @Test
    public void halvesCutApartComeTogetherAgain() throws Exception {
        try (TestCluster cluster = fleet(3)) {
            for (String a : List.of("g1", "g2")) {
                for (String b : List.of("g3", "g4", "g5")) {
                    cluster.cut(a, b);
                    cluster.cut(b, a);
                }
            }
            assertTrue(cluster.await(
                    running -> running.lastState("g1", "g5").equals("DEAD")
                            && running.lastState("g4", "g2").equals("DEAD"),
                    MAX_MS));
            cluster.heal();
            assertTrue(
                    cluster.await(running -> running.allAlive(ALL), MAX_MS), "one fleet again: " + cluster.history());
        }
    }
}
