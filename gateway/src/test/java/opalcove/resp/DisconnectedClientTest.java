package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.util.List;
import opalcove.decision.EndpointState;
import org.testng.annotations.Test;

/**
 * Checks that nothing is sent to a backend for a client that disconnected while its request waited, whatever it waited
 * for. In each test the gateway detects the disconnect first; then the event that the request waited for occurs, and
 * the next request must be the first that the backend receives.
 */
public class DisconnectedClientTest {
    /** Settings with deadlines longer than a test. */
    private static final String[] LONG_DEADLINES = {
        "\"aim_ms\":2000,\"deadline_ms\":4000", "\"aim_ms\":90000,\"deadline_ms\":90000"
    };

    private static final int TIMEOUT_MS = 90_000;
    /** The number of pipelined commands after which a connection is no longer read. */
    private static final int MAX_PIPELINED = 256;

    @Test
    public void sendsNothingAfterDisconnectWhenNoBackendWasAvailable() throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.DRAINING));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
            testBed.awaitCounter("asks_open", 1);
            client.close();
            testBed.awaitCounter("terminals_left", 1);
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            assertNextRequestIsFirstAtBackend(testBed, backend);
        }
    }

    /** Guards a request with an effect against running twice when its id comes again after its client has left. */
    @Test
    public void doesNotSendRequestAgainThatMayHaveRunForDisconnectedClient() throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.submit(1, 4000, "key"));
            RespTestBed.BackendPeer connection = backend.accept();
            assertTrue(connection.readCommand().contains(RespTestBed.requestId(1)));
            client.close();
            testBed.awaitCounter("terminals_left", 1);
            Socket again = testBed.connectClient();
            RespTestBed.send(again, RespTestBed.submit(1, 4000, "key"));
            assertEquals(RespTestBed.readReply(again), "-ERR this id may have run before");
            assertNextRequestIsFirstAtBackend(testBed, backend);
        }
    }

    /** A request that is safe to repeat, or that no backend can have executed, is served when its id comes again. */
    @Test
    public void servesRequestAgainThatIsSafeOrWasNotSentForDisconnectedClient() throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
            backend.accept().readCommand();
            testBed.holdConnections();
            Socket waiting = testBed.connectClient();
            RespTestBed.send(waiting, RespTestBed.submit(2, 4000, "key"));
            Runnable heldConnection = testBed.awaitHeldConnection();
            client.close();
            waiting.close();
            testBed.awaitCounter("terminals_left", 2);
            testBed.stopHoldingConnections();
            testBed.releaseConnection(heldConnection);
            for (String command : List.of(RespTestBed.query(1, TIMEOUT_MS), RespTestBed.submit(2, 4000, "key"))) {
                Socket again = testBed.connectClient();
                RespTestBed.send(again, command);
                RespTestBed.BackendPeer connection = backend.nextConnectionWithCommand();
                connection.readCommand();
                connection.sendValue("again");
                assertEquals(RespTestBed.readReply(again), "again");
                connection.reset();
            }
        }
    }

    @Test
    public void sendsNothingAfterDisconnectWhenRequestWaitedForRetry() throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
            RespTestBed.BackendPeer connection = backend.accept();
            assertTrue(connection.readCommand().contains(RespTestBed.requestId(1)));
            testBed.setEndpoints(backend.withState(EndpointState.DRAINING));
            connection.send("-BUSY\r\n");
            testBed.awaitCounter("attempts_turned_away", 1);
            client.close();
            testBed.awaitCounter("terminals_left", 1);
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            assertNextRequestIsFirstAtBackend(testBed, backend);
        }
    }

    @Test
    public void sendsNothingAfterDisconnectWhenRequestsWerePipelined() throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(
                    client, RespTestBed.query(1, TIMEOUT_MS) + RespTestBed.PING + RespTestBed.query(2, TIMEOUT_MS));
            Runnable first = testBed.awaitHeldConnection();
            Runnable second = testBed.awaitHeldConnection();
            client.close();
            testBed.awaitCounter("terminals_left", 2);
            testBed.releaseConnection(first);
            testBed.releaseConnection(second);
            testBed.awaitCounter("links_resting", 2);
            assertNextRequestIsFirstAtBackend(testBed, backend);
        }
    }

    @Test
    public void sendsNothingAfterDisconnectWhenFullPipelinePausedReads() throws Exception {
        assertNothingSentWithUnreadBytes(RespTestBed.PING.repeat(10));
    }

    @Test
    public void sendsNothingAfterDisconnectWhenManyBytesWereUnread() throws Exception {
        assertNothingSentWithUnreadBytes(RespTestBed.PING.repeat(5000));
    }

    private static void assertNothingSentWithUnreadBytes(String unreadCommands) throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, fullPipeline());
            testBed.awaitCounter("taken", 2);
            Runnable first = testBed.awaitHeldConnection();
            Runnable second = testBed.awaitHeldConnection();
            RespTestBed.send(client, unreadCommands);
            client.close();
            testBed.awaitCounter("terminals_left", 2);
            testBed.releaseConnection(first);
            testBed.releaseConnection(second);
            testBed.awaitCounter("links_resting", 2);
            assertNextRequestIsFirstAtBackend(testBed, backend);
        }
    }

    @Test
    public void sendsNothingAfterDisconnectWhenInvalidInputPausedReads() throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS) + "no command\r\n" + "x".repeat(300_000));
            Runnable heldConnection = testBed.awaitHeldConnection();
            client.close();
            testBed.awaitCounter("terminals_left", 1);
            testBed.releaseConnection(heldConnection);
            testBed.awaitCounter("links_resting", 1);
            assertNextRequestIsFirstAtBackend(testBed, backend);
        }
    }

    /** Commands that were read by polls for a disconnect are not lost: each gets its response, in order. */
    @Test
    public void respondsInOrderToCommandsReadByPollsWhenClientStays() throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, fullPipeline());
            testBed.awaitCounter("taken", 2);
            Runnable first = testBed.awaitHeldConnection();
            Runnable second = testBed.awaitHeldConnection();
            RespTestBed.send(
                    client,
                    RespTestBed.encodeCommand("PING", "behind").repeat(3000) + RespTestBed.query(3, TIMEOUT_MS));
            // The poll that detects this other client's disconnect also reads the unread commands of the first client.
            Socket other = testBed.connectClient();
            RespTestBed.send(other, RespTestBed.query(4, TIMEOUT_MS) + "no command\r\n");
            Runnable otherConnection = testBed.awaitHeldConnection();
            other.close();
            testBed.awaitCounter("terminals_left", 1);
            testBed.releaseConnection(otherConnection);
            testBed.releaseConnection(first);
            testBed.releaseConnection(second);
            for (int served = 0; served < 2; served++) {
                RespTestBed.BackendPeer connection = backend.nextConnectionWithCommand();
                connection.sendValue("value");
            }
            assertEquals(RespTestBed.readReply(client), "value");
            for (int i = 0; i < MAX_PIPELINED - 2; i++) {
                assertEquals(RespTestBed.readReply(client), "+PONG");
            }
            assertEquals(RespTestBed.readReply(client), "value");
            for (int i = 0; i < 3000; i++) {
                assertEquals(RespTestBed.readReply(client), "behind");
            }
            testBed.awaitCounter("taken", 4);
        }
    }

    /** Two requests with PINGs between them, so many commands that the connection is not read after them. */
    private static String fullPipeline() {
        return RespTestBed.query(1, TIMEOUT_MS)
                + RespTestBed.PING.repeat(MAX_PIPELINED - 2)
                + RespTestBed.query(2, TIMEOUT_MS);
    }

    private static void assertNextRequestIsFirstAtBackend(RespTestBed testBed, RespTestBed.FakeBackend backend)
            throws Exception {
        Socket next = testBed.connectClient();
        RespTestBed.send(next, RespTestBed.query(9, TIMEOUT_MS));
        RespTestBed.BackendPeer connection = backend.nextConnectionWithCommand();
        assertTrue(
                connection.readCommand().contains(RespTestBed.requestId(9)),
                "the backend received the request of a disconnected client");
        connection.sendValue("nine");
        assertEquals(RespTestBed.readReply(next), "nine");
    }
}
