package opalcove.decision;

import static opalcove.decision.RecordingGateway.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CapacityControllerTest {
    private final RecordingGateway gateway = new RecordingGateway();

    /**
     * Submits a request every 50 ms and serves each 900 ms later. Timers expire only at multiples of this interval, ms.
     */
    private void serveResponsesLate(int timerIntervalMs) {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        for (int timeMs = 0; timeMs < 3000; timeMs += 50) {
            if (timeMs % timerIntervalMs == 0) {
                gateway.nowMs = timeMs;
                gateway.advanceTo(timeMs);
            }
            gateway.module.requestArrived(
                    timeMs, new AdmissionRequest("r" + timeMs, "look", "open", "c" + timeMs, 1, 4000, 2, false));
            if (timeMs >= 900) {
                gateway.module.attemptEnded(
                        timeMs,
                        new AttemptOutcome(
                                "r" + (timeMs - 900), "h1", 0, AttemptStatus.SERVED, 900, true, -1, 0, null));
            }
        }
    }

    @Test
    void boundsCapacityAfterLateResponsesAndUnboundsItWhenPressureEnds() {
        serveResponsesLate(50);
        assertTrue(gateway.logs.stream().anyMatch(line -> line.startsWith("room bounded")), gateway.logs.toString());
        gateway.advanceTo(20_000);
        assertTrue(gateway.logs.stream().anyMatch(line -> line.startsWith("room unbounded")), gateway.logs.toString());
    }

    /**
     * Submits requests for 40 s. Every fourth has eight units and takes 700 ms, the others have one unit and take 60
     * ms.
     */
    private void serveLargeRequestsSlowly() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        List<AttemptOutcome> pending = new ArrayList<>();
        for (int timeMs = 0; timeMs < 40_000; timeMs += 5) {
            gateway.advanceTo(timeMs);
            for (AttemptOutcome each : List.copyOf(pending)) {
                int startedMs = Integer.parseInt(each.requestId().substring(1));
                if (startedMs + each.elapsedMs() <= timeMs) {
                    pending.remove(each);
                    gateway.module.attemptEnded(timeMs, each);
                }
            }
            if (timeMs % 50 != 0) continue;
            boolean large = timeMs % 200 == 0;
            String id = "r" + timeMs;
            gateway.module.requestArrived(
                    timeMs, new AdmissionRequest(id, "look", "open", "c" + timeMs, large ? 8 : 1, 4000, 2, false));
            pending.add(new AttemptOutcome(id, "h1", 0, AttemptStatus.SERVED, large ? 700 : 60, true, -1, 0, null));
        }
    }

    @Test
    void shedsLargeRequestSoonerThanSmallOne() {
        serveLargeRequestsSlowly();
        gateway.updateEndpoints(true);
        gateway.module.requestArrived(40_000, new AdmissionRequest("large", "look", "open", "d", 8, 4000, 2, false));
        gateway.module.requestArrived(40_000, new AdmissionRequest("small", "look", "open", "e", 1, 4000, 2, false));
        gateway.advanceTo(40_200);
        assertTrue(gateway.shed.contains("large"));
        assertFalse(gateway.shed.contains("small"));
    }

    @Test
    void doesNotBoundCapacityWhenResponsesAreLateBecauseGatewayStalled() {
        serveResponsesLate(400);
        assertFalse(gateway.logs.stream().anyMatch(line -> line.startsWith("room bounded")), gateway.logs.toString());
    }

    @Test
    void boundsCapacityWhenNoAttemptReceivesResponse() {
        gateway.start(new DecisionSettings.Limits(4, false, true, false, true, 2000, 15_000, false), 2);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            endpoints.add(up("h" + i));
        }
        gateway.updateEndpoints(true, endpoints.toArray(new Endpoint[0]));
        for (int timeMs = 0; timeMs < 3000; timeMs += 50) {
            gateway.advanceTo(timeMs);
            gateway.module.requestArrived(
                    timeMs, new AdmissionRequest("r" + timeMs, "look", "open", "c" + timeMs, 1, 1500, 2, false));
        }
        assertTrue(
                gateway.logs.stream().anyMatch(line -> line.startsWith("room bounded")),
                "missing responses count as pressure");
    }

    @Test
    void doesNotBoundCapacityWhenFewAttemptsReceiveNoResponseAndOthersAreFast() {
        gateway.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            endpoints.add(up("h" + i));
        }
        gateway.updateEndpoints(true, endpoints.toArray(new Endpoint[0]));
        for (int timeMs = 0; timeMs < 6000; timeMs += 50) {
            gateway.advanceTo(timeMs);
            int before = gateway.attempts.size();
            gateway.module.requestArrived(
                    timeMs, new AdmissionRequest("r" + timeMs, "look", "open", "c" + timeMs, 1, 1500, 2, false));
            gateway.advanceTo(timeMs + 40);
            if (timeMs / 50 % 7 != 0 && gateway.attempts.size() > before) {
                String[] attempt = gateway.attempts.get(before).split("@");
                gateway.endAttempt(attempt[0], attempt[1], 0, AttemptStatus.SERVED);
            }
        }
        assertFalse(gateway.logs.stream().anyMatch(line -> line.startsWith("room bounded")), gateway.logs.toString());
    }

    @Test
    void queuesSurgeBeforeItOverrunsBackends() {
        gateway.start(gateway.limits, 1);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        for (int i = 0; i < 50; i++) {
            gateway.module.requestArrived(0, new AdmissionRequest("r" + i, "look", "open", "c" + i, 1, 4000, 1, false));
        }
        assertEquals(6, gateway.attempts.size());
    }

    @Test
    void boundsCapacityWhenOnlyOneLateResponseArrivesPerSecond() {
        gateway.start(gateway.limits, 200);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        for (int timeMs = 0; timeMs <= 8000; timeMs += 1000) {
            gateway.advanceTo(timeMs);
            gateway.module.requestArrived(
                    timeMs, new AdmissionRequest("r" + timeMs, "look", "open", "c" + timeMs, 1, 4000, 200, false));
            gateway.advanceTo(timeMs + 900);
            gateway.module.attemptEnded(
                    timeMs + 900,
                    new AttemptOutcome("r" + timeMs, "h1", 0, AttemptStatus.SERVED, 900, true, -1, 0, null));
        }
        assertTrue(gateway.logs.stream().anyMatch(line -> line.startsWith("room bounded")), gateway.logs.toString());
    }
}
