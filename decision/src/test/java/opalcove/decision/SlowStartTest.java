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
    void aStartingBackendGetsLessThanItsInitialShareOfTheOthersPace() {
        gateway.start(gateway.limits, 1);
        gateway.list(true, up("h1"), up("h2"));
        int sent = serve(0, 4000);
        gateway.list(false, endpoint("h3", "east", EndpointState.UP, gateway.now));
        int from = gateway.sends.size();
        serve(4000, 5000);
        long starting = gateway.sends.subList(from, gateway.sends.size()).stream()
                .filter(s -> s.endsWith("@h3"))
                .count();
        assertTrue(sent > 300);
        assertTrue(starting <= 0.3 * (gateway.sends.size() - from) / 2, "sends to the starting backend " + starting);
    }

    private int served;

    /** A request every 10 ms, each answered 50 ms later, also those that an earlier call has left. */
    private int serve(int from, int to) {
        int start = gateway.sends.size();
        for (int t = from; t < to; t += 10) {
            gateway.until(t);
            gateway.module.requestArrived(t, new AdmissionRequest("s" + t, "look", "open", "c" + t, 1, 4000, 1, false));
            while (served < gateway.sends.size() - 5) {
                String[] s = gateway.sends.get(served++).split("@");
                gateway.endAttempt(s[0], s[1], 0, AttemptStatus.SERVED);
            }
        }
        return gateway.sends.size() - start;
    }

    @Test
    void onlyStartingBackendsAndAllFullDoNotDrawAStormOfSends() {
        gateway.start(gateway.limits, 2);
        gateway.list(true, up("h1"));
        gateway.list(true, endpoint("n1", "east", EndpointState.UP, 1));
        for (int t = 0; t < 3000; t += 20) {
            gateway.until(t);
            gateway.module.requestArrived(t, new AdmissionRequest("r" + t, "look", "open", "c" + t, 1, 4000, 2, false));
            while (gateway.sends.size() > gateway.cancelled.size()) {
                String[] s = gateway.sends.get(gateway.cancelled.size()).split("@");
                gateway.cancelled.add(s[0]);
                gateway.endAttempt(s[0], s[1], 0, AttemptStatus.REJECTED);
            }
        }
        assertTrue(gateway.sends.size() <= 4, "sends " + gateway.sends.size());
    }

    @Test
    void gatewaysDoNotStartInStepOnAStartingBackend() {
        int sent = 0;
        for (int g = 0; g < 100; g++) {
            RecordingGateway each = RecordingGateway.of(100, g);
            each.list(true, new Endpoint("h1", "east", "", 0, EndpointState.UP, 1, 0.5));
            each.submit("r", "look", "open", 4000);
            sent += each.sends.size();
        }
        assertEquals(0, sent, "a hundred gateways' first sends at once push a starting backend over");
    }

    /**
     * Fourteen gateways, each of which meets a backend seldom: together they use a starting one from the first second
     * on.
     */
    @Test
    void manyGatewaysUseAStartingBackendAtItsShareFromTheStart() {
        int[][] sent = startingBackendAt(3000);
        // In each second something, and no more than its share of what a warm backend gets.
        for (int second = 0; second < 6; second++) {
            assertTrue(sent[0][second] > 0, "nothing in second " + second + ": " + Arrays.toString(sent[0]));
            assertTrue(
                    sent[0][second] <= sent[1][second] / 10,
                    Arrays.toString(sent[0]) + " beside " + Arrays.toString(sent[1]));
        }
    }

    /** Gateways that have just come back themselves learn what warm endpoints are given from the first answers on. */
    @Test
    void gatewaysThatHaveJustStartedUseAStartingBackendToo() {
        int[][] sent = startingBackendAt(500);
        int starting = Arrays.stream(sent[0]).limit(4).sum();
        assertTrue(starting >= 20, "in four seconds " + starting + ", warm backends " + Arrays.toString(sent[1]));
        assertTrue(starting <= Arrays.stream(sent[1]).limit(4).sum() / 10, Arrays.toString(sent[0]));
    }

    /**
     * What 14 gateways send to a backend that starts at that time, and to ten warm ones, in each second from then on.
     */
    private int[][] startingBackendAt(int start) {
        int[] starting = new int[6];
        int[] warm = new int[6];
        for (int g = 0; g < 14; g++) {
            RecordingGateway each = RecordingGateway.of(14, g);
            each.list(true, IntStream.range(0, 10).mapToObj(i -> up("h" + i)).toArray(Endpoint[]::new));
            List<String> due = new ArrayList<>();
            for (int t = 0; t < start + 6000; t += 50) {
                each.until(t);
                if (t == start) {
                    each.list(false, endpoint("new", "east", EndpointState.UP, t));
                }
                int from = each.sends.size();
                each.module.requestArrived(
                        t, new AdmissionRequest("s" + t, "look", "open", "c" + t, 1, 4000, 14, false));
                due.addAll(each.sends.subList(from, each.sends.size()));
                if (due.size() > 2) {
                    String[] s = due.remove(0).split("@");
                    each.module.attemptEnded(
                            t, new AttemptOutcome(s[0], s[1], 0, AttemptStatus.SERVED, 200, true, -1, 0, null));
                }
                int second = (t - start) / 1000;
                for (String s : t < start ? List.<String>of() : each.sends.subList(from, each.sends.size())) {
                    (s.endsWith("@new") ? starting : warm)[second]++;
                }
            }
        }
        return new int[][] {starting, warm};
    }
}
