package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import opalcove.decision.EndpointState;
import org.testng.annotations.Test;

/** Checks each reply that a client can receive, byte for byte, as literal text. */
public class RespRepliesTest {
    private static final int DEADLINE_MS = 4000;
    private static final String TENANT = "00000000000000b2";
    private static final String ID = "0000000000000001";
    private static final String PARAMETERS = "c=slot-status,t=start,d=4000,units=1,spread=1,first=0";
    private static final String KEYED_PARAMETERS = "c=swap-record,t=start,d=4000,units=1,spread=1,first=0";

    /** A class whose requests must not be retried, in addition to those of the test settings. */
    private static final String UNSAFE = "{\"name\":\"lock\",\"value\":2,\"aim_ms\":2000,\"deadline_ms\":4000,"
            + "\"idempotency\":\"unsafe\",\"group\":\"all\"},";

    private static final String INFO =
            """
            taken=0
            joined=0
            attempts=0
            attempts_served=0
            attempts_error=0
            attempts_turned_away=0
            attempts_timed_out=0
            attempts_unreachable=0
            attempts_broken=0
            attempts_cancelled=0
            attempts_not_sent=0
            given_up=0
            lapsed_while_dialled=0
            probes=0
            served=0
            refused=0
            refused.decided=0
            refused.too_many_open=0
            refused.ending=0
            refused.unread_in_time=0
            refused.no_memory=0
            refused.client_unknown=0
            failed=0
            connections_ended.idle=0
            connections_ended.drained=0
            connections_ended.for_room=0
            connections_ended.stalled=0
            connections_ended.protocol=0
            connections_ended.cut=0
            terminals_left=0
            list_calls_failed=0
            lists_refused=0
            starts_of_other_clocks=0
            connections_closed_for_descriptors=0
            connections_refused_for_descriptors=0
            client_checks_incomplete=0
            reads_paused_for_memory=0
            allocations_failed=0
            stopped_by_guards=0
            ended_by_deadline_guard=0
            rule_stopped.answer_in_time=0
            rule_broken.answer_in_time=0
            rule_stopped.closed_unanswered=0
            rule_broken.closed_unanswered=0
            rule_stopped.client_waits=0
            rule_broken.client_waits=0
            rule_stopped.deadline_passed_on=0
            rule_broken.deadline_passed_on=0
            rule_stopped.listed=0
            rule_broken.listed=0
            rule_stopped.repeat=0
            rule_broken.repeat=0
            rule_stopped.attempts=0
            rule_broken.attempts=0
            rule_stopped.refusal=0
            rule_broken.refusal=0
            asks_open=0
            links_open=0
            links_resting=0
            """;

    /** Sends the bytes on a new connection and checks that the received bytes begin with the reply. */
    private static void assertReply(RespTestBed testBed, String sent, String reply) throws Exception {
        assertReply(testBed.connectClient(), sent, reply);
    }

    private static void assertReply(Socket client, String sent, String reply) throws Exception {
        RespTestBed.send(client, sent);
        byte[] received = client.getInputStream().readNBytes(reply.length());
        assertEquals(new String(received, StandardCharsets.ISO_8859_1), reply, sent);
    }

    @Test
    public void repliesToCommandsThatNeedNoBackend() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            assertReply(testBed, RespTestBed.PING, "+PONG\r\n");
            assertReply(testBed, RespTestBed.encodeCommand("ping"), "+PONG\r\n");
            assertReply(testBed, RespTestBed.encodeCommand("PING", "hello"), "$5\r\nhello\r\n");
            assertReply(testBed, RespTestBed.encodeCommand("PING", ""), "$0\r\n\r\n");
            assertReply(testBed, RespTestBed.encodeCommand("CLIENT", "SETNAME", "a"), "+OK\r\n");
            assertReply(testBed, RespTestBed.encodeCommand("SELECT", "0"), "+OK\r\n");
            assertReply(testBed, RespTestBed.encodeCommand("HELLO", "3"), "-ERR unknown command\r\n");
            assertReply(testBed, RespTestBed.encodeCommand("GET", "a"), "-ERR unknown command\r\n");
            assertReply(testBed, RespTestBed.encodeCommand(""), "-ERR unknown command\r\n");
            testBed.onLoop(() -> testBed.server.setDrainRequested(true));
            assertReply(testBed, RespTestBed.PING, "-ERR draining\r\n");
            testBed.onLoop(() -> testBed.server.setDrainRequested(false));
            assertReply(testBed, RespTestBed.PING, "+PONG\r\n");
        }
    }

    @Test
    public void reportsZeroCountersInInfoBeforeFirstRequest() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            assertReply(testBed, RespTestBed.encodeCommand("info"), "$" + INFO.length() + "\r\n" + INFO + "\r\n");
        }
    }

    private static String[][] invalidRequests() {
        return new String[][] {
            {RespTestBed.encodeCommand("SVC.QUERY", TENANT, ID), "wrong number of words for SVC.QUERY"},
            {
                RespTestBed.encodeCommand("SVC.QUERY", TENANT, ID, PARAMETERS, "body"),
                "wrong number of words for SVC.QUERY"
            },
            {RespTestBed.encodeCommand("svc.submit", TENANT, ID, PARAMETERS), "wrong number of words for SVC.SUBMIT"},
            {RespTestBed.encodeCommand("SVC.QUERY", TENANT, ID, ""), "expected name=value"},
            {RespTestBed.encodeCommand("SVC.QUERY", TENANT, ID, "=1," + PARAMETERS), "expected name=value"},
            {RespTestBed.encodeCommand("SVC.QUERY", TENANT, ID, PARAMETERS + ",d=3"), "a name comes twice"},
            // Guards the event loop against heads of thousands of fields, each of which costs time.
            {query(PARAMETERS + otherParameters(59)), "more than 64 parameters"},
            {query(PARAMETERS + otherParameters(4000)), "more than 64 parameters"},
            {query(PARAMETERS + otherParameters(58) + ",d=3"), "more than 64 parameters"},
            {query(PARAMETERS + otherParameters(57) + ",d=3"), "a name comes twice"},
            {query(PARAMETERS.replace("c=slot-status,", "")), "c is missing"},
            {query(PARAMETERS.replace("slot-status", "none")), "unknown class"},
            {query(KEYED_PARAMETERS), "SVC.QUERY does not serve swap-record"},
            {
                RespTestBed.encodeCommand("SVC.SUBMIT", TENANT, ID, PARAMETERS, "body"),
                "SVC.SUBMIT does not serve slot-status"
            },
            {RespTestBed.encodeCommand("SVC.QUERY", TENANT, "1", PARAMETERS), "the id must be 16 hex digits"},
            {
                RespTestBed.encodeCommand("SVC.QUERY", TENANT, "000000000000000g", PARAMETERS),
                "the id must be 16 hex digits"
            },
            {RespTestBed.encodeCommand("SVC.QUERY", "b2", ID, PARAMETERS), "the operator must be 16 hex digits"},
            {RespTestBed.encodeCommand("SVC.QUERY", "0000000200000000", ID, PARAMETERS), "the operator is out of range"
            },
            {query(PARAMETERS.replace("t=start", "t=")), "t is missing"},
            {query(PARAMETERS.replace("t=start", "t=none")), "unknown plan"},
            {query(PARAMETERS.replace(",units=1", "")), "units is missing"},
            {query(PARAMETERS.replace("units=1", "units=1e2")), "units is not a number in range"},
            {query(PARAMETERS.replace("units=1", "units=0")), "the units are out of range"},
            {query(PARAMETERS.replace("units=1", "units=9")), "the units are out of range"},
            {query(PARAMETERS.replace("d=4000,", "")), "d is missing"},
            {query(PARAMETERS.replace("d=4000", "d=-1")), "d is not a number in range"},
            {query(PARAMETERS.replace("d=4000", "d=4001")), "the time to wait is out of range"},
            {query(PARAMETERS.replace("spread=1", "spread=1.5")), "spread is not a whole number"},
            {query(PARAMETERS.replace("spread=1", "spread=2")), "the operator's gateways are out of range"},
            {query(PARAMETERS.replace("first=0", "first=1")), "the operator's gateways are out of range"},
            {RespTestBed.encodeCommand("SVC.SUBMIT", TENANT, ID, KEYED_PARAMETERS, "body"), "k is missing"},
            {
                RespTestBed.encodeCommand("SVC.SUBMIT", TENANT, ID, KEYED_PARAMETERS + ",k=a b", "body"),
                "the key cannot be passed on"
            },
            {"*0\r\n", "expected a command"},
            {"*1\r\n:1\r\n", "expected a command"},
            {"*1\r\n$-1\r\n", "expected a command"},
            {"+PING\r\n", "expected a command"},
        };
    }

    private static String otherParameters(int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(",x").append(i).append("=1");
        }
        return text.toString();
    }

    private static String query(String parameters) {
        return RespTestBed.encodeCommand("SVC.QUERY", TENANT, ID, parameters);
    }

    /** Each invalid request gets its own error, and the connection stays usable. */
    @Test
    public void rejectsInvalidRequestWithoutClosingConnection() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            for (String[] each : invalidRequests()) {
                Socket client = testBed.connectClient();
                assertReply(client, each[0], "-ERR " + each[1] + "\r\n");
                assertReply(client, RespTestBed.PING, "+PONG\r\n");
            }
        }
    }

    /** Input that is not RESP2 is reported, and the connection is closed. */
    @Test
    public void reportsProtocolErrorAndClosesConnectionOnMalformedInput() throws Exception {
        String[][] cases = {
            {"PING\r\n", "expected a RESP2 value"},
            {"\r\n", "an empty line"},
            {"+" + "x".repeat(5000), "too long a line"},
            {"*9\r\n", "a length must be a number from 0 to 8"},
            {"*x\r\n", "a length must be a number from 0 to 8"},
            {"*2\r\n$4\r\nPING\r\n$65537\r\n", "a length must be a number from 0 to 65536"},
            {"*1\r\n$65537\r\n", "a string of 65537 bytes is not taken here"},
            {"*1\r\n$67108865\r\n", "a length must be a number from 0 to 67108864"},
            {"*1\r\n$3\r\nabcd\r\n", "a bulk string is longer than announced"},
            {"*1\r\n*1\r\n*1\r\n*1\r\n", "arrays too deep"},
        };
        try (RespTestBed testBed = new RespTestBed()) {
            for (String[] each : cases) {
                Socket client = testBed.connectClient();
                assertReply(client, each[0], "-ERR Protocol error: " + each[1] + "\r\n");
                assertEquals(client.getInputStream().read(), -1, each[1]);
            }
        }
    }

    @Test
    public void forwardsValueAndErrorOfBackend() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            RespTestBed.FakeBackend backend = testBed.startBackend("s-1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, DEADLINE_MS));
            RespTestBed.BackendPeer connection = backend.nextConnectionWithCommand();
            connection.readCommand();
            connection.sendValue("value");
            assertReply(client, "", "$5\r\nvalue\r\n");
        }
        try (RespTestBed testBed = new RespTestBed(
                "\"max_attempts\":6", "\"max_attempts\":1", "\"profiles\":[", "\"profiles\":[" + UNSAFE)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("s-1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            String parameters = PARAMETERS.replace("slot-status", "lock");
            // Both are sent in one write, so that the second is read before the first can get its response.
            String command = RespTestBed.encodeCommand("SVC.SUBMIT", TENANT, ID, parameters, "body");
            RespTestBed.send(client, command + command);
            RespTestBed.BackendPeer connection = backend.nextConnectionWithCommand();
            connection.readCommand();
            connection.send("-ERR failed\r\n");
            assertReply(client, "", "-ERR failed\r\n-ERR this id is under way\r\n");
        }
    }

    /** Checks both forms of a rejection: with a retry delay, and without one. */
    @Test
    public void repliesBusyWithRetryDelayOnlyIfOneIsAllowed() throws Exception {
        for (boolean hasRetryDelay : new boolean[] {true, false}) {
            String max = "\"max_retry_after_ms\":2000";
            try (RespTestBed testBed = new RespTestBed(
                    "\"max_open\":1000", "\"max_open\":1", max, hasRetryDelay ? max : "\"max_retry_after_ms\":0")) {
                RespTestBed.FakeBackend backend = testBed.startBackend("s-1");
                testBed.setEndpoints(backend.withState(EndpointState.UP));
                Socket first = testBed.connectClient();
                RespTestBed.send(first, RespTestBed.query(1, DEADLINE_MS));
                RespTestBed.BackendPeer connection = backend.nextConnectionWithCommand();
                assertReply(testBed, RespTestBed.query(2, DEADLINE_MS), hasRetryDelay ? "-BUSY 2000\r\n" : "-BUSY\r\n");
                connection.readCommand();
                connection.sendValue("value");
                assertEquals(RespTestBed.readReply(first), "value");
                assertTrue(testBed.counter("refused.too_many_open") == 1);
            }
        }
    }
}
