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
    void everyRequestIsAnsweredBeforeItsBudgetEndsThoughNoBackendIsKnown() {
        gateway.start(gateway.limits, 2);
        gateway.list(true);
        gateway.submit("a", "look", "plain", 4000);
        gateway.submit("b", "buy", "plain", 4000);
        gateway.until(4000);
        assertEquals(2, gateway.shed.size());
        gateway.until(9000);
        assertEquals(2, gateway.shed.size() + gateway.failed.size());
    }

    @Test
    void aRequestLostAtABackendIsAnsweredBeforeItsBudgetEnds() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        gateway.submit("a", "look", "plain", 4000);
        gateway.submit("b", "buy", "plain", 4000);
        gateway.until(3999);
        assertEquals(List.of("a"), gateway.shed);
        assertEquals(List.of("b"), gateway.failed);
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsNeitherRetriedNorShed() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        gateway.warmUp();
        gateway.submit("a", "buy", "plain", 4000);
        gateway.until(100);
        gateway.endAttempt("a", "h1", 0, AttemptStatus.ERROR);
        assertEquals(1, gateway.sends.size());
        assertEquals(List.of("a"), gateway.failed);
        assertTrue(gateway.shed.isEmpty());
    }

    @Test
    void anUnsafeRequestThatNeverRanIsRetried() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        gateway.submit("a", "buy", "plain", 4000);
        gateway.endAttempt("a", "h1", 0, AttemptStatus.REJECTED);
        assertEquals(2, gateway.sends.size());
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsZoneAndIsNotShed() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), endpoint("w1", "west", EndpointState.UP, 0));
        for (int i = 0; i < 40; i++) {
            int from = gateway.sends.size();
            gateway.module.requestArrived(
                    gateway.now, new AdmissionRequest("k" + i, "mark", "plain", "c" + i, 1, 4000, 2, false));
            gateway.endAttempt("k" + i, "", 0, AttemptStatus.ERROR);
            if (gateway.sends.size() > from + 1) {
                gateway.endAttempt("k" + i, "", 1, AttemptStatus.SERVED);
            }
        }
        assertTrue(gateway.sends.size() > 40, "some are sent again");
        for (int i = 0; i < 40; i++) {
            String id = "k" + i;
            List<String> to = gateway.sends.stream()
                    .filter(s -> s.startsWith(id + "@"))
                    .distinct()
                    .toList();
            assertEquals(1, to.size(), to.toString());
            assertFalse(gateway.shed.contains(id));
        }
    }

    @Test
    void aKeyedRequestIsNotRetriedPastItsWindow() {
        gateway.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        gateway.list(true, up("h1"), up("h2"));
        gateway.warmUp();
        gateway.submit("k0", "mark", "open", 8000);
        gateway.until(3001);
        gateway.endAttempt("k0", "h1", 0, AttemptStatus.ERROR);
        assertEquals(1, gateway.sends.stream().filter(s -> s.startsWith("k0@")).count());
        assertEquals(List.of("k0"), gateway.failed);
    }

    @Test
    void neverTwoAttemptsAtOnceWhereTheSiteForbidsIt() {
        gateway.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        gateway.list(true, up("h1"), up("h2"));
        gateway.warmUp();
        gateway.submit("a", "look", "plain", 4000);
        gateway.until(3900);
        assertEquals(1, gateway.sends.size());
    }

    @Test
    void aSlowAttemptIsHedgedWhereTheSiteAllowsIt() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        gateway.warmUp();
        gateway.submit("a", "look", "plain", 4000);
        gateway.until(3900);
        assertEquals(2, gateway.sends.size());
    }

    @Test
    void nothingIsHedgedWhereAllBackendsAreSlow() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"), up("h3"), up("h4"), up("h5"), up("h6"));
        gateway.warmUp();
        for (int i = 0; i < 4; i++) {
            gateway.module.requestArrived(
                    gateway.now, new AdmissionRequest("r" + i, "look", "plain", "c" + i, 1, 4000, 2, false));
        }
        assertEquals(4, gateway.sends.size());
        gateway.until(3900);
        assertEquals(5, gateway.sends.size(), "the first gets one");
    }

    @Test
    void aRequestThatCannotBeServedIsAnsweredAtOnce() {
        gateway.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        gateway.list(true, up("h1"));
        gateway.submit("short", "look", "open", 200);
        gateway.endAttempt("short", "h1", 0, AttemptStatus.REJECTED);
        assertEquals(List.of("short"), gateway.shed, "no backend, no time to wait for one");
        gateway.submit("next", "look", "open", 200);
        assertEquals(List.of("short", "next"), gateway.shed, "no backend, no time to wait for one");
        gateway.submit("keyed", "mark", "open", 8000);
        gateway.until(1500);
        gateway.submit("wait", "look", "open", 4000);
        gateway.until(2200);
        gateway.endAttempt("keyed", "h1", 0, AttemptStatus.UNREACHABLE);
        gateway.until(2300);
        assertTrue(gateway.shed.contains("keyed"), "rejected past its wait: " + gateway.shed);
        gateway.until(2900);
        assertEquals(
                4,
                gateway.shed.size()
                        + gateway.failed.size()
                        + gateway.sends.stream()
                                .filter(x -> x.startsWith("wait@"))
                                .count(),
                "none waits for its deadline");
    }

    /** Guards against a release of the queue that loses or repeats requests which go back to it while it is read. */
    @Test
    void requestsThatGoBackToTheirQueueAreForwardedOnceAndInTheirOrder() {
        gateway.start(gateway.limits, 2);
        gateway.list(
                true,
                endpoint("h1", "east", EndpointState.DRAINING, 0),
                endpoint("h2", "east", EndpointState.DRAINING, 0),
                endpoint("h3", "east", EndpointState.DRAINING, 0));
        List<String> submitted = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            submitted.add("r" + i);
            gateway.submit("r" + i, "look", "open", 4000);
        }
        gateway.until(100);
        assertEquals(List.of(), gateway.sends);
        assertEquals(List.of(), gateway.shed);
        gateway.list(true, up("h1"), up("h2"), up("h3"));
        for (int served = 0; served < submitted.size(); ) {
            gateway.until(gateway.now + 20);
            for (; served < gateway.sends.size(); served++) {
                String[] attempt = gateway.sends.get(served).split("@");
                gateway.endAttempt(attempt[0], attempt[1], 0, AttemptStatus.SERVED);
            }
            assertTrue(gateway.now < 4000, "sent " + gateway.sends + ", shed " + gateway.shed);
        }
        assertEquals(
                submitted,
                gateway.sends.stream().map(each -> each.split("@")[0]).toList());
    }
}
