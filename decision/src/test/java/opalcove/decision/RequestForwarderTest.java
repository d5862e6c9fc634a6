package opalcove.decision;

import static opalcove.decision.RecordingGateway.endpoint;
import static opalcove.decision.RecordingGateway.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestForwarderTest {
    private final RecordingGateway gateway = new RecordingGateway();

    @Test
    void endsEveryRequestBeforeItsBudgetEndsWhenNoBackendIsKnown() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true);
        gateway.submit("a", "look", "plain", 4000);
        gateway.submit("b", "buy", "plain", 4000);
        gateway.advanceTo(4000);
        assertEquals(2, gateway.shed.size());
        gateway.advanceTo(9000);
        assertEquals(2, gateway.shed.size() + gateway.failed.size());
    }

    @Test
    void endsRequestBeforeItsBudgetEndsWhenBackendNeverResponds() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        gateway.submit("a", "look", "plain", 4000);
        gateway.submit("b", "buy", "plain", 4000);
        gateway.advanceTo(3999);
        assertEquals(List.of("a"), gateway.shed);
        assertEquals(List.of("b"), gateway.failed);
    }

    @Test
    void failsUnsafeRequestWithoutRetryWhenItMayHaveRun() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        gateway.fillRetryBudget();
        gateway.submit("a", "buy", "plain", 4000);
        gateway.advanceTo(100);
        gateway.endAttempt("a", "h1", 0, AttemptStatus.ERROR);
        assertEquals(1, gateway.attempts.size());
        assertEquals(List.of("a"), gateway.failed);
        assertTrue(gateway.shed.isEmpty());
    }

    @Test
    void retriesUnsafeRequestThatNeverRan() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        gateway.submit("a", "buy", "plain", 4000);
        gateway.endAttempt("a", "h1", 0, AttemptStatus.REJECTED);
        assertEquals(2, gateway.attempts.size());
    }

    @Test
    void retriesKeyedRequestOnlyInItsZoneAndDoesNotShedItWhenItMayHaveRun() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), endpoint("w1", "west", EndpointState.UP, 0));
        for (int i = 0; i < 40; i++) {
            int before = gateway.attempts.size();
            gateway.module.requestArrived(
                    gateway.nowMs, new AdmissionRequest("k" + i, "mark", "plain", "c" + i, 1, 4000, 2, false));
            gateway.endAttempt("k" + i, "", 0, AttemptStatus.ERROR);
            if (gateway.attempts.size() > before + 1) {
                gateway.endAttempt("k" + i, "", 1, AttemptStatus.SERVED);
            }
        }
        assertTrue(gateway.attempts.size() > 40, "some requests are retried");
        for (int i = 0; i < 40; i++) {
            String id = "k" + i;
            List<String> distinctAttempts = gateway.attempts.stream()
                    .filter(attempt -> attempt.startsWith(id + "@"))
                    .distinct()
                    .toList();
            assertEquals(1, distinctAttempts.size(), distinctAttempts.toString());
            assertFalse(gateway.shed.contains(id));
        }
    }

    @Test
    void doesNotRetryKeyedRequestAfterItsWindow() {
        gateway.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        gateway.fillRetryBudget();
        gateway.submit("k0", "mark", "open", 8000);
        gateway.advanceTo(3001);
        gateway.endAttempt("k0", "h1", 0, AttemptStatus.ERROR);
        assertEquals(
                1,
                gateway.attempts.stream()
                        .filter(attempt -> attempt.startsWith("k0@"))
                        .count());
        assertEquals(List.of("k0"), gateway.failed);
    }

    @Test
    void startsNoSecondAttemptWhenHedgingIsForbidden() {
        gateway.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        gateway.fillRetryBudget();
        gateway.submit("a", "look", "plain", 4000);
        gateway.advanceTo(3900);
        assertEquals(1, gateway.attempts.size());
    }

    @Test
    void hedgesSlowAttemptWhenHedgingIsAllowed() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        gateway.fillRetryBudget();
        gateway.submit("a", "look", "plain", 4000);
        gateway.advanceTo(3900);
        assertEquals(2, gateway.attempts.size());
    }

    @Test
    void hedgesOnlyFirstRequestWhenAllBackendsAreSlow() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"), up("h3"), up("h4"), up("h5"), up("h6"));
        gateway.fillRetryBudget();
        for (int i = 0; i < 4; i++) {
            gateway.module.requestArrived(
                    gateway.nowMs, new AdmissionRequest("r" + i, "look", "plain", "c" + i, 1, 4000, 2, false));
        }
        assertEquals(4, gateway.attempts.size());
        gateway.advanceTo(3900);
        assertEquals(5, gateway.attempts.size(), "only the first request is hedged");
    }

    @Test
    void endsRequestEarlyWhenItCannotBeServed() {
        gateway.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        gateway.updateEndpoints(true, up("h1"));
        gateway.submit("short", "look", "open", 200);
        gateway.endAttempt("short", "h1", 0, AttemptStatus.REJECTED);
        assertEquals(List.of("short"), gateway.shed, "no backend is available, and there is no time to wait for one");
        gateway.submit("next", "look", "open", 200);
        assertEquals(
                List.of("short", "next"),
                gateway.shed,
                "no backend is available, and there is no time to wait for one");
        gateway.submit("keyed", "mark", "open", 8000);
        gateway.advanceTo(1500);
        gateway.submit("wait", "look", "open", 4000);
        gateway.advanceTo(2200);
        gateway.endAttempt("keyed", "h1", 0, AttemptStatus.UNREACHABLE);
        gateway.advanceTo(2300);
        assertTrue(gateway.shed.contains("keyed"), "rejected after its maximum time in the queue: " + gateway.shed);
        gateway.advanceTo(2900);
        assertEquals(
                4,
                gateway.shed.size()
                        + gateway.failed.size()
                        + gateway.attempts.stream()
                                .filter(attempt -> attempt.startsWith("wait@"))
                                .count(),
                "every request ends before its deadline");
    }

    /** Releasing a queue must not lose or repeat requests that return to it while it is read. */
    @Test
    void forwardsRequestsOnceAndInOrderWhenTheyReturnToTheirQueue() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(
                true,
                endpoint("h1", "east", EndpointState.DRAINING, 0),
                endpoint("h2", "east", EndpointState.DRAINING, 0),
                endpoint("h3", "east", EndpointState.DRAINING, 0));
        List<String> submitted = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            submitted.add("r" + i);
            gateway.submit("r" + i, "look", "open", 4000);
        }
        gateway.advanceTo(100);
        assertEquals(List.of(), gateway.attempts);
        assertEquals(List.of(), gateway.shed);
        gateway.updateEndpoints(true, up("h1"), up("h2"), up("h3"));
        for (int served = 0; served < submitted.size(); ) {
            gateway.advanceTo(gateway.nowMs + 20);
            for (; served < gateway.attempts.size(); served++) {
                String[] attempt = gateway.attempts.get(served).split("@");
                gateway.endAttempt(attempt[0], attempt[1], 0, AttemptStatus.SERVED);
            }
            assertTrue(gateway.nowMs < 4000, "attempts " + gateway.attempts + ", shed " + gateway.shed);
        }
        assertEquals(
                submitted,
                gateway.attempts.stream().map(each -> each.split("@")[0]).toList());
    }
}
