package opalcove.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import opalcove.config.InvalidConfigurationException;
import org.junit.jupiter.api.Test;

/**
 * Compares the adapter's output with recorded transcripts ({@code >} marks a line to the adapter, {@code <} one from
 * it), and its error messages with literal texts.
 */
class SimulatorAdapterTranscriptTest {
    private static final String SYNC = "{\"verb\":\"Sync\",\"time_ms\":10}\n";
    private static final String FLUSH = "{\"verb\":\"Flush\"}\n";
    private static final String CLASS = "{\"name\":\"look\",\"value\":1,\"aim_ms\":500,\"deadline_ms\":2000,"
            + "\"idempotency\":\"safe\",\"group\":\"all\"}";
    private static final String PLAN = "{\"name\":\"p\",\"quota_rate\":5,\"peak_units\":5}";
    private static final String BORN = born(CLASS, PLAN);

    private static String born(String requestClass, String plan) {
        return "{\"verb\":\"Born\",\"gateway\":4,\"rng_seed\":5,\"facts\":{\"balancers\":1,\"ceilings\":{},"
                + "\"costs\":{},\"feedback\":{\"how\":\"off\"},\"obligations\":{},\"me\":0,\"specifics\":{},"
                + "\"profiles\":[" + requestClass + "],\"tiers_of_service\":[" + plan + "]}}\n";
    }

    private static String play(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static void replay(String name) throws IOException {
        try (InputStream recorded =
                SimulatorAdapterTranscriptTest.class.getResourceAsStream("/transcripts/" + name + ".txt")) {
            List<String> lines = new String(recorded.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
            String output = play(linesMarked(lines, "> "));
            assertTrue(lines.size() > 100, name);
            assertEquals(linesMarked(lines, "< "), output, name);
        }
    }

    private static String linesMarked(List<String> lines, String mark) {
        return lines.stream()
                .filter(line -> line.startsWith(mark))
                .map(line -> line.substring(mark.length()) + "\n")
                .collect(Collectors.joining());
    }

    private static void assertRejected(String message, String input) {
        assertEquals(
                message,
                assertThrows(InvalidConfigurationException.class, () -> play(input), input)
                        .getMessage());
    }

    @Test
    void replaysEveryEventAndOutcomeCode() throws IOException {
        replay("every-code");
    }

    @Test
    void replaysHealthChecksAndHedgedRequests() throws IOException {
        replay("probes-and-copies");
    }

    @Test
    void replaysEndpointListOnRequest() throws IOException {
        replay("list-on-request");
    }

    @Test
    void replaysOverloadedBackends() throws IOException {
        replay("pressed");
    }

    @Test
    void repliesWithEndOnlyToEmptyBatch() throws IOException {
        assertEquals("{\"verb\":\"End\"}\n{\"verb\":\"End\"}\n", play(SYNC + FLUSH + SYNC + FLUSH));
    }

    @Test
    void setsFirstTimerWhenGatewayStarts() throws IOException {
        assertEquals(
                "{\"verb\":\"WakeMe\",\"gateway\":4,\"handle\":0,\"sleep_for_ms\":250}\n{\"verb\":\"End\"}\n",
                play(SYNC + BORN + FLUSH));
    }

    @Test
    void rejectsMessagesOutsideBatchFraming() {
        assertRejected("Sync inside a batch", SYNC + SYNC);
        assertRejected(
                "field time_ms must not be lower than in the previous batch", SYNC + FLUSH + SYNC.replace("10", "9.5"));
        assertRejected("Flush outside a batch", FLUSH);
        assertRejected("Submit outside a batch", "{\"verb\":\"Submit\"}");
        assertRejected("the input ended inside a batch", SYNC);
        assertRejected("unknown verb Nosuch", SYNC + "{\"verb\":\"Nosuch\"}");
        assertRejected("field verb is missing", SYNC + "{\"time\":1}");
        assertRejected("field verb must be a text", "{\"verb\":7}");
        assertRejected("field time_ms must be a number", "{\"verb\":\"Sync\",\"time_ms\":\"x\"}");
        assertRejected("the message must be an object", "[1]");
        assertRejected("malformed JSON: Unexpected end of input at 1:9", "{\"verb\":");
    }

    @Test
    void rejectsMalformedEvents() {
        assertRejected(
                "TickDue for gateway 4, which is not running",
                SYNC + "{\"verb\":\"TickDue\",\"gateway\":4,\"handle\":0}");
        assertRejected(
                "Submit for gateway 4, which is not running",
                SYNC + BORN + "{\"verb\":\"Killed\",\"gateway\":4}\n{\"verb\":\"Submit\",\"gateway\":4}");
        assertRejected("field gateway is missing", SYNC + "{\"verb\":\"Inbox\"}");
        assertRejected("field gateway is missing", SYNC + "{\"verb\":\"Total\"}");
        assertRejected("field gateway must be a whole number", SYNC + "{\"verb\":\"Killed\",\"gateway\":1.5}");
        assertRejected("field ticket is missing", SYNC + BORN + "{\"verb\":\"Submit\",\"gateway\":4}");
        assertRejected(
                "unknown code odd",
                SYNC + BORN + "{\"verb\":\"Outcome\",\"gateway\":4,\"ticket\":\"a\",\"host\":\"h\",\"code\":\"odd\"}");
        assertRejected(
                "field feedback must hold numbers",
                SYNC + BORN + "{\"verb\":\"ProbeDone\",\"gateway\":4,\"host\":\"h\",\"code\":\"completed\","
                        + "\"feedback\":[\"x\"]}");
    }

    @Test
    void rejectsMalformedEndpointLists() {
        assertRejected(
                "unknown form odd", SYNC + BORN + "{\"verb\":\"Announce\",\"gateway\":4,\"form\":\"odd\",\"ref\":0}");
        assertRejected(
                "no Roster with ref 3",
                SYNC + BORN + "{\"verb\":\"Announce\",\"gateway\":4,\"form\":\"whole\",\"ref\":3}");
        assertRejected(
                "unknown stage_state odd",
                SYNC + "{\"verb\":\"Roster\",\"ref\":0,\"lines\":[{\"host\":\"h\",\"stage_state\":\"odd\"}]}");
        assertRejected("field lines must be a list", SYNC + "{\"verb\":\"Roster\",\"ref\":0,\"lines\":7}");
        assertRejected(
                "field lines[0].host is missing",
                SYNC + "{\"verb\":\"Roster\",\"ref\":0,\"lines\":[{\"stage_state\":\"on\"}]}");
    }

    @Test
    void rejectsInvalidSettings() {
        assertRejected("field facts.profiles[0] must be an object", SYNC + born("7", PLAN));
        assertRejected("field facts.tiers_of_service must not be empty", SYNC + born(CLASS, ""));
        assertRejected(
                "field facts.tiers_of_service[0].quota_rate must be a finite number not below 0",
                SYNC + born(CLASS, PLAN.replace("\"quota_rate\":5", "\"quota_rate\":-5")));
    }
}
