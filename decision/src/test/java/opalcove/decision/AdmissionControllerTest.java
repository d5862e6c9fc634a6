package opalcove.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {
    private static final DecisionSettings.RequestClass SAFE = new DecisionSettings.RequestClass(
            "look", 2, 0, 1000, 4000, Idempotency.SAFE, DeduplicationScope.ALL, 0, false);
    private static final DecisionSettings.RequestClass KEYED = new DecisionSettings.RequestClass(
            "mark", 3, 0, 1000, 8000, Idempotency.KEYED, DeduplicationScope.ZONE, 3000, false);
    private static final DecisionSettings.RequestClass UNSAFE = new DecisionSettings.RequestClass(
            "buy", 5, 0, 1000, 8000, Idempotency.UNSAFE, DeduplicationScope.ALL, 0, false);
    private static final DecisionSettings.Plan PLAIN = new DecisionSettings.Plan("plain", 2, 4, 0, 1, 0, 1, 0, 0, 0);
    private static final DecisionSettings.Plan CAPPED =
            new DecisionSettings.Plan("capped", 100, 100, 0, 1, 0, 1, 4, 12, 1);
    private static final DecisionSettings.Plan OPEN = new DecisionSettings.Plan("open", 100, 100, 2, 1, 0, 1, 0, 0, 0);

    private final World world = new World();

    /** A gateway that notes what the module does. */
    private static final class World implements DecisionActions {
        final List<String> sends = new ArrayList<>();
        final List<String> refused = new ArrayList<>();
        final List<Double> advice = new ArrayList<>();
        final List<String> failed = new ArrayList<>();
        final List<String> cancelled = new ArrayList<>();
        final List<String> logs = new ArrayList<>();
        final List<double[]> wakes = new ArrayList<>();
        final DecisionSettings.Limits limits =
                new DecisionSettings.Limits(4, true, true, false, true, 2000, 15_000, false);
        AdmissionController policy;
        double now;

        /** One of so many gateways, with a seed of its own. */
        static World of(int gateways, long seed) {
            World world = new World();
            world.start(world.limits, gateways, seed);
            return world;
        }

        void start(DecisionSettings.Limits limits, int gateways) {
            start(limits, gateways, 7);
        }

        private void start(DecisionSettings.Limits limits, int gateways, long seed) {
            policy = new AdmissionController(
                    now,
                    settings(limits, gateways, List.of(SAFE, KEYED, UNSAFE), List.of(PLAIN, CAPPED, OPEN)),
                    seed,
                    this);
        }

        void list(boolean whole, Endpoint... lines) {
            policy.endpointsChanged(now, whole, List.of(lines));
        }

        void ask(String id, String cls, String plan, double budget) {
            policy.requestArrived(now, new AdmissionRequest(id, cls, plan, "c", 1, budget, 2, false));
        }

        void ends(String id, String host, int attempt, AttemptStatus result) {
            policy.attemptEnded(
                    now,
                    new AttemptOutcome(id, host, attempt, result, 50, result == AttemptStatus.SERVED, -1, 0, null));
        }

        /** Lets time pass, with every timer in its turn. */
        void until(double time) {
            while (true) {
                double[] next = null;
                for (double[] each : wakes) {
                    next = each[0] <= time && (next == null || each[0] < next[0]) ? each : next;
                }
                if (next == null) {
                    break;
                }
                wakes.remove(next);
                now = Math.max(now, next[0]);
                policy.timerExpired(now, (long) next[1]);
            }
            now = time;
        }

        @Override
        public void startAttempt(String id, String host, double timeoutMs) {
            sends.add(id + "@" + host);
        }

        @Override
        public void shed(String id, double retryAfterMs) {
            refused.add(id);
            advice.add(retryAfterMs);
        }

        @Override
        public void fail(String id) {
            failed.add(id);
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            cancelled.add(id);
        }

        @Override
        public void setTimer(long token, double afterMs) {
            wakes.add(new double[] {now + afterMs, token});
        }

        @Override
        public void checkHealth(String host) {
            throw new AssertionError("probes are not allowed");
        }

        @Override
        public void subscribeToEndpoints() {
            throw new AssertionError("the list is pushed");
        }

        @Override
        public void log(String line) {
            logs.add(line);
        }
    }

    /** Serves thirty requests at once, so that the budget for further attempts is there. */
    private void warmUp() {
        for (int i = 0; i < 30; i++) {
            world.policy.requestArrived(
                    world.now, new AdmissionRequest("w" + i, "look", "open", "w" + i, 1, 4000, 2, false));
            world.ends("w" + i, "", 0, AttemptStatus.SERVED);
        }
        world.sends.clear();
    }

    private static DecisionSettings settings(
            DecisionSettings.Limits limits,
            int gateways,
            List<DecisionSettings.RequestClass> classes,
            List<DecisionSettings.Plan> plans) {
        return new DecisionSettings(
                0,
                gateways,
                "east",
                2,
                1000,
                false,
                classes,
                plans,
                limits,
                new DecisionSettings.Obligations(8, 0.2, 10_000, 2, 3000, false, 0),
                new DecisionSettings.Costs(0, 0, 0, 0),
                LoadReportSource.NONE,
                List.of());
    }

    private static Endpoint host(String id, String zone, EndpointState state, double started) {
        return new Endpoint(id, zone, "any", 0, state, 1, started);
    }

    private static Endpoint up(String id) {
        return host(id, "east", EndpointState.UP, 0);
    }

    @Test
    void splitGivesFloorsThenTheRestByTheRootOfWeightTimesDemand() {
        double[] share = CapacityAllocator.allocate(
                19, new double[] {4, 1}, new double[] {4, 4}, new double[] {2, 2}, new double[] {99, 99});
        assertArrayEquals(new double[] {2 + 15 * 2.0 / 3, 2 + 15 / 3.0}, share, 1e-9);
    }

    @Test
    void splitClampsAndDealsTheExcessAgain() {
        double[] share = CapacityAllocator.allocate(
                19, new double[] {4, 1}, new double[] {4, 4}, new double[] {2, 2}, new double[] {5, 99});
        assertArrayEquals(new double[] {5, 14}, share, 1e-9);
    }

    @Test
    void floorsAboveTheRoomAreFilledFromTheTop() {
        double[] share = CapacityAllocator.allocate(
                5, new double[] {4, 2, 1}, new double[] {4, 4, 4}, new double[] {3, 3, 3}, new double[] {9, 9, 9});
        assertArrayEquals(new double[] {3, 2, 0}, share, 1e-9);
    }

    @Test
    void aDearClassWithMuchDemandHasItsWeightRaised() {
        double[] share = CapacityAllocator.allocate(
                10, new double[] {2, 1}, new double[] {8, 1}, new double[] {0, 0}, new double[] {99, 99});
        assertTrue(share[0] / 8 >= share[1] / 1 - 1e-9, "the dear class's quality is no worse");
    }

    @Test
    void noDemandGetsNoShareAndOneClassGetsAll() {
        assertArrayEquals(
                new double[] {0, 6},
                CapacityAllocator.allocate(
                        6, new double[] {2, 1}, new double[] {0, 3}, new double[] {0, 1}, new double[] {9, 9}),
                1e-9);
        assertArrayEquals(
                new double[] {6},
                CapacityAllocator.allocate(6, new double[] {2}, new double[] {3}, new double[] {1}, new double[] {9}),
                1e-9);
    }

    @Test
    void everyRequestIsAnsweredBeforeItsBudgetEndsThoughNoHostIsKnown() {
        world.start(world.limits, 2);
        world.list(true);
        world.ask("a", "look", "plain", 4000);
        world.ask("b", "buy", "plain", 4000);
        world.until(4000);
        assertEquals(2, world.refused.size());
        world.until(9000);
        assertEquals(2, world.refused.size() + world.failed.size());
    }

    @Test
    void aRequestLostAtAHostIsAnsweredBeforeItsBudgetEnds() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        world.ask("a", "look", "plain", 4000);
        world.ask("b", "buy", "plain", 4000);
        world.until(3999);
        assertEquals(List.of("a"), world.refused);
        assertEquals(List.of("b"), world.failed);
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsNeitherSentAgainNorRefused() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        warmUp();
        world.ask("a", "buy", "plain", 4000);
        world.until(100);
        world.ends("a", "h1", 0, AttemptStatus.ERROR);
        assertEquals(1, world.sends.size());
        assertEquals(List.of("a"), world.failed);
        assertTrue(world.refused.isEmpty());
    }

    @Test
    void anUnsafeRequestThatNeverRanIsSentAgain() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        world.ask("a", "buy", "plain", 4000);
        world.ends("a", "h1", 0, AttemptStatus.REJECTED);
        assertEquals(2, world.sends.size());
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsZoneAndIsNotRefused() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), host("w1", "west", EndpointState.UP, 0));
        for (int i = 0; i < 40; i++) {
            int from = world.sends.size();
            world.policy.requestArrived(
                    world.now, new AdmissionRequest("k" + i, "mark", "plain", "c" + i, 1, 4000, 2, false));
            world.ends("k" + i, "", 0, AttemptStatus.ERROR);
            if (world.sends.size() > from + 1) {
                world.ends("k" + i, "", 1, AttemptStatus.SERVED);
            }
        }
        assertTrue(world.sends.size() > 40, "some are sent again");
        for (int i = 0; i < 40; i++) {
            String id = "k" + i;
            List<String> to = world.sends.stream()
                    .filter(s -> s.startsWith(id + "@"))
                    .distinct()
                    .toList();
            assertEquals(1, to.size(), to.toString());
            assertFalse(world.refused.contains(id));
        }
    }

    @Test
    void aKeyedRequestIsNotSentAgainPastItsWindow() {
        world.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        world.list(true, up("h1"), up("h2"));
        warmUp();
        world.ask("k0", "mark", "open", 8000);
        world.until(3001);
        world.ends("k0", "h1", 0, AttemptStatus.ERROR);
        assertEquals(1, world.sends.stream().filter(s -> s.startsWith("k0@")).count());
        assertEquals(List.of("k0"), world.failed);
    }

    @Test
    void neverTwoAttemptsAtOnceWhereTheSiteForbidsIt() {
        world.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        world.list(true, up("h1"), up("h2"));
        warmUp();
        world.ask("a", "look", "plain", 4000);
        world.until(3900);
        assertEquals(1, world.sends.size());
    }

    @Test
    void aSlowAttemptGetsACopyWhereTheSiteAllowsIt() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        warmUp();
        world.ask("a", "look", "plain", 4000);
        world.until(3900);
        assertEquals(2, world.sends.size());
    }

    @Test
    void noCopiesAreSentWhereAllHostsAreSlow() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"), up("h3"), up("h4"), up("h5"), up("h6"));
        warmUp();
        for (int i = 0; i < 4; i++) {
            world.policy.requestArrived(
                    world.now, new AdmissionRequest("r" + i, "look", "plain", "c" + i, 1, 4000, 2, false));
        }
        assertEquals(4, world.sends.size());
        world.until(3900);
        assertEquals(5, world.sends.size(), "the first gets one");
    }

    @Test
    void nothingNewGoesToAHostThatDrainsOrIsGone() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"), up("h3"));
        world.list(false, host("h1", "east", EndpointState.DRAINING, 0));
        world.list(true, host("h1", "east", EndpointState.DRAINING, 0), up("h3"));
        for (int i = 0; i < 50; i++) {
            world.policy.requestArrived(
                    world.now, new AdmissionRequest("r" + i, "look", "open", "c" + i, 1, 4000, 2, false));
            String[] s = world.sends.get(i).split("@");
            world.ends(s[0], s[1], 0, AttemptStatus.SERVED);
        }
        assertEquals(50, world.sends.size());
        assertTrue(world.sends.stream().allMatch(s -> s.endsWith("@h3")));
    }

    @Test
    void aRequestWaitsWhileEveryHostDrainsOrIsGone() {
        world.start(world.limits, 2);
        world.list(true, host("h1", "east", EndpointState.DRAINING, 0), host("h2", "east", EndpointState.REMOVED, 0));
        world.ask("early", "look", "open", 4000);
        world.until(100);
        assertTrue(world.sends.isEmpty());
    }

    @Test
    void aColdHostGetsLessThanItsColdShareOfTheOthersPace() {
        world.start(world.limits, 1);
        world.list(true, up("h1"), up("h2"));
        int sent = serve(0, 4000);
        world.list(false, host("h3", "east", EndpointState.UP, world.now));
        int from = world.sends.size();
        serve(4000, 5000);
        long cold = world.sends.subList(from, world.sends.size()).stream()
                .filter(s -> s.endsWith("@h3"))
                .count();
        assertTrue(sent > 300);
        assertTrue(cold <= 0.3 * (world.sends.size() - from) / 2, "cold sends " + cold);
    }

    private int served;

    /** A request every 10 ms, each answered 50 ms later, also those that an earlier call has left. */
    private int serve(int from, int to) {
        int start = world.sends.size();
        for (int t = from; t < to; t += 10) {
            world.until(t);
            world.policy.requestArrived(t, new AdmissionRequest("s" + t, "look", "open", "c" + t, 1, 4000, 1, false));
            while (served < world.sends.size() - 5) {
                String[] s = world.sends.get(served++).split("@");
                world.ends(s[0], s[1], 0, AttemptStatus.SERVED);
            }
        }
        return world.sends.size() - start;
    }

    @Test
    void onlyColdHostsAndAllFullDoNotDrawAStormOfSends() {
        world.start(world.limits, 2);
        world.list(true, up("h1"));
        world.list(true, host("n1", "east", EndpointState.UP, 1));
        for (int t = 0; t < 3000; t += 20) {
            world.until(t);
            world.policy.requestArrived(t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 4000, 2, false));
            while (world.sends.size() > world.cancelled.size()) {
                String[] s = world.sends.get(world.cancelled.size()).split("@");
                world.cancelled.add(s[0]);
                world.ends(s[0], s[1], 0, AttemptStatus.REJECTED);
            }
        }
        assertTrue(world.sends.size() <= 4, "sends " + world.sends.size());
    }

    /** A gateway of two, started now. */
    private static World startedAt(double now, DecisionSettings.Plan plan) {
        World gateway = new World();
        gateway.now = now;
        gateway.policy =
                new AdmissionController(now, settings(gateway.limits, 2, List.of(SAFE), List.of(plan)), 7, gateway);
        gateway.list(true, up("h1"), up("h2"));
        return gateway;
    }

    /** Has so many requests of one unit come at once, each served at once, and says how many were sent on. */
    private static int sentOf(World gateway, int requests) {
        int before = gateway.sends.size();
        for (int i = 0; i < requests; i++) {
            String id = gateway.now + "-" + i;
            gateway.ask(id, "look", "capped", 4000);
            gateway.ends(id, "", 0, AttemptStatus.SERVED);
        }
        return gateway.sends.size() - before;
    }

    @Test
    void theCeilingsPartsOfAllGatewaysNeverPassTheWholeHoweverOftenOneStartsAgain() {
        int sent = 0;
        for (int i = 0; i < 2; i++) {
            World gateway = startedAt(0, CAPPED);
            sentOf(gateway, 1);
            gateway.until(10_000);
            sent += sentOf(gateway, 40);
        }
        assertEquals(8, sent, "two parts of 12 units, one kept back");
        for (int restart = 0; restart < 5; restart++) {
            World gateway = startedAt(10_000, CAPPED);
            gateway.until(12_000);
            sent += sentOf(gateway, 40);
        }
        assertTrue(sent <= 12, "two gateways, one of them started five times more, sent " + sent);
    }

    @Test
    void aRequestInsideItsQuotaWaitsForItsPartOfTheCeiling() {
        World gateway = startedAt(0, CAPPED);
        sentOf(gateway, 1);
        gateway.until(10_000);
        sentOf(gateway, 4);
        gateway.until(10_300);
        assertEquals(0, sentOf(gateway, 1), "0.6 units are there");
        gateway.until(10_650);
        assertEquals("10300.0-0@", gateway.sends.get(gateway.sends.size() - 1).substring(0, 10));
        assertFalse(gateway.refused.contains("10300.0-0"));
    }

    @Test
    void aPartOfACeilingThatFillsSlowlyIsNotForgottenBeforeItIsFull() {
        World gateway = startedAt(0, new DecisionSettings.Plan("capped", 100, 100, 0, 1, 0, 1, 0.1, 12, 1));
        sentOf(gateway, 1);
        gateway.until(200_000);
        assertEquals(4, sentOf(gateway, 10));
        gateway.until(265_000);
        assertEquals(3, sentOf(gateway, 10), "0.05 units a second for 65 s");
    }

    @Test
    void theOpenCapHoldsUntilOneReturns() {
        world.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        world.list(true, up("h1"), up("h2"));
        for (int i = 0; i < 3; i++) {
            world.ask("r" + i, "look", "open", 4000);
        }
        assertEquals(2, world.sends.size());
        world.until(50);
        String[] s = world.sends.get(0).split("@");
        world.ends(s[0], s[1], 0, AttemptStatus.SERVED);
        assertEquals(3, world.sends.size());
    }

    @Test
    void theCompanionSettlesNearTheQuotaOverSeveralPeriods() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        int before = 0;
        for (int t = 0; t < 30_000; t += 100) {
            world.until(t);
            world.ask("r" + t, "look", "plain", 900);
            while (world.cancelled.size() < world.sends.size()) {
                String[] s = world.sends.get(world.cancelled.size()).split("@");
                world.cancelled.add(s[0]);
                world.policy.attemptEnded(
                        t, new AttemptOutcome(s[0], s[1], 0, AttemptStatus.SERVED, 50, true, 100, 0, null));
            }
            before = t == 20_000 ? world.sends.size() : before;
        }
        int passed = world.sends.size() - before;
        assertTrue(passed >= 10 && passed <= 30, "10 a second asked, 2 a second allowed, passed in 10 s: " + passed);
    }

    /** Asks every 50 ms, each answered 900 ms later; the gateway comes to its timers only so often. */
    private void answersThatTakeLong(int timersEveryMs) {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        for (int t = 0; t < 3000; t += 50) {
            if (t % timersEveryMs == 0) {
                world.now = t;
                world.until(t);
            }
            world.policy.requestArrived(t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 4000, 2, false));
            if (t >= 900) {
                world.policy.attemptEnded(
                        t, new AttemptOutcome("r" + (t - 900), "h1", 0, AttemptStatus.SERVED, 900, true, -1, 0, null));
            }
        }
    }

    @Test
    void lateAnswersBoundTheRoomAndCalmUnboundsIt() {
        answersThatTakeLong(50);
        assertTrue(world.logs.stream().anyMatch(l -> l.startsWith("room bounded")), world.logs.toString());
        world.until(20_000);
        assertTrue(world.logs.stream().anyMatch(l -> l.startsWith("room unbounded")), world.logs.toString());
    }

    /** For 40 s, each fourth request counts eight units and takes 700 ms, the others count one and take 60 ms. */
    private void largeRequestsTakeLong() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        List<AttemptOutcome> due = new ArrayList<>();
        for (int t = 0; t < 40_000; t += 5) {
            world.until(t);
            for (AttemptOutcome each : List.copyOf(due)) {
                int began = Integer.parseInt(each.id().substring(1));
                if (began + each.elapsedMs() <= t) {
                    due.remove(each);
                    world.policy.attemptEnded(t, each);
                }
            }
            if (t % 50 != 0) continue;
            boolean large = t % 200 == 0;
            String id = "r" + t;
            world.policy.requestArrived(
                    t, new AdmissionRequest(id, "look", "open", "c" + t, large ? 8 : 1, 4000, 2, false));
            due.add(new AttemptOutcome(id, "h1", 0, AttemptStatus.SERVED, large ? 700 : 60, true, -1, 0, null));
        }
    }

    @Test
    void aLargeRequestIsGivenUpSoonerForItNeedsLonger() {
        largeRequestsTakeLong();
        world.list(true);
        world.policy.requestArrived(40_000, new AdmissionRequest("large", "look", "open", "d", 8, 4000, 2, false));
        world.policy.requestArrived(40_000, new AdmissionRequest("small", "look", "open", "e", 1, 4000, 2, false));
        world.until(40_200);
        assertTrue(world.refused.contains("large"));
        assertFalse(world.refused.contains("small"));
    }

    @Test
    void answersThatLayUnreadWhileTheGatewayWasHeldUpBoundNothing() {
        answersThatTakeLong(400);
        assertFalse(world.logs.stream().anyMatch(l -> l.startsWith("room bounded")), world.logs.toString());
    }

    @Test
    void linksThatBreakNowAndThenMakeNoHostCold() {
        world.start(new DecisionSettings.Limits(4, false, true, false, true, 2000, 15_000, false), 1);
        world.list(true, up("h1"));
        for (int i = 0; i < 3; i++) {
            world.until(2000 * i);
            world.policy.requestArrived(
                    world.now, new AdmissionRequest("b" + i, "buy", "open", "c", 1, 1500, 1, false));
            world.ends("b" + i, "h1", 0, i < 2 ? AttemptStatus.BROKEN : AttemptStatus.SERVED);
        }
        world.sends.clear();
        for (int i = 0; i < 10; i++) {
            world.policy.requestArrived(
                    world.now, new AdmissionRequest("r" + i, "buy", "open", "d" + i, 1, 8000, 1, false));
        }
        assertTrue(world.sends.size() > 1, "a cold host is sent one at a time: " + world.sends);
    }

    @Test
    void hostsThatLeftAreForgotten() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        world.list(false, host("h2", "east", EndpointState.REMOVED, 0));
        world.until(59_000);
        assertEquals(2, world.policy.capacityShares(world.now).size());
        world.until(61_000);
        assertEquals(1, world.policy.capacityShares(world.now).size());
    }

    @Test
    void attemptsThatStayOutBoundTheRoomThoughNoneIsAnswered() {
        world.start(new DecisionSettings.Limits(4, false, true, false, true, 2000, 15_000, false), 2);
        List<Endpoint> hosts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            hosts.add(up("h" + i));
        }
        world.list(true, hosts.toArray(new Endpoint[0]));
        for (int t = 0; t < 3000; t += 50) {
            world.until(t);
            world.policy.requestArrived(t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 1500, 2, false));
        }
        assertTrue(world.logs.stream().anyMatch(l -> l.startsWith("room bounded")), "silence is no calm");
    }

    @Test
    void attemptsThatLieWhereTheRestIsServedQuicklyAreNoPressure() {
        world.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        List<Endpoint> hosts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            hosts.add(up("h" + i));
        }
        world.list(true, hosts.toArray(new Endpoint[0]));
        for (int t = 0; t < 6000; t += 50) {
            world.until(t);
            int before = world.sends.size();
            world.policy.requestArrived(t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 1500, 2, false));
            world.until(t + 40);
            if (t / 50 % 7 != 0 && world.sends.size() > before) {
                String[] s = world.sends.get(before).split("@");
                world.ends(s[0], s[1], 0, AttemptStatus.SERVED);
            }
        }
        assertFalse(world.logs.stream().anyMatch(l -> l.startsWith("room bounded")), world.logs.toString());
    }

    @Test
    void aHostWithQuickErrorsDoesNotDrawTheTraffic() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"), up("h3"));
        int done = 0;
        for (int t = 0; t < 4000; t += 20) {
            world.until(t);
            world.policy.requestArrived(t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 4000, 2, false));
            while (done < world.sends.size()) {
                String[] s = world.sends.get(done++).split("@");
                boolean bad = s[1].equals("h1");
                boolean first = world.sends.subList(0, done - 1).stream().noneMatch(x -> x.startsWith(s[0] + "@"));
                world.policy.attemptEnded(
                        t,
                        new AttemptOutcome(
                                s[0],
                                s[1],
                                first ? 0 : 1,
                                bad ? AttemptStatus.ERROR : AttemptStatus.SERVED,
                                bad ? 2 : 100,
                                !bad,
                                -1,
                                0,
                                null));
            }
        }
        long drawn = world.sends.stream().filter(s -> s.endsWith("@h1")).count();
        assertTrue(drawn < 40, "sends to the bad host: " + drawn + " of " + world.sends.size());
    }

    @Test
    void aSurgeIsHeldBeforeItOverrunsTheHosts() {
        world.start(world.limits, 1);
        world.list(true, up("h1"), up("h2"));
        for (int i = 0; i < 50; i++) {
            world.policy.requestArrived(0, new AdmissionRequest("r" + i, "look", "open", "c" + i, 1, 4000, 1, false));
        }
        assertEquals(6, world.sends.size());
    }

    @Test
    void aTryPastItsAimGivesWayWhileItsQuotaIsScarce() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        for (int i = 0; i < 6; i++) {
            world.ask("r" + i, "look", "plain", 4000);
        }
        int before = world.sends.size();
        world.ask("again", "look", "plain", 2500);
        assertEquals(before, world.sends.size());
        assertTrue(world.refused.contains("again"));
    }

    @Test
    void whatIsGivenUpIsAnsweredAtOnce() {
        world.start(new DecisionSettings.Limits(4, false, false, false, true, 2000, 15_000, false), 2);
        world.list(true, up("h1"));
        world.ask("short", "look", "open", 200);
        world.ends("short", "h1", 0, AttemptStatus.REJECTED);
        assertEquals(List.of("short"), world.refused, "no host, no time to wait for one");
        world.ask("next", "look", "open", 200);
        assertEquals(List.of("short", "next"), world.refused, "no host, no time to wait for one");
        world.ask("keyed", "mark", "open", 8000);
        world.until(1500);
        world.ask("wait", "look", "open", 4000);
        world.until(2200);
        world.ends("keyed", "h1", 0, AttemptStatus.UNREACHABLE);
        world.until(2300);
        assertTrue(world.refused.contains("keyed"), "turned away past its wait: " + world.refused);
        world.until(2900);
        assertEquals(
                4,
                world.refused.size()
                        + world.failed.size()
                        + world.sends.stream()
                                .filter(x -> x.startsWith("wait@"))
                                .count(),
                "none waits for its deadline");
    }

    @Test
    void refusalsSayWhenAnotherTryMayStillBeInTime() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        for (int i = 0; i < 30; i++) {
            world.ask("r" + i, "look", "plain", 4000);
        }
        assertTrue(world.advice.size() >= 10, "refused " + world.advice.size());
        assertTrue(world.advice.stream().allMatch(a -> a >= 0 && a <= 1000), "within the aim: " + world.advice);
        assertTrue(world.advice.stream().distinct().count() > 5, "spread, so that clients do not come in step");
    }

    @Test
    void settingsThatContradictThemselvesAreTurnedAway() {
        DecisionSettings.Plan bad = new DecisionSettings.Plan("bad", -1, 4, 0, 1, 0, 1, 0, 0, 0);
        assertThrows(
                IllegalArgumentException.class,
                () -> new AdmissionController(0, settings(world.limits, 1, List.of(SAFE), List.of(bad)), 1, world));
        assertThrows(
                IllegalArgumentException.class,
                () -> new AdmissionController(0, settings(world.limits, 1, List.of(SAFE), List.of()), 1, world));
        assertThrows(
                IllegalArgumentException.class,
                () -> new AdmissionController(0, settings(world.limits, 1, List.of(), List.of(PLAIN)), 1, world));
    }

    @Test
    void anUnknownPlanOrClassIsRefusedAndLogged() {
        world.start(world.limits, 2);
        world.list(true, up("h1"));
        world.ask("a", "look", "nosuch", 4000);
        world.ask("b", "nosuch", "plain", 4000);
        assertEquals(List.of("a", "b"), world.refused);
        assertEquals(2, world.logs.size());
    }

    @Test
    void strayEventsAreIgnored() {
        world.start(world.limits, 2);
        world.list(true, up("h1"));
        world.ends("nosuch", "h1", 0, AttemptStatus.SERVED);
        world.policy.requestCancelled(world.now, "nosuch");
        world.policy.timerExpired(world.now, 4242);
        world.policy.responseStarted(world.now, "nosuch", 0);
        world.policy.healthCheckEnded(world.now, "nosuch", ProbeStatus.DONE, 1, null);
        assertTrue(world.sends.isEmpty() && world.refused.isEmpty() && world.failed.isEmpty());
    }

    @Test
    void aFirstTryIsKnownByTheBudgetMostOftenSeen() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        for (int i = 0; i < 12; i++) {
            double budget = i % 4 == 3 ? 3500 : 2000; // every fourth is a last try with all the time that is left
            world.policy.requestArrived(
                    0, new AdmissionRequest("w" + i, "look", "plain", "w" + i, 1, budget, 2, false));
            world.ends("w" + i, "h1", 0, AttemptStatus.SERVED);
        }
        for (int i = 0; i < 3; i++) {
            world.ask("r" + i, "look", "open", 2000);
        }
        world.until(100);
        assertFalse(world.refused.contains("r2"), "a first try beyond the open cap is held, not refused as an old one");
    }

    @Test
    void oneArrivalAtOneOfManyGatewaysIsNoFlood() {
        world.start(world.limits, 200);
        world.list(true, up("h1"), up("h2"), up("h3"));
        for (int i = 0; i < 100; i++) {
            world.policy.requestArrived(
                    0, new AdmissionRequest("r" + i, "look", "plain", "c" + i, 1, 4000, 200, false));
            world.ends("r" + i, "", 0, AttemptStatus.SERVED);
        }
        assertTrue(world.sends.size() >= 30, "of 100 customers' first requests passed " + world.sends.size());
    }

    @Test
    void heavyCustomersToldDoNotHaveUnseenOnesRefused() {
        world.start(world.limits, 200);
        world.list(true, up("h1"), up("h2"), up("h3"));
        int sent = 0;
        for (int t = 0; t < 60_000; t += 100) {
            world.until(t);
            boolean heavy = t % 200 == 0;
            String id = "r" + t;
            String customer = heavy ? "heavy" + t / 200 % 20 : "calm" + t;
            int before = world.sends.size();
            world.policy.requestArrived(t, new AdmissionRequest(id, "look", "plain", customer, 1, 4000, 200, false));
            if (world.sends.size() > before) {
                sent += !heavy && t > 30_000 ? 1 : 0;
                world.policy.attemptEnded(
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
        assertTrue(sent >= 100, "of 150 calm customers never told of passed " + sent);
    }

    @Test
    void manyGatewaysTogetherKeepACustomerNearItsQuota() {
        int gateways = 40;
        List<World> fleet = new ArrayList<>();
        for (int g = 0; g < gateways; g++) {
            World each = new World();
            each.start(each.limits, gateways);
            each.list(true, up("h1"), up("h2"), up("h3"));
            fleet.add(each);
        }
        java.util.Random random = new java.util.Random(5);
        int[] used = new int[61];
        for (int t = 0; t < 60_000; t += 50) {
            int second = t / 1000;
            World each = fleet.get(random.nextInt(gateways));
            each.until(t);
            each.policy.requestArrived(
                    t, new AdmissionRequest("r" + t, "look", "plain", "c", 1, 4000, gateways, false));
            if (!each.refused.contains("r" + t)) {
                used[second]++;
                int told = second < 2 ? -1 : used[second - 2] * 50; // a plain customer's rate is 2 a second
                each.policy.attemptEnded(
                        t, new AttemptOutcome("r" + t, "h1", 0, AttemptStatus.SERVED, 50, true, told, 0, null));
            }
        }
        int passed = 0;
        for (int second = 30; second < 60; second++) {
            passed += used[second];
        }
        assertTrue(passed >= 30 && passed <= 120, "600 asked, 60 in quota, passed " + passed);
    }

    @Test
    void oneLateAnswerASecondBoundsTheRoomInTime() {
        world.start(world.limits, 200);
        world.list(true, up("h1"), up("h2"));
        for (int t = 0; t <= 8000; t += 1000) {
            world.until(t);
            world.policy.requestArrived(t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 4000, 200, false));
            world.until(t + 900);
            world.policy.attemptEnded(
                    t + 900, new AttemptOutcome("r" + t, "h1", 0, AttemptStatus.SERVED, 900, true, -1, 0, null));
        }
        assertTrue(world.logs.stream().anyMatch(l -> l.startsWith("room bounded")), world.logs.toString());
    }

    @Test
    void hostsOfAZoneThatFailsTogetherAreLeftAloneUntried() {
        world.start(world.limits, 2);
        List<Endpoint> hosts = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            hosts.add(new Endpoint("w" + i, "west", "", 0, EndpointState.UP, 1, 0));
            hosts.add(new Endpoint("e" + i, "east", "", 0, EndpointState.UP, 1, 0));
        }
        world.list(true, hosts.toArray(new Endpoint[0]));
        java.util.Set<String> tried = new java.util.TreeSet<>();
        for (int i = 0; i < 60; i++) {
            world.until(10 * i);
            int before = world.sends.size();
            world.policy.requestArrived(
                    world.now, new AdmissionRequest("r" + i, "look", "open", "c" + i, 1, 4000, 2, false));
            for (int k = before; k < world.sends.size(); k++) {
                String host = world.sends.get(k).split("@")[1];
                boolean west = host.startsWith("w");
                if (west) {
                    tried.add(host);
                }
                world.policy.attemptEnded(
                        world.now,
                        new AttemptOutcome(
                                "r" + i,
                                host,
                                k - before,
                                west ? AttemptStatus.UNREACHABLE : AttemptStatus.SERVED,
                                170,
                                !west,
                                -1,
                                0,
                                null));
            }
        }
        assertTrue(tried.size() <= 5, "of eight lost hosts tried " + tried);
    }

    @Test
    void whereConnectsFailHostsThatAnsweredLatelyArePreferred() {
        world.start(world.limits, 2);
        List<Endpoint> hosts = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            hosts.add(up("h" + i));
        }
        world.list(true, hosts.toArray(new Endpoint[0]));
        java.util.Set<String> standing = new java.util.TreeSet<>();
        List<String> pending = new ArrayList<>();
        int failed = 0;
        for (int t = 0; t < 6000; t += 10) {
            world.until(t);
            while (!pending.isEmpty() && Integer.parseInt(pending.get(0).split("@")[2]) <= t) {
                String[] p = pending.remove(0).split("@");
                boolean connects = t < 500 || standing.contains(p[1]);
                failed += connects ? 0 : 1;
                if (connects) {
                    standing.add(p[1]);
                }
                int from = world.sends.size();
                long attempt = world.sends.stream()
                                .filter(x -> x.startsWith(p[0] + "@"))
                                .count()
                        - 1;
                world.policy.attemptEnded(
                        t,
                        new AttemptOutcome(
                                p[0],
                                p[1],
                                (int) attempt,
                                connects ? AttemptStatus.SERVED : AttemptStatus.UNREACHABLE,
                                100,
                                connects,
                                -1,
                                0,
                                null));
                world.sends
                        .subList(from, world.sends.size())
                        .forEach(x -> pending.add(x + "@" + (int) (world.now + 100)));
            }
            if (t % 20 == 0) {
                int from = world.sends.size();
                world.policy.requestArrived(
                        t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 4000, 2, false));
                int due = t + 100;
                world.sends.subList(from, world.sends.size()).forEach(x -> pending.add(x + "@" + due));
            }
        }
        assertTrue(standing.size() >= 3 && failed <= 12, "connects failed " + failed + ", standing " + standing);
    }

    @Test
    void gatewaysDoNotStartInStepOnAColdHost() {
        int sent = 0;
        for (int g = 0; g < 100; g++) {
            World each = World.of(100, g);
            each.list(true, new Endpoint("h1", "east", "", 0, EndpointState.UP, 1, 0.5));
            each.ask("r", "look", "open", 4000);
            sent += each.sends.size();
        }
        assertEquals(0, sent, "a hundred gateways' first sends at once push a cold host over");
    }

    /** Fourteen gateways, each of which meets a host seldom: together they use a starting one from the first second on. */
    @Test
    void manyGatewaysUseAStartingHostAtItsShareFromTheStart() {
        int[][] sent = startingHostAt(3000);
        // In each second something, and no more than its share of what a warm host gets.
        for (int second = 0; second < 6; second++) {
            assertTrue(sent[0][second] > 0, "nothing in second " + second + ": " + Arrays.toString(sent[0]));
            assertTrue(
                    sent[0][second] <= sent[1][second] / 10,
                    Arrays.toString(sent[0]) + " beside " + Arrays.toString(sent[1]));
        }
    }

    /** Gateways that have just come back themselves learn what warm hosts are given from the first answers on. */
    @Test
    void gatewaysThatHaveJustStartedUseAStartingHostToo() {
        int[][] sent = startingHostAt(500);
        int cold = Arrays.stream(sent[0]).limit(4).sum();
        assertTrue(cold >= 20, "in four seconds " + cold + ", warm hosts " + Arrays.toString(sent[1]));
        assertTrue(cold <= Arrays.stream(sent[1]).limit(4).sum() / 10, Arrays.toString(sent[0]));
    }

    /** What 14 gateways send to a host that starts at that time, and to ten warm ones, in each second from then on. */
    private int[][] startingHostAt(int start) {
        int[] cold = new int[6];
        int[] warm = new int[6];
        for (int g = 0; g < 14; g++) {
            World each = World.of(14, g);
            each.list(true, IntStream.range(0, 10).mapToObj(i -> up("h" + i)).toArray(Endpoint[]::new));
            List<String> due = new ArrayList<>();
            for (int t = 0; t < start + 6000; t += 50) {
                each.until(t);
                if (t == start) {
                    each.list(false, host("new", "east", EndpointState.UP, t));
                }
                int from = each.sends.size();
                each.policy.requestArrived(
                        t, new AdmissionRequest("s" + t, "look", "open", "c" + t, 1, 4000, 14, false));
                due.addAll(each.sends.subList(from, each.sends.size()));
                if (due.size() > 2) {
                    String[] s = due.remove(0).split("@");
                    each.policy.attemptEnded(
                            t, new AttemptOutcome(s[0], s[1], 0, AttemptStatus.SERVED, 200, true, -1, 0, null));
                }
                int second = (t - start) / 1000;
                for (String s : t < start ? List.<String>of() : each.sends.subList(from, each.sends.size())) {
                    (s.endsWith("@new") ? cold : warm)[second]++;
                }
            }
        }
        return new int[][] {cold, warm};
    }

    /** After a release all customers are new: the size of an ask is learnt from the first, not over a minute of refusals. */
    @Test
    void aGatewayThatHasJustStartedTakesBigAsksOfCalmCustomers() {
        int sent = 0;
        for (int g = 0; g < 14; g++) {
            World each = new World();
            each.policy = new AdmissionController(
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
                each.policy.requestArrived(
                        i * 100, new AdmissionRequest("r" + i, "look", "plain", "c" + i, 5, 4000, 14, false));
                if (each.sends.size() > from) {
                    sent++;
                    each.policy.attemptEnded(
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
        assertTrue(sent >= 400, "of 560 first asks " + sent);
    }

    @Test
    void aHostWhoseAttemptsAreCalledOffIsLeftAlone() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"), up("h3"));
        int silent = 0;
        int sent = 0;
        for (int i = 0; i < 60; i++) {
            world.until(world.now + 10);
            int before = world.sends.size();
            world.policy.requestArrived(
                    world.now, new AdmissionRequest("r" + i, "buy", "open", "c" + i, 1, 8000, 2, false));
            world.until(world.now + (world.sends.size() > before ? 0 : 400));
            if (world.sends.size() == before) {
                continue; // held while the room is bounded
            }
            String host = world.sends.get(before).split("@")[1];
            boolean lies = host.equals("h2");
            silent += lies && i >= 20 ? 1 : 0;
            sent += i >= 20 ? 1 : 0;
            world.until(world.now + (lies ? 1500 : 400));
            world.policy.attemptEnded(
                    world.now,
                    new AttemptOutcome(
                            "r" + i,
                            host,
                            0,
                            lies ? AttemptStatus.CANCELLED : AttemptStatus.SERVED,
                            lies ? 1500 : 400,
                            true,
                            -1,
                            0,
                            null));
        }
        assertTrue(sent >= 10 && silent <= sent / 4, "of " + sent + " the host that lets them lie had " + silent);
    }

    @Test
    void triesThatComeAgainDoNotUndoARefusal() {
        world.start(world.limits, 2);
        world.list(true, up("h1"), up("h2"));
        int[] passed = new int[2];
        for (int i = 0; i < 600; i++) {
            world.until(100 * i);
            boolean later = i % 2 == 1;
            int before = world.sends.size();
            world.ask("r" + i, "look", "plain", later ? 3700 + i * 37 % 270 : 4000);
            if (world.sends.size() > before) {
                passed[later ? 1 : 0]++;
                world.policy.attemptEnded(
                        world.now, new AttemptOutcome("r" + i, "h1", 0, AttemptStatus.SERVED, 50, true, 100, 0, null));
            }
        }
        assertTrue(passed[1] * 2 < passed[0], "first tries passed " + passed[0] + ", later ones " + passed[1]);
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
