package opalcove.decision;

import static opalcove.decision.RecordingGateway.endpoint;
import static opalcove.decision.RecordingGateway.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class BackendHealthTest {
    private final RecordingGateway gateway = new RecordingGateway();

    @Test
    void nothingNewGoesToABackendThatIsDrainingOrRemoved() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"), up("h3"));
        gateway.list(false, endpoint("h1", "east", EndpointState.DRAINING, 0));
        gateway.list(true, endpoint("h1", "east", EndpointState.DRAINING, 0), up("h3"));
        for (int i = 0; i < 50; i++) {
            gateway.module.requestArrived(
                    gateway.now, new AdmissionRequest("r" + i, "look", "open", "c" + i, 1, 4000, 2, false));
            String[] s = gateway.sends.get(i).split("@");
            gateway.endAttempt(s[0], s[1], 0, AttemptStatus.SERVED);
        }
        assertEquals(50, gateway.sends.size());
        assertTrue(gateway.sends.stream().allMatch(s -> s.endsWith("@h3")));
    }

    @Test
    void aRequestWaitsWhileEveryBackendIsDrainingOrRemoved() {
        gateway.start(gateway.limits, 2);
        gateway.list(
                true,
                endpoint("h1", "east", EndpointState.DRAINING, 0),
                endpoint("h2", "east", EndpointState.REMOVED, 0));
        gateway.submit("early", "look", "open", 4000);
        gateway.until(100);
        assertTrue(gateway.sends.isEmpty());
    }

    @Test
    void connectionsThatBreakNowAndThenStartNoSlowStart() {
        gateway.start(new DecisionSettings.Limits(4, false, true, false, true, 2000, 15_000, false), 1);
        gateway.list(true, up("h1"));
        for (int i = 0; i < 3; i++) {
            gateway.until(2000 * i);
            gateway.module.requestArrived(
                    gateway.now, new AdmissionRequest("b" + i, "buy", "open", "c", 1, 1500, 1, false));
            gateway.endAttempt("b" + i, "h1", 0, i < 2 ? AttemptStatus.BROKEN : AttemptStatus.SERVED);
        }
        gateway.sends.clear();
        for (int i = 0; i < 10; i++) {
            gateway.module.requestArrived(
                    gateway.now, new AdmissionRequest("r" + i, "buy", "open", "d" + i, 1, 8000, 1, false));
        }
        assertTrue(gateway.sends.size() > 1, "a starting backend is sent one at a time: " + gateway.sends);
    }

    @Test
    void removedBackendsAreForgotten() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"));
        gateway.list(false, endpoint("h2", "east", EndpointState.REMOVED, 0));
        gateway.until(59_000);
        assertEquals(2, gateway.module.capacityShares(gateway.now).size());
        gateway.until(61_000);
        assertEquals(1, gateway.module.capacityShares(gateway.now).size());
    }

    @Test
    void aBackendWithQuickErrorsDoesNotDrawTheTraffic() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"), up("h3"));
        int done = 0;
        for (int t = 0; t < 4000; t += 20) {
            gateway.until(t);
            gateway.module.requestArrived(t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 4000, 2, false));
            while (done < gateway.sends.size()) {
                String[] s = gateway.sends.get(done++).split("@");
                boolean bad = s[1].equals("h1");
                boolean first = gateway.sends.subList(0, done - 1).stream().noneMatch(x -> x.startsWith(s[0] + "@"));
                gateway.module.attemptEnded(
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
        long drawn = gateway.sends.stream().filter(s -> s.endsWith("@h1")).count();
        assertTrue(drawn < 40, "sends to the bad backend: " + drawn + " of " + gateway.sends.size());
    }

    @Test
    void backendsOfAZoneThatFailsTogetherAreAvoidedUntried() {
        gateway.start(gateway.limits, 2);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            endpoints.add(new Endpoint("w" + i, "west", "", 0, EndpointState.UP, 1, 0));
            endpoints.add(new Endpoint("e" + i, "east", "", 0, EndpointState.UP, 1, 0));
        }
        gateway.list(true, endpoints.toArray(new Endpoint[0]));
        Set<String> tried = new TreeSet<>();
        for (int i = 0; i < 60; i++) {
            gateway.until(10 * i);
            int before = gateway.sends.size();
            gateway.module.requestArrived(
                    gateway.now, new AdmissionRequest("r" + i, "look", "open", "c" + i, 1, 4000, 2, false));
            for (int k = before; k < gateway.sends.size(); k++) {
                String backend = gateway.sends.get(k).split("@")[1];
                boolean west = backend.startsWith("w");
                if (west) {
                    tried.add(backend);
                }
                gateway.module.attemptEnded(
                        gateway.now,
                        new AttemptOutcome(
                                "r" + i,
                                backend,
                                k - before,
                                west ? AttemptStatus.UNREACHABLE : AttemptStatus.SERVED,
                                170,
                                !west,
                                -1,
                                0,
                                null));
            }
        }
        assertTrue(tried.size() <= 5, "of eight lost backends tried " + tried);
    }

    /** An attempt in flight: its request, its backend and the time at which it ends. */
    private record Pending(String requestId, String backend, int endsAtMs) {}

    @Test
    void whereConnectsFailBackendsThatRespondedLatelyArePreferred() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, IntStream.range(0, 16).mapToObj(i -> up("h" + i)).toArray(Endpoint[]::new));
        Set<String> connected = new TreeSet<>();
        List<Pending> pending = new ArrayList<>();
        int failed = 0;
        for (int t = 0; t < 6000; t += 10) {
            gateway.until(t);
            while (!pending.isEmpty() && pending.get(0).endsAtMs <= t) {
                Pending attempt = pending.remove(0);
                boolean connects = t < 500 || connected.contains(attempt.backend);
                failed += connects ? 0 : 1;
                if (connects) {
                    connected.add(attempt.backend);
                }
                int from = gateway.sends.size();
                endLastAttempt(attempt, connects);
                pending.addAll(pendingSince(from));
            }
            if (t % 20 == 0) {
                int from = gateway.sends.size();
                gateway.module.requestArrived(
                        t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 4000, 2, false));
                pending.addAll(pendingSince(from));
            }
        }
        assertTrue(connected.size() >= 3 && failed <= 12, "connects failed " + failed + ", connected " + connected);
    }

    /** The attempts that were started since; each ends after 100 ms. */
    private List<Pending> pendingSince(int from) {
        return gateway.sends.subList(from, gateway.sends.size()).stream()
                .map(send -> send.split("@"))
                .map(send -> new Pending(send[0], send[1], (int) (gateway.now + 100)))
                .toList();
    }

    private void endLastAttempt(Pending pending, boolean connects) {
        long attempts = gateway.sends.stream()
                .filter(send -> send.startsWith(pending.requestId + "@"))
                .count();
        gateway.module.attemptEnded(
                gateway.now,
                new AttemptOutcome(
                        pending.requestId,
                        pending.backend,
                        (int) attempts - 1,
                        connects ? AttemptStatus.SERVED : AttemptStatus.UNREACHABLE,
                        100,
                        connects,
                        -1,
                        0,
                        null));
    }

    @Test
    void aBackendWhoseAttemptsAreCancelledIsAvoided() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"), up("h2"), up("h3"));
        int silent = 0;
        int sent = 0;
        for (int i = 0; i < 60; i++) {
            gateway.until(gateway.now + 10);
            int before = gateway.sends.size();
            gateway.module.requestArrived(
                    gateway.now, new AdmissionRequest("r" + i, "buy", "open", "c" + i, 1, 8000, 2, false));
            gateway.until(gateway.now + (gateway.sends.size() > before ? 0 : 400));
            if (gateway.sends.size() == before) {
                continue; // queued while the capacity is bounded
            }
            String backend = gateway.sends.get(before).split("@")[1];
            boolean unanswered = backend.equals("h2");
            silent += unanswered && i >= 20 ? 1 : 0;
            sent += i >= 20 ? 1 : 0;
            gateway.until(gateway.now + (unanswered ? 1500 : 400));
            gateway.module.attemptEnded(
                    gateway.now,
                    new AttemptOutcome(
                            "r" + i,
                            backend,
                            0,
                            unanswered ? AttemptStatus.CANCELLED : AttemptStatus.SERVED,
                            unanswered ? 1500 : 400,
                            true,
                            -1,
                            0,
                            null));
        }
        assertTrue(sent >= 10 && silent <= sent / 4, "of " + sent + " the silent backend had " + silent);
    }
}
