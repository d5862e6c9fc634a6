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

    /** A gateway of two, started now. */
    private static RecordingGateway gatewayStartedAt(double now, DecisionSettings.Plan plan) {
        RecordingGateway gateway = new RecordingGateway();
        gateway.now = now;
        gateway.module =
                new AdmissionController(now, settings(gateway.limits, 2, List.of(SAFE), List.of(plan)), 7, gateway);
        gateway.list(true, up("h1"), up("h2"));
        return gateway;
    }

    /** Has so many requests of one unit come at once, each served at once, and returns how many were forwarded. */
    private static int sendsOf(RecordingGateway gateway, int requests) {
        int before = gateway.sends.size();
        for (int i = 0; i < requests; i++) {
            String id = gateway.now + "-" + i;
            gateway.submit(id, "look", "capped", 4000);
            gateway.endAttempt(id, "", 0, AttemptStatus.SERVED);
        }
        return gateway.sends.size() - before;
    }

    @Test
    void theCeilingsPartsOfAllGatewaysNeverPassTheWholeHoweverOftenOneStartsAgain() {
        int sent = 0;
        for (int i = 0; i < 2; i++) {
            RecordingGateway gateway = gatewayStartedAt(0, CAPPED);
            sendsOf(gateway, 1);
            gateway.until(10_000);
            sent += sendsOf(gateway, 40);
        }
        assertEquals(8, sent, "two parts of 12 units, one kept back");
        for (int restart = 0; restart < 5; restart++) {
            RecordingGateway gateway = gatewayStartedAt(10_000, CAPPED);
            gateway.until(12_000);
            sent += sendsOf(gateway, 40);
        }
        assertTrue(sent <= 12, "two gateways, one of them started five times more, sent " + sent);
    }

    @Test
    void aRequestWithinItsQuotaWaitsForItsPartOfTheCeiling() {
        RecordingGateway gateway = gatewayStartedAt(0, CAPPED);
        sendsOf(gateway, 1);
        gateway.until(10_000);
        sendsOf(gateway, 4);
        gateway.until(10_300);
        assertEquals(0, sendsOf(gateway, 1), "0.6 units are there");
        gateway.until(10_650);
        assertEquals("10300.0-0@", gateway.sends.get(gateway.sends.size() - 1).substring(0, 10));
        assertFalse(gateway.shed.contains("10300.0-0"));
    }

    @Test
    void aPartOfACeilingThatFillsSlowlyIsNotForgottenBeforeItIsFull() {
        RecordingGateway gateway =
                gatewayStartedAt(0, new DecisionSettings.Plan("capped", 100, 100, 0, 1, 0, 1, 0.1, 12, 1));
        sendsOf(gateway, 1);
        gateway.until(200_000);
        assertEquals(4, sendsOf(gateway, 10));
        gateway.until(265_000);
        assertEquals(3, sendsOf(gateway, 10), "0.05 units a second for 65 s");
    }

    @Test
    void theCapOnRequestsInFlightHoldsUntilOneReturns() {
        gateway.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        gateway.list(true, up("h1"), up("h2"));
        for (int i = 0; i < 3; i++) {
            gateway.submit("r" + i, "look", "open", 4000);
        }
        assertEquals(2, gateway.sends.size());
        gateway.until(50);
        String[] s = gateway.sends.get(0).split("@");
        gateway.endAttempt(s[0], s[1], 0, AttemptStatus.SERVED);
        assertEquals(3, gateway.sends.size());
    }

    @Test
    void aTenantSettlesNearItsQuotaOverSeveralPeriods() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        int before = 0;
        for (int t = 0; t < 30_000; t += 100) {
            gateway.until(t);
            gateway.submit("r" + t, "look", "plain", 900);
            while (gateway.cancelled.size() < gateway.sends.size()) {
                String[] s = gateway.sends.get(gateway.cancelled.size()).split("@");
                gateway.cancelled.add(s[0]);
                gateway.module.attemptEnded(
                        t, new AttemptOutcome(s[0], s[1], 0, AttemptStatus.SERVED, 50, true, 100, 0, null));
            }
            before = t == 20_000 ? gateway.sends.size() : before;
        }
        int passed = gateway.sends.size() - before;
        assertTrue(passed >= 10 && passed <= 30, "10 a second asked, 2 a second allowed, passed in 10 s: " + passed);
    }

    @Test
    void oneArrivalAtOneOfManyGatewaysIsNoFlood() {
        gateway.start(gateway.limits, 200);
        gateway.list(true, up("h1"), up("h2"), up("h3"));
        for (int i = 0; i < 100; i++) {
            gateway.module.requestArrived(
                    0, new AdmissionRequest("r" + i, "look", "plain", "c" + i, 1, 4000, 200, false));
            gateway.endAttempt("r" + i, "", 0, AttemptStatus.SERVED);
        }
        assertTrue(gateway.sends.size() >= 30, "of 100 tenants' first requests passed " + gateway.sends.size());
    }

    @Test
    void reportsOfHeavyTenantsDoNotShedUnseenOnes() {
        gateway.start(gateway.limits, 200);
        gateway.list(true, up("h1"), up("h2"), up("h3"));
        int sent = 0;
        for (int t = 0; t < 60_000; t += 100) {
            gateway.until(t);
            boolean heavy = t % 200 == 0;
            String id = "r" + t;
            String tenant = heavy ? "heavy" + t / 200 % 20 : "calm" + t;
            int before = gateway.sends.size();
            gateway.module.requestArrived(t, new AdmissionRequest(id, "look", "plain", tenant, 1, 4000, 200, false));
            if (gateway.sends.size() > before) {
                sent += !heavy && t > 30_000 ? 1 : 0;
                gateway.module.attemptEnded(
                        t,
                        new AttemptOutcome(
                                id,
                                "h1",
                                0,
                                AttemptStatus.SERVED,
                                50,
                                true,
                                heavy || t % 900 == 0 ? 400 : 30,
                                0,
                                null));
            }
        }
        assertTrue(sent >= 100, "of 150 calm tenants never reported passed " + sent);
    }

    @Test
    void manyGatewaysTogetherKeepATenantNearItsQuota() {
        int gateways = 40;
        List<RecordingGateway> fleet = new ArrayList<>();
        for (int g = 0; g < gateways; g++) {
            RecordingGateway each = new RecordingGateway();
            each.start(each.limits, gateways);
            each.list(true, up("h1"), up("h2"), up("h3"));
            fleet.add(each);
        }
        java.util.Random random = new java.util.Random(5);
        int[] used = new int[61];
        for (int t = 0; t < 60_000; t += 50) {
            int second = t / 1000;
            RecordingGateway each = fleet.get(random.nextInt(gateways));
            each.until(t);
            each.module.requestArrived(
                    t, new AdmissionRequest("r" + t, "look", "plain", "c", 1, 4000, gateways, false));
            if (!each.shed.contains("r" + t)) {
                used[second]++;
                int reported = second < 2 ? -1 : used[second - 2] * 50; // a plain tenant's rate is 2 a second
                each.module.attemptEnded(
                        t, new AttemptOutcome("r" + t, "h1", 0, AttemptStatus.SERVED, 50, true, reported, 0, null));
            }
        }
        int passed = 0;
        for (int second = 30; second < 60; second++) {
            passed += used[second];
        }
        assertTrue(passed >= 30 && passed <= 120, "600 asked, 60 in quota, passed " + passed);
    }

    /**
     * After a release all tenants are new: the size of an request is learnt from the first, not over a minute of
     * refusals.
     */
    @Test
    void aGatewayThatHasJustStartedAdmitsBigRequestsOfCalmTenants() {
        int sent = 0;
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
            each.list(true, up("h1"), up("h2"));
            for (int i = 0; i < 40; i++) {
                each.until(i * 100);
                int from = each.sends.size();
                each.module.requestArrived(
                        i * 100, new AdmissionRequest("r" + i, "look", "plain", "c" + i, 5, 4000, 14, false));
                if (each.sends.size() > from) {
                    sent++;
                    each.module.attemptEnded(
                            i * 100,
                            new AttemptOutcome(
                                    "r" + i,
                                    each.sends.get(from).split("@")[1],
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
        assertTrue(sent >= 400, "of 560 first requests " + sent);
    }
}
