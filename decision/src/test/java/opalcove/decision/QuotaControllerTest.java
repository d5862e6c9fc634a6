package opalcove.decision;

import static opalcove.decision.RecordingGateway.CAPPED;
import static opalcove.decision.RecordingGateway.SAFE;
import static opalcove.decision.RecordingGateway.settings;
import static opalcove.decision.RecordingGateway.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class QuotaControllerTest {
    private final RecordingGateway gateway = new RecordingGateway();

    /** Starts one of two gateways at this time, ms. */
    private static RecordingGateway startGatewayAt(double nowMs, DecisionSettings.Plan plan) {
        RecordingGateway gateway = new RecordingGateway();
        gateway.nowMs = nowMs;
        gateway.module =
                new AdmissionController(nowMs, settings(gateway.limits, 2, List.of(SAFE), List.of(plan)), 7, gateway);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        return gateway;
    }

    /**
     * Submits this number of requests of one unit at the same time, serves each immediately, and returns how many were
     * forwarded.
     */
    private static int submitAndServe(RecordingGateway gateway, int requests) {
        int before = gateway.attempts.size();
        for (int i = 0; i < requests; i++) {
            String id = gateway.nowMs + "-" + i;
            gateway.submit(id, "look", "capped", 4000);
            gateway.endAttempt(id, "", 0, AttemptStatus.SERVED);
        }
        return gateway.attempts.size() - before;
    }

    @Test
    void gatewaysStayWithinCeilingTogetherWhenOneRestartsRepeatedly() {
        int forwarded = 0;
        for (int i = 0; i < 2; i++) {
            RecordingGateway gateway = startGatewayAt(0, CAPPED);
            submitAndServe(gateway, 1);
            gateway.advanceTo(10_000);
            forwarded += submitAndServe(gateway, 40);
        }
        assertEquals(8, forwarded, "two of three parts of the 12 units; the third is reserved");
        for (int restart = 0; restart < 5; restart++) {
            RecordingGateway gateway = startGatewayAt(10_000, CAPPED);
            gateway.advanceTo(12_000);
            forwarded += submitAndServe(gateway, 40);
        }
        assertTrue(forwarded <= 12, "two gateways, one of which restarted five times, forwarded " + forwarded);
    }

    @Test
    void queuesRequestWithinItsQuotaWhenPartOfCeilingIsUsedUp() {
        RecordingGateway gateway = startGatewayAt(0, CAPPED);
        submitAndServe(gateway, 1);
        gateway.advanceTo(10_000);
        submitAndServe(gateway, 4);
        gateway.advanceTo(10_300);
        assertEquals(0, submitAndServe(gateway, 1), "the part of the ceiling has 0.6 units");
        gateway.advanceTo(10_650);
        assertEquals(
                "10300.0-0@", gateway.attempts.get(gateway.attempts.size() - 1).substring(0, 10));
        assertFalse(gateway.shed.contains("10300.0-0"));
    }

    @Test
    void remembersPartOfCeilingUntilItIsFullWhenItFillsSlowly() {
        RecordingGateway gateway =
                startGatewayAt(0, new DecisionSettings.Plan("capped", 100, 100, 0, 1, 0, 1, 0.1, 12, 1));
        submitAndServe(gateway, 1);
        gateway.advanceTo(200_000);
        assertEquals(4, submitAndServe(gateway, 10));
        gateway.advanceTo(265_000);
        assertEquals(3, submitAndServe(gateway, 10), "0.05 units a second for 65 s");
    }

    @Test
    void forwardsNextRequestOnlyAfterAnotherEndsWhenInFlightCapIsReached() {
        gateway.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        for (int i = 0; i < 3; i++) {
            gateway.submit("r" + i, "look", "open", 4000);
        }
        assertEquals(2, gateway.attempts.size());
        gateway.advanceTo(50);
        String[] attempt = gateway.attempts.get(0).split("@");
        gateway.endAttempt(attempt[0], attempt[1], 0, AttemptStatus.SERVED);
        assertEquals(3, gateway.attempts.size());
    }

    @Test
    void limitsTenantNearItsQuotaOverSeveralMeterPeriods() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        int before = 0;
        for (int timeMs = 0; timeMs < 30_000; timeMs += 100) {
            gateway.advanceTo(timeMs);
            gateway.submit("r" + timeMs, "look", "plain", 900);
            while (gateway.cancelled.size() < gateway.attempts.size()) {
                String[] attempt =
                        gateway.attempts.get(gateway.cancelled.size()).split("@");
                gateway.cancelled.add(attempt[0]);
                gateway.module.attemptEnded(
                        timeMs,
                        new AttemptOutcome(attempt[0], attempt[1], 0, AttemptStatus.SERVED, 50, true, 100, 0, null));
            }
            before = timeMs == 20_000 ? gateway.attempts.size() : before;
        }
        int forwarded = gateway.attempts.size() - before;
        assertTrue(
                forwarded >= 10 && forwarded <= 30,
                "10 a second submitted, 2 a second allowed, forwarded in 10 s: " + forwarded);
    }

    @Test
    void admitsFirstRequestsOfTenantsWhenThereAreManyGateways() {
        gateway.start(gateway.limits, 200);
        gateway.updateEndpoints(true, up("h1"), up("h2"), up("h3"));
        for (int i = 0; i < 100; i++) {
            gateway.module.requestArrived(
                    0, new AdmissionRequest("r" + i, "look", "plain", "c" + i, 1, 4000, 200, false));
            gateway.endAttempt("r" + i, "", 0, AttemptStatus.SERVED);
        }
        assertTrue(
                gateway.attempts.size() >= 30, "forwarded first requests of 100 tenants: " + gateway.attempts.size());
    }

    @Test
    void admitsUnreportedTenantsWhenReportsComeFromHeavyTenants() {
        gateway.start(gateway.limits, 200);
        gateway.updateEndpoints(true, up("h1"), up("h2"), up("h3"));
        int forwarded = 0;
        for (int timeMs = 0; timeMs < 60_000; timeMs += 100) {
            gateway.advanceTo(timeMs);
            boolean heavy = timeMs % 200 == 0;
            String id = "r" + timeMs;
            String tenant = heavy ? "heavy" + timeMs / 200 % 20 : "calm" + timeMs;
            int before = gateway.attempts.size();
            gateway.module.requestArrived(
                    timeMs, new AdmissionRequest(id, "look", "plain", tenant, 1, 4000, 200, false));
            if (gateway.attempts.size() > before) {
                forwarded += !heavy && timeMs > 30_000 ? 1 : 0;
                gateway.module.attemptEnded(
                        timeMs,
                        new AttemptOutcome(
                                id,
                                "h1",
                                0,
                                AttemptStatus.SERVED,
                                50,
                                true,
                                heavy || timeMs % 900 == 0 ? 400 : 30,
                                0,
                                null));
            }
        }
        assertTrue(forwarded >= 100, "forwarded requests of 150 tenants without reports: " + forwarded);
    }

    @Test
    void limitsTenantNearItsQuotaOverManyGateways() {
        int gateways = 40;
        List<RecordingGateway> fleet = new ArrayList<>();
        for (int g = 0; g < gateways; g++) {
            RecordingGateway each = new RecordingGateway();
            each.start(each.limits, gateways);
            each.updateEndpoints(true, up("h1"), up("h2"), up("h3"));
            fleet.add(each);
        }
        java.util.Random random = new java.util.Random(5);
        int[] used = new int[61];
        for (int timeMs = 0; timeMs < 60_000; timeMs += 50) {
            int second = timeMs / 1000;
            RecordingGateway each = fleet.get(random.nextInt(gateways));
            each.advanceTo(timeMs);
            each.module.requestArrived(
                    timeMs, new AdmissionRequest("r" + timeMs, "look", "plain", "c", 1, 4000, gateways, false));
            if (!each.shed.contains("r" + timeMs)) {
                used[second]++;
                int reported = second < 2 ? -1 : used[second - 2] * 50; // a plain tenant's rate is 2 a second
                each.module.attemptEnded(
                        timeMs,
                        new AttemptOutcome("r" + timeMs, "h1", 0, AttemptStatus.SERVED, 50, true, reported, 0, null));
            }
        }
        int forwarded = 0;
        for (int second = 30; second < 60; second++) {
            forwarded += used[second];
        }
        assertTrue(forwarded >= 30 && forwarded <= 120, "600 submitted, 60 within the quota, forwarded: " + forwarded);
    }

    /**
     * After the gateways were restarted for a release, all tenants are new to them. The units of a request must be
     * learnt from the first requests, not while requests are shed for a minute.
     */
    @Test
    void admitsLargeRequestsOfTenantsWithLittleUseWhenGatewayHasJustStarted() {
        int forwarded = 0;
        for (int g = 0; g < 14; g++) {
            RecordingGateway each = new RecordingGateway();
            each.module = new AdmissionController(
                    0,
                    settings(
                            each.limits,
                            14,
                            List.of(SAFE),
                            List.of(new DecisionSettings.Plan("plain", 4, 16, 0, 1, 0, 1, 0, 0, 0))),
                    g,
                    each);
            each.updateEndpoints(true, up("h1"), up("h2"));
            for (int i = 0; i < 40; i++) {
                each.advanceTo(i * 100);
                int from = each.attempts.size();
                each.module.requestArrived(
                        i * 100, new AdmissionRequest("r" + i, "look", "plain", "c" + i, 5, 4000, 14, false));
                if (each.attempts.size() > from) {
                    forwarded++;
                    each.module.attemptEnded(
                            i * 100,
                            new AttemptOutcome(
                                    "r" + i,
                                    each.attempts.get(from).split("@")[1],
                                    0,
                                    AttemptStatus.SERVED,
                                    100,
                                    true,
                                    -1,
                                    0,
                                    null));
                }
            }
        }
        assertTrue(forwarded >= 400, "forwarded first requests of 560: " + forwarded);
    }
}
