package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import opalcove.decision.EndpointState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A client leaves, by a close or by a reset, and the gateway has not read that yet when an attempt for it would be made:
 * nothing is sent. In each case the event loop is held up while the client leaves, and goes on with what makes the attempt
 * before it reads any socket again.
 */
public class UnreadDisconnectTest {
    /** Requests that may wait for as long as a test does. */
    private static final String[] LONG_DEADLINES = {
        "\"aim_ms\":2000,\"deadline_ms\":4000", "\"aim_ms\":90000,\"deadline_ms\":90000"
    };

    private static final int TIMEOUT_MS = 90_000;
    /** Commands of one connection after which it is not read on. */
    private static final int MAX_PIPELINED = 256;
    /** Longer than what was known of a connection counts as known still, ms; a longer sleep is as good. */
    private static final int POLL_AGE_MS = 60;

    /** How a client leaves. */
    private enum Disconnect {
        CLOSE,
        RESET;

        void apply(Socket client) throws IOException {
            if (this == RESET) {
                client.setSoLinger(true, 0);
            }
            client.close();
        }
    }

    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {{Disconnect.CLOSE}, {Disconnect.RESET}};
    }

    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenClientDisconnectedBeforeBackendBecameAvailable(Disconnect disconnect) throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.DRAINING));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
            testBed.awaitCounter("asks_open", 1);
            testBed.runWhileLoopBlocked(
                    () -> disconnectAndWait(disconnect, client),
                    () -> testBed.dispatcher.endpointsChanged(true, List.of(backend.withState(EndpointState.UP))));
            assertNothingSent(testBed, backend, 1);
        }
    }

    /** The backend's refusal and the client's leaving come while the loop is held up, the refusal first. */
    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenClientDisconnectedBetweenAttempts(Disconnect disconnect) throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend first = testBed.startBackend("n1");
            RespTestBed.FakeBackend second = testBed.startBackend("n2");
            testBed.setEndpoints(first.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
            RespTestBed.BackendPeer connection = first.accept();
            assertTrue(connection.readCommand().contains(RespTestBed.requestId(1)));
            testBed.setEndpoints(first.withState(EndpointState.DRAINING), second.withState(EndpointState.UP));
            testBed.runWhileLoopBlocked(
                    () -> {
                        connection.send("-BUSY\r\n");
                        disconnectAndWait(disconnect, client);
                    },
                    () -> {});
            testBed.awaitCounter("attempts_turned_away", 1);
            assertNothingSent(testBed, second, 1);
        }
    }

    /** The request is read after its client has left; a connection is at rest, so that it would be sent on at once. */
    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenClientDisconnectedBeforeRequestWasRead(Disconnect disconnect) throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
            RespTestBed.BackendPeer connection = backend.accept();
            connection.readCommand();
            connection.sendValue("one");
            assertEquals(RespTestBed.readReply(client), "one");
            testBed.awaitCounter("links_resting", 1);
            testBed.runWhileLoopBlocked(
                    () -> {
                        RespTestBed.send(client, RespTestBed.query(2, TIMEOUT_MS));
                        disconnectAndWait(disconnect, client);
                    },
                    () -> {});
            testBed.awaitCounter("asks_open", 0);
            Socket next = testBed.connectClient();
            RespTestBed.send(next, RespTestBed.query(99, TIMEOUT_MS));
            assertTrue(
                    connection.readCommand().contains(RespTestBed.requestId(99)),
                    "a request of a client that had left was sent on");
            assertTrue(backend.receivedNothing(), "a request of a client that had left was sent on");
        }
    }

    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenClientDisconnectedDuringConnect(Disconnect disconnect) throws Exception {
        assertNothingSentWhenDisconnectedDuringConnect(disconnect, RespTestBed.query(1, TIMEOUT_MS), 1);
    }

    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenClientDisconnectedWithPipelinedRequests(Disconnect disconnect) throws Exception {
        assertNothingSentWhenDisconnectedDuringConnect(
                disconnect, RespTestBed.query(1, TIMEOUT_MS) + RespTestBed.PING + RespTestBed.query(2, TIMEOUT_MS), 2);
    }

    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenClientDisconnectedWhileFullPipelinePausedReads(Disconnect disconnect) throws Exception {
        assertNothingSentWhenDisconnectedDuringConnect(disconnect, fullPipeline() + RespTestBed.PING.repeat(10), 2);
    }

    /** So much lies unread that the end does not show in the first read of it. */
    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenClientDisconnectedBehindManyUnreadBytes(Disconnect disconnect) throws Exception {
        assertNothingSentWhenDisconnectedDuringConnect(disconnect, fullPipeline() + RespTestBed.PING.repeat(3000), 2);
    }

    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenClientDisconnectedWhileErrorPausedReads(Disconnect disconnect) throws Exception {
        assertNothingSentWhenDisconnectedDuringConnect(
                disconnect,
                RespTestBed.query(1, TIMEOUT_MS) + RespTestBed.encodeCommand("UNKNOWN") + "+no command\r\n",
                1);
    }

    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenClientDisconnectedAfterInvalidInput(Disconnect disconnect) throws Exception {
        assertNothingSentWhenDisconnectedDuringConnect(
                disconnect, RespTestBed.query(1, TIMEOUT_MS) + "no command\r\n" + "x".repeat(100_000), 1);
    }

    /** One read of the connection brings what came before the client left, and ends before the end that lies behind it. */
    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenDisconnectIsUnreadBehindBytesOfSameTurn(Disconnect disconnect) throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
            Runnable heldConnection = testBed.awaitHeldConnection();
            testBed.runWhileLoopBlocked(
                    () -> {
                        RespTestBed.send(client, RespTestBed.PING);
                        disconnectAndWait(disconnect, client);
                    },
                    () -> {
                        testBed.vertx.setTimer(1, read -> heldConnection.run());
                        // So that it is due in the next turn, once that has read its sockets.
                        sleep(5);
                    });
            assertNothingSent(testBed, backend, 1);
        }
    }

    /** Each of the clients that leave together leaves room for the requests of the others. */
    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenManyClientsDisconnectTogether(Disconnect disconnect) throws Exception {
        int clients = 12;
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            List<Socket> sockets = new ArrayList<>();
            List<Runnable> heldConnections = new ArrayList<>();
            for (int i = 1; i <= clients; i++) {
                Socket client = testBed.connectClient();
                RespTestBed.send(client, RespTestBed.query(i, TIMEOUT_MS));
                testBed.awaitCounter("taken", i);
                heldConnections.add(testBed.awaitHeldConnection());
                sockets.add(client);
            }
            testBed.runWhileLoopBlocked(
                    () -> {
                        for (Socket client : sockets) {
                            disconnect.apply(client);
                        }
                        Thread.sleep(POLL_AGE_MS);
                    },
                    () -> heldConnections.forEach(Runnable::run));
            assertNothingSent(testBed, backend, clients);
        }
    }

    /** The attempt is made while the client is there, in a turn of the event loop in which the client then leaves. */
    @Test(dataProvider = "disconnects")
    public void sendsNothingWhenClientDisconnectsInTurnOfAttempt(Disconnect disconnect) throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
            Runnable heldConnection = testBed.awaitHeldConnection();
            testBed.onLoop(() -> {
                heldConnection.run();
                try {
                    disconnectAndWait(disconnect, client);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            assertNothingSent(testBed, backend, 1);
        }
    }

    /** A client that stays loses nothing by the looks: what they read is served in its order. */
    @Test
    public void respondsInOrderToCommandsReadByPollsWhenClientStays() throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
            Runnable first = testBed.awaitHeldConnection();
            // Looked at with a command and a half unread, though the connection is read.
            String next = RespTestBed.encodeCommand("PING", "two");
            testBed.runWhileLoopBlocked(
                    () -> {
                        RespTestBed.send(client, next + next.substring(0, 9));
                        Thread.sleep(POLL_AGE_MS);
                    },
                    first);
            RespTestBed.send(client, next.substring(9) + RespTestBed.PING);
            RespTestBed.BackendPeer connection = backend.nextConnectionWithCommand();
            assertTrue(connection.readCommand().contains(RespTestBed.requestId(1)));
            connection.sendValue("one");
            for (String reply : List.of("one", "two", "two", "+PONG")) {
                assertEquals(RespTestBed.readReply(client), reply);
            }
        }
    }

    private static void assertNothingSentWhenDisconnectedDuringConnect(
            Disconnect disconnect, String commands, int requests) throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, commands);
            List<Runnable> heldConnections = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                heldConnections.add(testBed.awaitHeldConnection());
            }
            testBed.runWhileLoopBlocked(
                    () -> disconnectAndWait(disconnect, client), () -> heldConnections.forEach(Runnable::run));
            assertNothingSent(testBed, backend, requests);
        }
    }

    private static void sleep(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void disconnectAndWait(Disconnect disconnect, Socket client)
            throws IOException, InterruptedException {
        disconnect.apply(client);
        Thread.sleep(POLL_AGE_MS);
    }

    /** The client's requests have ended, and the next client's request is the first that the backend gets after that. */
    private static void assertNothingSent(RespTestBed testBed, RespTestBed.FakeBackend backend, int requests)
            throws Exception {
        testBed.awaitCounter("terminals_left", requests);
        testBed.awaitCounter("asks_open", 0);
        testBed.stopHoldingConnections();
        Socket next = testBed.connectClient();
        RespTestBed.send(next, RespTestBed.query(99, TIMEOUT_MS));
        RespTestBed.BackendPeer connection = backend.nextConnectionWithCommand();
        assertTrue(
                connection.readCommand().contains(RespTestBed.requestId(99)),
                "a request of a client that had left was sent on");
        connection.sendValue("next");
        assertEquals(RespTestBed.readReply(next), "next");
        assertTrue(backend.receivedNothing(), "a request of a client that had left was sent on");
    }

    /** A request, and as many commands and another request that the connection is not read after them. */
    private static String fullPipeline() {
        return RespTestBed.query(1, TIMEOUT_MS)
                + RespTestBed.PING.repeat(MAX_PIPELINED - 1)
                + RespTestBed.query(2, TIMEOUT_MS);
    }
}
