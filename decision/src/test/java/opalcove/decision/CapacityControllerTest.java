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

    /** Asks every 50 ms, each answered 900 ms later; the gateway comes to its timers only so often. */
    private void responsesThatTakeLong(int timersEveryMs) {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        for (int t = 0; t < 3000; t += 50) {
            if (t % timersEveryMs == 0) {
                gateway.now = t;
                gateway.until(t);
            }
            gateway.module.requestArrived(t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 4000, 2, false));
            if (t >= 900) {
                gateway.module.attemptEnded(
                        t, new AttemptOutcome("r" + (t - 900), "h1", 0, AttemptStatus.SERVED, 900, true, -1, 0, null));
            }
        }
    }

    @Test
    void lateResponsesBoundTheCapacityAndCalmUnboundsIt() {
        responsesThatTakeLong(50);
        assertTrue(gateway.logs.stream().anyMatch(l -> l.startsWith("room bounded")), gateway.logs.toString());
        gateway.until(20_000);
        assertTrue(gateway.logs.stream().anyMatch(l -> l.startsWith("room unbounded")), gateway.logs.toString());
    }

    /** For 40 s, each fourth request counts eight units and takes 700 ms, the others count one and take 60 ms. */
    private void largeRequestsTakeLong() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        List<AttemptOutcome> due = new ArrayList<>();
        for (int t = 0; t < 40_000; t += 5) {
            gateway.until(t);
            for (AttemptOutcome each : List.copyOf(due)) {
                int began = Integer.parseInt(each.id().substring(1));
                if (began + each.elapsedMs() <= t) {
                    due.remove(each);
                    gateway.module.attemptEnded(t, each);
                }
            }
            if (t % 50 != 0) continue;
            boolean large = t % 200 == 0;
            String id = "r" + t;
            gateway.module.requestArrived(
                    t, new AdmissionRequest(id, "look", "open", "c" + t, large ? 8 : 1, 4000, 2, false));
            due.add(new AttemptOutcome(id, "h1", 0, AttemptStatus.SERVED, large ? 700 : 60, true, -1, 0, null));
        }
    }

    @Test
    void aLargeRequestIsShedSoonerForItNeedsLonger() {
        largeRequestsTakeLong();
        gateway.list(true);
        gateway.module.requestArrived(40_000, new AdmissionRequest("large", "look", "open", "d", 8, 4000, 2, false));
        gateway.module.requestArrived(40_000, new AdmissionRequest("small", "look", "open", "e", 1, 4000, 2, false));
        gateway.until(40_200);
        assertTrue(gateway.shed.contains("large"));
        assertFalse(gateway.shed.contains("small"));
    }

    @Test
    void responsesThatLayUnreadWhileTheGatewayWasHeldUpBoundNothing() {
        responsesThatTakeLong(400);
        assertFalse(gateway.logs.stream().anyMatch(l -> l.startsWith("room bounded")), gateway.logs.toString());
    }

    @Test
    void attemptsThatStayInFlightBoundTheCapacityThoughNoneIsAnswered() {
        gateway.start(new DecisionSettings.Limits(4, false, true, false, true, 2000, 15_000, false), 2);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            endpoints.add(up("h" + i));
        }
        gateway.list(true, endpoints.toArray(new Endpoint[0]));
        for (int t = 0; t < 3000; t += 50) {
            gateway.until(t);
            gateway.module.requestArrived(t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 1500, 2, false));
        }
        assertTrue(gateway.logs.stream().anyMatch(l -> l.startsWith("room bounded")), "silence is no calm");
    }

    @Test
    void unansweredAttemptsWhereTheRestIsServedQuicklyAreNoPressure() {
        gateway.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            endpoints.add(up("h" + i));
        }
        gateway.list(true, endpoints.toArray(new Endpoint[0]));
        for (int t = 0; t < 6000; t += 50) {
            gateway.until(t);
            int before = gateway.sends.size();
            gateway.module.requestArrived(t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 1500, 2, false));
            gateway.until(t + 40);
            if (t / 50 % 7 != 0 && gateway.sends.size() > before) {
                String[] s = gateway.sends.get(before).split("@");
                gateway.endAttempt(s[0], s[1], 0, AttemptStatus.SERVED);
            }
        }
        assertFalse(gateway.logs.stream().anyMatch(l -> l.startsWith("room bounded")), gateway.logs.toString());
    }

    @Test
    void aSurgeIsQueuedBeforeItOverrunsTheBackends() {
        gateway.start(gateway.limits, 1);
        gateway.list(true, up("h1"), up("h2"));
        for (int i = 0; i < 50; i++) {
            gateway.module.requestArrived(0, new AdmissionRequest("r" + i, "look", "open", "c" + i, 1, 4000, 1, false));
        }
        assertEquals(6, gateway.sends.size());
    }

    @Test
    void oneLateResponseASecondBoundsTheCapacityInTime() {
        gateway.start(gateway.limits, 200);
        gateway.list(true, up("h1"), up("h2"));
        for (int t = 0; t <= 8000; t += 1000) {
            gateway.until(t);
            gateway.module.requestArrived(
                    t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 4000, 200, false));
            gateway.until(t + 900);
            gateway.module.attemptEnded(
                    t + 900, new AttemptOutcome("r" + t, "h1", 0, AttemptStatus.SERVED, 900, true, -1, 0, null));
        }
        assertTrue(gateway.logs.stream().anyMatch(l -> l.startsWith("room bounded")), gateway.logs.toString());
    }
}
