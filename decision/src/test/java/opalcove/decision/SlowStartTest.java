package opalcove.decision;

import static opalcove.decision.RecordingGateway.endpoint;
import static opalcove.decision.RecordingGateway.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SlowStartTest {
    private final RecordingGateway gateway = new RecordingGateway();

    @Test
    void limitsAttemptsAtStartingBackendToItsInitialShareOfTheWarmPace() {
        gateway.start(gateway.limits, 1);
        gateway.updateEndpoints(true, up("h1"), up("h2"));
        int warmAttempts = serve(0, 4000);
        gateway.updateEndpoints(false, endpoint("h3", "east", EndpointState.UP, gateway.nowMs));
        int from = gateway.attempts.size();
        serve(4000, 5000);
        long starting = gateway.attempts.subList(from, gateway.attempts.size()).stream()
                .filter(attempt -> attempt.endsWith("@h3"))
                .count();
        assertTrue(warmAttempts > 300);
        assertTrue(
                starting <= 0.3 * (gateway.attempts.size() - from) / 2,
                "attempts at the starting backend: " + starting);
    }

    private int served;

    /**
     * Submits a request every 10 ms and serves each attempt 50 ms after its start, including those of an earlier call.
     * Returns the number of attempts that were started.
     */
    private int serve(int fromMs, int toMs) {
        int before = gateway.attempts.size();
        for (int timeMs = fromMs; timeMs < toMs; timeMs += 10) {
            gateway.advanceTo(timeMs);
            gateway.module.requestArrived(
                    timeMs, new AdmissionRequest("s" + timeMs, "look", "open", "c" + timeMs, 1, 4000, 1, false));
            while (served < gateway.attempts.size() - 5) {
                String[] attempt = gateway.attempts.get(served++).split("@");
                gateway.endAttempt(attempt[0], attempt[1], 0, AttemptStatus.SERVED);
            }
        }
        return gateway.attempts.size() - before;
    }

    @Test
    void startsFewAttemptsWhenTheOnlyBackendIsStartingAndRejectsThem() {
        gateway.start(gateway.limits, 2);
        gateway.updateEndpoints(true, up("h1"));
        gateway.updateEndpoints(true, endpoint("n1", "east", EndpointState.UP, 1));
        for (int timeMs = 0; timeMs < 3000; timeMs += 20) {
            gateway.advanceTo(timeMs);
            gateway.module.requestArrived(
                    timeMs, new AdmissionRequest("r" + timeMs, "look", "open", "c" + timeMs, 1, 4000, 2, false));
            while (gateway.attempts.size() > gateway.cancelled.size()) {
                String[] attempt =
                        gateway.attempts.get(gateway.cancelled.size()).split("@");
                gateway.cancelled.add(attempt[0]);
                gateway.endAttempt(attempt[0], attempt[1], 0, AttemptStatus.REJECTED);
            }
        }
        assertTrue(gateway.attempts.size() <= 4, "attempts: " + gateway.attempts.size());
    }

    @Test
    void gatewaysStartNoSimultaneousAttemptsWhenBackendStarts() {
        int started = 0;
        for (int index = 0; index < 100; index++) {
            RecordingGateway fleetGateway = RecordingGateway.startedWith(100, index);
            fleetGateway.updateEndpoints(true, new Endpoint("h1", "east", "", 0, EndpointState.UP, 1, 0.5));
            fleetGateway.submit("r", "look", "open", 4000);
            started += fleetGateway.attempts.size();
        }
        assertEquals(0, started, "simultaneous first attempts of a hundred gateways overload a starting backend");
    }

    /**
     * Each of fourteen gateways seldom selects the same backend. Together, they must use a starting backend from the
     * first second on.
     */
    @Test
    void manyGatewaysUseStartingBackendWithinItsShareFromTheFirstSecond() {
        int[][] attempts = countAttemptsAfterBackendStartsAt(3000);
        // In each second, the starting backend receives attempts, but no more than its share of those at warm ones.
        for (int second = 0; second < 6; second++) {
            assertTrue(attempts[0][second] > 0, "no attempt in second " + second + ": " + Arrays.toString(attempts[0]));
            assertTrue(
                    attempts[0][second] <= attempts[1][second] / 10,
                    "starting: " + Arrays.toString(attempts[0]) + ", warm: " + Arrays.toString(attempts[1]));
        }
    }

    /** Gateways that have just started learn the pace of warm backends from the first responses on. */
    @Test
    void gatewaysUseStartingBackendWhenTheyHaveJustStarted() {
        int[][] attempts = countAttemptsAfterBackendStartsAt(500);
        int starting = Arrays.stream(attempts[0]).limit(4).sum();
        assertTrue(
                starting >= 20,
                "attempts in four seconds: " + starting + ", at warm backends: " + Arrays.toString(attempts[1]));
        assertTrue(starting <= Arrays.stream(attempts[1]).limit(4).sum() / 10, Arrays.toString(attempts[0]));
    }

    /**
     * Counts the attempts of 14 gateways at a backend that starts at this time, and at ten warm backends, in each of
     * the six seconds from then on.
     */
    private int[][] countAttemptsAfterBackendStartsAt(int startMs) {
        int[] starting = new int[6];
        int[] warm = new int[6];
        for (int index = 0; index < 14; index++) {
            RecordingGateway fleetGateway = RecordingGateway.startedWith(14, index);
            fleetGateway.updateEndpoints(
                    true, IntStream.range(0, 10).mapToObj(i -> up("h" + i)).toArray(Endpoint[]::new));
            List<String> inFlight = new ArrayList<>();
            for (int timeMs = 0; timeMs < startMs + 6000; timeMs += 50) {
                fleetGateway.advanceTo(timeMs);
                if (timeMs == startMs) {
                    fleetGateway.updateEndpoints(false, endpoint("new", "east", EndpointState.UP, timeMs));
                }
                int from = fleetGateway.attempts.size();
                fleetGateway.module.requestArrived(
                        timeMs, new AdmissionRequest("s" + timeMs, "look", "open", "c" + timeMs, 1, 4000, 14, false));
                inFlight.addAll(fleetGateway.attempts.subList(from, fleetGateway.attempts.size()));
                if (inFlight.size() > 2) {
                    String[] attempt = inFlight.remove(0).split("@");
                    fleetGateway.module.attemptEnded(
                            timeMs,
                            new AttemptOutcome(
                                    attempt[0], attempt[1], 0, AttemptStatus.SERVED, 200, true, -1, 0, null));
                }
                int second = (timeMs - startMs) / 1000;
                for (String attemptAtBackend : timeMs < startMs
                        ? List.<String>of()
                        : fleetGateway.attempts.subList(from, fleetGateway.attempts.size())) {
                    (attemptAtBackend.endsWith("@new") ? starting : warm)[second]++;
                }
            }
        }
        return new int[][] {starting, warm};
    }
}
