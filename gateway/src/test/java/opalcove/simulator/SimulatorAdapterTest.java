package opalcove.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import opalcove.config.InvalidConfigurationException;
import org.junit.jupiter.api.Test;

class SimulatorAdapterTest {
    private static final String FACTS = "{\"balancers\":1,\"ceilings\":{\"max_attempts\":3,\"may_cancel\":true,"
            + "\"retry_after\":true,\"max_retry_after_ms\":500,\"unheard_of\":1},\"costs\":{},\"feedback\":{\"how\":\"off\"},"
            + "\"obligations\":{},\"locality\":\"z\",\"me\":0,\"tick_ms\":2,\"specifics\":{\"meter_period_ms\":1000},"
            + "\"profiles\":[{\"name\":\"look\",\"value\":1,\"aim_ms\":500,\"deadline_ms\":2000,"
            + "\"idempotency\":\"safe\",\"group\":\"all\"}],"
            + "\"tiers_of_service\":[{\"name\":\"p\",\"quota_rate\":5,\"peak_units\":5}]}";
    private static final String BORN = "{\"verb\":\"Sync\",\"time_ms\":10}\n"
            + "{\"verb\":\"Born\",\"gateway\":0,\"rng_seed\":5,\"facts\":" + FACTS + "}\n"
            + "{\"verb\":\"Roster\",\"ref\":0,\"lines\":[{\"host\":\"h\",\"stage_state\":\"on\",\"extra\":[1,{}]}]}\n"
            + "{\"verb\":\"Announce\",\"gateway\":0,\"form\":\"stale_copy\",\"ref\":0,\"gen\":1}\n";
    private static final String SUBMIT = "{\"verb\":\"Submit\",\"gateway\":0,\"ticket\":\"00ab\",\"priority\":\"look\","
            + "\"grade_of_service\":\"p\",\"holder\":\"u\",\"units\":1,\"budget_ms\":2000,\"base\":0,\"entry_points\":1}\n";
    private static final String FLUSH = "{\"verb\":\"Flush\"}\n";

    private static String play(String input) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void repliesWithEndToEmptyBatch() throws Exception {
        assertEquals(
                "{\"verb\":\"End\"}",
                play("{\"verb\":\"Sync\",\"time_ms\":1.5}\n" + FLUSH).trim());
    }

    @Test
    void forwardsRequestAndReadsItsOutcome() throws Exception {
        String out = play(BORN + SUBMIT + FLUSH + "{\"verb\":\"Sync\",\"time_ms\":60}\n"
                + "{\"verb\":\"Outcome\",\"gateway\":0,\"ticket\":\"00ab\",\"host\":\"h\",\"code\":\"completed\","
                + "\"ended\":true,\"latency_ms\":50,\"shot\":0,\"use_pct\":21}\n" + FLUSH);
        assertTrue(out.contains("{\"verb\":\"HandOff\",\"gateway\":0,\"ticket\":\"00ab\",\"host\":\"h\"}"), out);
        assertTrue(out.contains("\"verb\":\"WakeMe\""), out);
        assertEquals(
                2, out.lines().filter(line -> line.equals("{\"verb\":\"End\"}")).count());
    }

    @Test
    void readsEveryEventOfProtocol() throws Exception {
        String out = play(BORN + SUBMIT
                + "{\"verb\":\"TickDue\",\"gateway\":0,\"handle\":999}\n"
                + "{\"verb\":\"Established\",\"gateway\":0,\"ticket\":\"zz\",\"host\":\"h\"}\n"
                + "{\"verb\":\"ProbeDone\",\"gateway\":0,\"host\":\"h\",\"code\":\"overdue\",\"latency_ms\":3}\n"
                + "{\"verb\":\"Inbox\",\"gateway\":0,\"who\":1,\"data\":\"x\"}\n"
                + "{\"verb\":\"Total\",\"gateway\":0,\"name\":1,\"code\":\"completed\",\"now_at\":1}\n"
                + "{\"verb\":\"Announce\",\"gateway\":0,\"form\":\"broken\"}\n"
                + "{\"verb\":\"CancelledByClient\",\"gateway\":0,\"ticket\":\"00ab\"}\n"
                + "{\"verb\":\"Killed\",\"gateway\":0}\n" + FLUSH);
        assertTrue(out.contains("\"verb\":\"CallOff\""), out);
    }

    @Test
    void writesActionsInProtocolForm() throws Exception {
        String out = play(BORN.replace("\"me\":0", "\"me\":0,\"discovery\":\"on_request\"")
                        .replace("\"idempotency\":\"safe\"", "\"idempotency\":\"unsafe\"")
                + SUBMIT
                + SUBMIT.replace("00ab", "00cd").replace("\"grade_of_service\":\"p\"", "\"grade_of_service\":\"odd\"")
                + "{\"verb\":\"Outcome\",\"gateway\":0,\"ticket\":\"00ab\",\"host\":\"h\",\"code\":\"errored\"}\n"
                + FLUSH);
        assertTrue(out.contains("{\"verb\":\"StreamChanges\",\"gateway\":0,\"active\":true}"), out);
        assertTrue(out.contains("{\"verb\":\"NotNow\",\"gateway\":0,\"ticket\":\"00cd\"}"), out);
        assertTrue(out.contains("{\"verb\":\"RespondError\",\"gateway\":0,\"ticket\":\"00ab\"}"), out);
        assertTrue(out.contains("\"verb\":\"Emit\",\"gateway\":0,\"message\":\"refused: unknown plan"), out);
    }

    @Test
    void writesSameActionsForSameEvents() throws Exception {
        assertEquals(play(BORN + SUBMIT + FLUSH), play(BORN + SUBMIT + FLUSH));
    }

    @Test
    void rejectsInvalidInput() {
        String sync = "{\"verb\":\"Sync\",\"time_ms\":10}\n";
        for (String bad : new String[] {
            "[1]",
            sync + "{\"verb\":\"Nosuch\"}",
            sync + "{\"time\":1}",
            FLUSH,
            sync + sync,
            sync + SUBMIT,
            sync,
            BORN + "{\"verb\":\"Submit\",\"gateway\":0}",
            BORN.replace("\"profiles\":[", "\"profiles\":[7,"),
            BORN.replace("\"quota_rate\":5", "\"quota_rate\":-5"),
            BORN.replace("\"stage_state\":\"on\"", "\"stage_state\":\"odd\"")
        }) {
            assertThrows(InvalidConfigurationException.class, () -> play(bad), bad);
        }
        assertThrows(InvalidConfigurationException.class, () -> play("{\"verb\":"));
    }
}
