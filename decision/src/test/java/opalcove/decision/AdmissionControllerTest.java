package opalcove.decision;

import static opalcove.decision.RecordingGateway.PLAIN;
import static opalcove.decision.RecordingGateway.SAFE;
import static opalcove.decision.RecordingGateway.settings;
import static opalcove.decision.RecordingGateway.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {
    private final RecordingGateway gateway = new RecordingGateway();

    @Test
    void aRetryPastItsObjectiveIsShedWhileItsQuotaIsScarce() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        for (int i = 0; i < 6; i++) {
            gateway.submit("r" + i, "look", "plain", 4000);
        }
        int before = gateway.sends.size();
        gateway.submit("again", "look", "plain", 2500);
        assertEquals(before, gateway.sends.size());
        assertTrue(gateway.shed.contains("again"));
    }

    @Test
    void theRetryAfterOfAShedRequestIsWithinItsObjective() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        for (int i = 0; i < 30; i++) {
            gateway.submit("r" + i, "look", "plain", 4000);
        }
        assertTrue(gateway.retryAfters.size() >= 10, "refused " + gateway.retryAfters.size());
        assertTrue(
                gateway.retryAfters.stream().allMatch(a -> a >= 0 && a <= 1000),
                "within the aim: " + gateway.retryAfters);
        assertTrue(gateway.retryAfters.stream().distinct().count() > 5, "spread, so that clients do not come in step");
    }

    @Test
    void aFirstTryIsKnownByTheBudgetMostOftenSeen() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        for (int i = 0; i < 12; i++) {
            double budget = i % 4 == 3 ? 3500 : 2000; // every fourth is a last try with all the time that is left
            gateway.module.requestArrived(
                    0, new AdmissionRequest("w" + i, "look", "plain", "w" + i, 1, budget, 2, false));
            gateway.endAttempt("w" + i, "h1", 0, AttemptStatus.SERVED);
        }
        for (int i = 0; i < 3; i++) {
            gateway.submit("r" + i, "look", "open", 2000);
        }
        gateway.until(100);
        assertFalse(gateway.shed.contains("r2"), "a first try beyond the cap is queued, not shed as a late retry");
    }

    @Test
    void clientRetriesDoNotUndoShedding() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        int[] passed = new int[2];
        for (int i = 0; i < 600; i++) {
            gateway.until(100 * i);
            boolean later = i % 2 == 1;
            int before = gateway.sends.size();
            gateway.submit("r" + i, "look", "plain", later ? 3700 + i * 37 % 270 : 4000);
            if (gateway.sends.size() > before) {
                passed[later ? 1 : 0]++;
                gateway.module.attemptEnded(
                        gateway.now,
                        new AttemptOutcome("r" + i, "h1", 0, AttemptStatus.SERVED, 50, true, 100, 0, null));
            }
        }
        assertTrue(passed[1] * 2 < passed[0], "first tries passed " + passed[0] + ", later ones " + passed[1]);
    }

    @Test
    void settingsThatContradictThemselvesAreRejected() {
        DecisionSettings.Plan bad = new DecisionSettings.Plan("bad", -1, 4, 0, 1, 0, 1, 0, 0, 0);
        assertThrows(
                IllegalArgumentException.class,
                () -> new AdmissionController(0, settings(gateway.limits, 1, List.of(SAFE), List.of(bad)), 1, gateway));
        assertThrows(
                IllegalArgumentException.class,
                () -> new AdmissionController(0, settings(gateway.limits, 1, List.of(SAFE), List.of()), 1, gateway));
        assertThrows(
                IllegalArgumentException.class,
                () -> new AdmissionController(0, settings(gateway.limits, 1, List.of(), List.of(PLAIN)), 1, gateway));
    }

    @Test
    void anUnknownPlanOrClassIsShedAndLogged() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"));
        gateway.submit("a", "look", "nosuch", 4000);
        gateway.submit("b", "nosuch", "plain", 4000);
        assertEquals(List.of("a", "b"), gateway.shed);
        assertEquals(2, gateway.logs.size());
    }

    @Test
    void strayEventsAreIgnored() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"));
        gateway.endAttempt("nosuch", "h1", 0, AttemptStatus.SERVED);
        gateway.module.requestCancelled(gateway.now, "nosuch");
        gateway.module.timerExpired(gateway.now, 4242);
        gateway.module.responseStarted(gateway.now, "nosuch", 0);
        gateway.module.healthCheckEnded(gateway.now, "nosuch", ProbeStatus.DONE, 1, null);
        assertTrue(gateway.sends.isEmpty() && gateway.shed.isEmpty() && gateway.failed.isEmpty());
    }

    /** The module's interface: events, actions and settings decide nothing and are not listed. */
    private static final Set<String> INTERFACE_FILES = Set.of(
            "AdmissionRequest.java",
            "AttemptOutcome.java",
            "AttemptStatus.java",
            "CapacityShare.java",
            "DecisionActions.java",
            "DecisionModule.java",
            "DecisionSettings.java",
            "DeduplicationScope.java",
            "Endpoint.java",
            "EndpointState.java",
            "Idempotency.java",
            "LoadMetric.java",
            "LoadReportSource.java",
            "ProbeStatus.java",
            "package-info.java");

    /** The formatter keeps lines within 120 columns. */
    @Test
    void theDeployFileNamesEachFileThatDecides() throws Exception {
        List<String> named = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = "))
                .flatMap(line -> Pattern.compile("\"([^\"]+)\"").matcher(line).results())
                .map(match -> match.group(1))
                .toList();
        Path folder = Path.of("decision/src/main/java/opalcove/decision");
        try (Stream<Path> files = Files.list(folder)) {
            List<String> deciding = files.filter(
                            file -> !INTERFACE_FILES.contains(file.getFileName().toString()))
                    .map(Path::toString)
                    .sorted()
                    .toList();
            assertEquals(deciding, named.stream().sorted().toList());
        }
        assertTrue(named.contains("decision/src/main/java/opalcove/decision/AdmissionController.java"));
        for (String file : named) {
            assertTrue(Files.readAllLines(Path.of(file)).stream().allMatch(line -> line.length() <= 120), file);
        }
    }
}
