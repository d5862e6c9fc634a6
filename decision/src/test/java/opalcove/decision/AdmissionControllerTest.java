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
    void shedsRetryPastItsObjectiveWhenQuotaIsScarce() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        for (int i = 0; i < 6; i++) {
            gateway.submit("r" + i, "look", "plain", 4000);
        }
        int before = gateway.attempts.size();
        gateway.submit("again", "look", "plain", 2500);
        assertEquals(before, gateway.attempts.size());
        assertTrue(gateway.shed.contains("again"));
    }

    @Test
    void givesShedRequestsRetryAfterWithinTheirObjective() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        for (int i = 0; i < 30; i++) {
            gateway.submit("r" + i, "look", "plain", 4000);
        }
        assertTrue(gateway.retryAfters.size() >= 10, "shed requests: " + gateway.retryAfters.size());
        assertTrue(
                gateway.retryAfters.stream().allMatch(retryAfterMs -> retryAfterMs >= 0 && retryAfterMs <= 1000),
                "within the latency objective: " + gateway.retryAfters);
        assertTrue(
                gateway.retryAfters.stream().distinct().count() > 5,
                "spread, so that clients do not retry at the same time");
    }

    @Test
    void recognizesInitialRequestByTheFrequentBudget() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        for (int i = 0; i < 12; i++) {
            double budgetMs = i % 4 == 3 ? 3500 : 2000; // every fourth is a last retry with all of the remaining time
            gateway.module.requestArrived(
                    0, new AdmissionRequest("w" + i, "look", "plain", "w" + i, 1, budgetMs, 2, false));
            gateway.endAttempt("w" + i, "h1", 0, AttemptStatus.SERVED);
        }
        for (int i = 0; i < 3; i++) {
            gateway.submit("r" + i, "look", "open", 2000);
        }
        gateway.advanceTo(100);
        assertFalse(
                gateway.shed.contains("r2"), "an initial request beyond the cap is queued, not shed as a late retry");
    }

    @Test
    void admitsClientRetriesLessOftenThanInitialRequestsWhenQuotaIsExceeded() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        int[] admitted = new int[2];
        for (int i = 0; i < 600; i++) {
            gateway.advanceTo(100 * i);
            boolean isRetry = i % 2 == 1;
            int before = gateway.attempts.size();
            gateway.submit("r" + i, "look", "plain", isRetry ? 3700 + i * 37 % 270 : 4000);
            if (gateway.attempts.size() > before) {
                admitted[isRetry ? 1 : 0]++;
                gateway.module.attemptEnded(
                        gateway.nowMs,
                        new AttemptOutcome("r" + i, "h1", 0, AttemptStatus.SERVED, 50, true, 100, 0, null));
            }
        }
        assertTrue(
                admitted[1] * 2 < admitted[0],
                "admitted initial requests: " + admitted[0] + ", admitted retries: " + admitted[1]);
    }

    @Test
    void rejectsInvalidSettings() {
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
    void shedsAndLogsRequestOfUnknownPlanOrClass() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"));
        gateway.submit("a", "look", "nosuch", 4000);
        gateway.submit("b", "nosuch", "plain", 4000);
        assertEquals(List.of("a", "b"), gateway.shed);
        assertEquals(2, gateway.logs.size());
    }

    @Test
    void ignoresEventsOfUnknownRequestsTimersAndBackends() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"));
        gateway.endAttempt("nosuch", "h1", 0, AttemptStatus.SERVED);
        gateway.module.requestCancelled(gateway.nowMs, "nosuch");
        gateway.module.timerExpired(gateway.nowMs, 4242);
        gateway.module.responseStarted(gateway.nowMs, "nosuch", 0);
        gateway.module.healthCheckEnded(gateway.nowMs, "nosuch", ProbeStatus.DONE, 1, null);
        assertTrue(gateway.attempts.isEmpty() && gateway.shed.isEmpty() && gateway.failed.isEmpty());
    }

    /** The files of the module's interface: events, actions and settings decide nothing and are not listed. */
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

    /** The lines of the listed files must also be within 120 columns, as the formatter writes them. */
    @Test
    void listsEveryDecidingFileInDeployFile() throws Exception {
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
