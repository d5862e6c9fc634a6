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
 * Checks the membership protocol with real processes and faults between them. That a death was not reported is checked once
 * all members have reported a later crash: by then they would have reported the death as well.
 */
public class ClusterRigTest {
    private static final List<String> ALL = List.of("g1", "g2", "g3", "g4", "g5");
    private static final long MAX_MS = 60_000;
    private static final int PROBE_MS = 500;

    private static TestCluster startFleet(long seed) throws Exception {
        TestCluster cluster = new TestCluster(seed, PROBE_MS, List.of("g1", "g2"));
        for (String name : ALL) {
            cluster.start(name);
        }
        assertTrue(
                cluster.await(running -> running.allAlive(ALL), MAX_MS),
                "all members see each other: " + cluster.history());
        return cluster;
    }

    private static boolean allReport(TestCluster cluster, String name, String state) {
        return ALL.stream().filter(each -> !each.equals(name)).allMatch(each -> cluster.lastState(each, name)
                .equals(state));
    }

    private static List<TestCluster.Event> deathsExcept(TestCluster cluster, String name) {
        return cluster.history().stream()
                .filter(each -> each.state().equals("DEAD") && !each.name().equals(name))
                .toList();
    }

    /**
     * Runs the example scenarios. Short pauses, loss and a one-way cut cause no reported death, but a crash does. A slow member
     * does not get a healthy one declared dead. The fleet is complete after a loss of three messages in ten. A gateway that
     * cannot reach the voters becomes strict, and no gateway acts on a version beyond its lease.
     */
    @Test(dataProvider = "examples")
    public void passesAllStepsOfExampleScenario(String example) throws Exception {
        List<TestCluster.Event> events = new ArrayList<>();
        List<String> failures =
                ClusterScenario.read(Path.of("example", example)).play(events::add);
        assertEquals(failures, List.of(), events.toString());
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
    public void reportsAllFaultsOfScenarioByFileKeyAndReason() throws Exception {
        String text = Files.readString(Path.of("example/rig-faults.json"));
        Path file = Files.createTempFile("scenario", ".json");
        try {
            Files.writeString(
                    file,
                    text.replace("\"loss\": 0.1", "\"loss\": 1.1")
                            .replace("[\"g1\"], \"of\"", "[\"g9\"], \"of\"")
                            .replace("\"do\": \"kill\"", "\"do\": \"hit\"")
                            .replace("\"most_s\"", "\"most\""));
            String message = expectThrows(InvalidConfigurationException.class, () -> ClusterScenario.read(file))
                    .getMessage();
            for (String part : List.of(
                    "field most is not known",
                    "steps[2] must have shares",
                    "names g9",
                    "steps[6].do has an unknown value hit",
                    file.toString())) {
                assertTrue(message.contains(part), message);
            }
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void refutesDeathOnceAfterLongPauseAndReportsNoDeathOnLeave() throws Exception {
        try (TestCluster cluster = startFleet(2)) {
            cluster.pause("g3");
            assertTrue(
                    cluster.await(running -> allReport(running, "g3", "DEAD"), MAX_MS),
                    "reported dead: " + cluster.history());
            cluster.resume("g3");
            assertTrue(
                    cluster.await(running -> allReport(running, "g3", "ALIVE"), MAX_MS),
                    "refuted: " + cluster.history());
            for (String observer : ALL) {
                List<TestCluster.Event> reports = cluster.history().stream()
                        .filter(each ->
                                each.observer().equals(observer) && each.name().equals("g3"))
                        .toList();
                if (!observer.equals("g3")) {
                    assertEquals(
                            reports.stream()
                                    .filter(each -> each.state().equals("DEAD"))
                                    .count(),
                            1);
                    assertTrue(reports.get(reports.size() - 1).incarnation()
                            > reports.get(0).incarnation());
                }
            }
            cluster.leave("g4");
            assertTrue(
                    cluster.await(
                            running -> List.of("g1", "g2", "g3", "g5").stream()
                                    .allMatch(each ->
                                            running.lastState(each, "g4").equals("LEFT")),
                            MAX_MS),
                    "reported as left: " + cluster.history());
            assertEquals(deathsExcept(cluster, "g3"), List.of());
        }
    }

    @Test
    public void findsAllMembersAgainAfterPartitionHeals() throws Exception {
        try (TestCluster cluster = startFleet(3)) {
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
                    cluster.await(running -> running.allAlive(ALL), MAX_MS),
                    "all members see each other again: " + cluster.history());
        }
    }
}
