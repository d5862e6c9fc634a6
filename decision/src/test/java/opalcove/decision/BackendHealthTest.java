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
    void startsNoAttemptAtDrainingOrRemovedBackend() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"), up("h3"));
        gateway.updateEndpoints(false, endpoint("h1", "east", EndpointState.DRAINING, 0));
        gateway.updateEndpoints(true, endpoint("h1", "east", EndpointState.DRAINING, 0), up("h3"));
        for (int i = 0; i < 50; i++) {
            gateway.module.requestArrived(
                    gateway.nowMs, new AdmissionRequest("r" + i, "look", "open", "c" + i, 1, 4000, 2, false));
            String[] attempt = gateway.attempts.get(i).split("@");
            gateway.endAttempt(attempt[0], attempt[1], 0, AttemptStatus.SERVED);
        }
        assertEquals(50, gateway.attempts.size());
        assertTrue(gateway.attempts.stream().allMatch(attempt -> attempt.endsWith("@h3")));
    }

    @Test
    void queuesRequestWhenEveryBackendIsDrainingOrRemoved() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(
                true,
                endpoint("h1", "east", EndpointState.DRAINING, 0),
                endpoint("h2", "east", EndpointState.REMOVED, 0));
        gateway.submit("early", "look", "open", 4000);
        gateway.advanceTo(100);
        assertTrue(gateway.attempts.isEmpty());
    }

    @Test
    void beginsNoSlowStartWhenConnectionsBreakOccasionally() {
        gateway.start(new DecisionSettings.Limits(4, false, true, false, true, 2000, 15_000, false), 1);
        gateway.updateEndpoints(true, up("h1"));
        for (int i = 0; i < 3; i++) {
            gateway.advanceTo(2000 * i);
            gateway.module.requestArrived(
                    gateway.nowMs, new AdmissionRequest("b" + i, "buy", "open", "c", 1, 1500, 1, false));
            gateway.endAttempt("b" + i, "h1", 0, i < 2 ? AttemptStatus.BROKEN : AttemptStatus.SERVED);
        }
        gateway.attempts.clear();
        for (int i = 0; i < 10; i++) {
            gateway.module.requestArrived(
                    gateway.nowMs, new AdmissionRequest("r" + i, "buy", "open", "d" + i, 1, 8000, 1, false));
        }
        assertTrue(
                gateway.attempts.size() > 1, "a starting backend receives one attempt at a time: " + gateway.attempts);
    }

    @Test
    void forgetsRemovedBackends() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        gateway.updateEndpoints(false, endpoint("h2", "east", EndpointState.REMOVED, 0));
        gateway.advanceTo(59_000);
        assertEquals(2, gateway.module.capacityShares(gateway.nowMs).size());
        gateway.advanceTo(61_000);
        assertEquals(1, gateway.module.capacityShares(gateway.nowMs).size());
    }

    @Test
    void avoidsBackendThatRespondsWithFastErrors() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"), up("h3"));
        int ended = 0;
        for (int timeMs = 0; timeMs < 4000; timeMs += 20) {
            gateway.advanceTo(timeMs);
            gateway.module.requestArrived(
                    timeMs, new AdmissionRequest("r" + timeMs, "look", "open", "c" + timeMs, 1, 4000, 2, false));
            while (ended < gateway.attempts.size()) {
                String[] attempt = gateway.attempts.get(ended++).split("@");
                boolean bad = attempt[1].equals("h1");
                boolean first = gateway.attempts.subList(0, ended - 1).stream()
                        .noneMatch(earlier -> earlier.startsWith(attempt[0] + "@"));
                gateway.module.attemptEnded(
                        timeMs,
                        new AttemptOutcome(
                                attempt[0],
                                attempt[1],
                                first ? 0 : 1,
                                bad ? AttemptStatus.ERROR : AttemptStatus.SERVED,
                                bad ? 2 : 100,
                                !bad,
                                -1,
                                0,
                                null));
            }
        }
        long atBadBackend = gateway.attempts.stream()
                .filter(attempt -> attempt.endsWith("@h1"))
                .count();
        assertTrue(
                atBadBackend < 40, "attempts at the bad backend: " + atBadBackend + " of " + gateway.attempts.size());
    }

    @Test
    void avoidsUntriedBackendsWhenTheirZoneFails() {
        gateway.start(gateway.limits, 2);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            endpoints.add(new Endpoint("w" + i, "west", "", 0, EndpointState.UP, 1, 0));
            endpoints.add(new Endpoint("e" + i, "east", "", 0, EndpointState.UP, 1, 0));
        }
        gateway.updateEndpoints(true, endpoints.toArray(new Endpoint[0]));
        Set<String> tried = new TreeSet<>();
        for (int i = 0; i < 60; i++) {
            gateway.advanceTo(10 * i);
            int before = gateway.attempts.size();
            gateway.module.requestArrived(
                    gateway.nowMs, new AdmissionRequest("r" + i, "look", "open", "c" + i, 1, 4000, 2, false));
            for (int index = before; index < gateway.attempts.size(); index++) {
                String backend = gateway.attempts.get(index).split("@")[1];
                boolean west = backend.startsWith("w");
                if (west) {
                    tried.add(backend);
                }
                gateway.module.attemptEnded(
                        gateway.nowMs,
                        new AttemptOutcome(
                                "r" + i,
                                backend,
                                index - before,
                                west ? AttemptStatus.UNREACHABLE : AttemptStatus.SERVED,
                                170,
                                !west,
                                -1,
                                0,
                                null));
            }
        }
        assertTrue(tried.size() <= 5, "of eight unreachable backends, attempts were started at " + tried);
    }

    /** An attempt in flight. */
    private record Pending(String requestId, String backend, int endsAtMs) {}

    @Test
    void prefersBackendsThatRespondedRecentlyWhenConnectsFail() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(
                true, IntStream.range(0, 16).mapToObj(i -> up("h" + i)).toArray(Endpoint[]::new));
        Set<String> connected = new TreeSet<>();
        List<Pending> pending = new ArrayList<>();
        int failed = 0;
        for (int timeMs = 0; timeMs < 6000; timeMs += 10) {
            gateway.advanceTo(timeMs);
            while (!pending.isEmpty() && pending.get(0).endsAtMs <= timeMs) {
                Pending attempt = pending.remove(0);
                boolean connects = timeMs < 500 || connected.contains(attempt.backend);
                failed += connects ? 0 : 1;
                if (connects) {
                    connected.add(attempt.backend);
                }
                int from = gateway.attempts.size();
                endLastAttempt(attempt, connects);
                pending.addAll(pendingSince(from));
            }
            if (timeMs % 20 == 0) {
                int from = gateway.attempts.size();
                gateway.module.requestArrived(
                        timeMs, new AdmissionRequest("r" + timeMs, "look", "open", "c" + timeMs, 1, 4000, 2, false));
                pending.addAll(pendingSince(from));
            }
        }
        assertTrue(
                connected.size() >= 3 && failed <= 12,
                "failed connects: " + failed + ", connected backends: " + connected);
    }

    /** Returns the attempts from this index on. Each ends after 100 ms. */
    private List<Pending> pendingSince(int from) {
        return gateway.attempts.subList(from, gateway.attempts.size()).stream()
                .map(attempt -> attempt.split("@"))
                .map(attempt -> new Pending(attempt[0], attempt[1], (int) (gateway.nowMs + 100)))
                .toList();
    }

    private void endLastAttempt(Pending pending, boolean connects) {
        long attempts = gateway.attempts.stream()
                .filter(attempt -> attempt.startsWith(pending.requestId + "@"))
                .count();
        gateway.module.attemptEnded(
                gateway.nowMs,
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
    void avoidsBackendWhenItsAttemptsAreCancelled() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"), up("h2"), up("h3"));
        int atSilentBackend = 0;
        int total = 0;
        for (int i = 0; i < 60; i++) {
            gateway.advanceTo(gateway.nowMs + 10);
            int before = gateway.attempts.size();
            gateway.module.requestArrived(
                    gateway.nowMs, new AdmissionRequest("r" + i, "buy", "open", "c" + i, 1, 8000, 2, false));
            gateway.advanceTo(gateway.nowMs + (gateway.attempts.size() > before ? 0 : 400));
            if (gateway.attempts.size() == before) {
                continue; // queued while the capacity is bounded
            }
            String backend = gateway.attempts.get(before).split("@")[1];
            boolean isSilent = backend.equals("h2");
            atSilentBackend += isSilent && i >= 20 ? 1 : 0;
            total += i >= 20 ? 1 : 0;
            gateway.advanceTo(gateway.nowMs + (isSilent ? 1500 : 400));
            gateway.module.attemptEnded(
                    gateway.nowMs,
                    new AttemptOutcome(
                            "r" + i,
                            backend,
                            0,
                            isSilent ? AttemptStatus.CANCELLED : AttemptStatus.SERVED,
                            isSilent ? 1500 : 400,
                            true,
                            -1,
                            0,
                            null));
        }
        assertTrue(
                total >= 10 && atSilentBackend <= total / 4,
                "attempts at the silent backend: " + atSilentBackend + " of " + total);
    }
}
