package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import opalcove.config.Backend;
import opalcove.config.EndpointCodec;
import opalcove.config.HostAndPort;
import opalcove.decision.EndpointState;
import opalcove.discovery.Backoff;
import opalcove.discovery.DiscoveryClient;
import opalcove.discovery.DiscoveryClientTest;
import opalcove.discovery.PollSchedule;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks races on a connection to a backend: its establishment, its close, and replies that are no longer awaited. */
public class BackendConnectionRacesTest {
    private static final String FALL_SETTING = "\"fall_ms\":3000";
    private static final String CANCEL_SETTING = "\"may_cancel\":true";

    /** Backends close a connection after 1.5 s without use: a connection idle for 50 ms is checked before its reuse. */
    private static final String[] SHORT_IDLE_CLOSE = {"\"idle_close_ms\":30000", "\"idle_close_ms\":1500"};

    /**
     * Drain grace periods and how long the event loop is blocked, ms: for the complete grace period, and for a part of
     * it that may add to other delays.
     */
    @DataProvider
    public Object[][] drainGracesAndPauses() {
        return new Object[][] {{1000, 1000}, {1000, 600}, {500, 500}, {500, 300}};
    }

    @DataProvider
    public Object[][] mayCancel() {
        return new Object[][] {{"true"}, {"false"}};
    }

    /**
     * While the event loop is blocked, a request arrives, and then a drain of the backend to which it would be sent on
     * an idle connection. Both are unread when the loop continues, the request before the drain.
     */
    @Test(dataProvider = "drainGracesAndPauses")
    public void doesNotSendRequestToBackendWhenItsDrainIsUnreadBehindRequest(int graceMs, int pauseMs)
            throws Exception {
        try (RespTestBed testBed =
                        new RespTestBed(FALL_SETTING, FALL_SETTING + ",\"stop_sending_within_ms\":" + graceMs);
                ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            RespTestBed.FakeBackend first = testBed.startBackend("n1");
            RespTestBed.FakeBackend second = testBed.startBackend("n2");
            discovery.setSoTimeout(20_000);
            testBed.onLoop(() -> {
                new DiscoveryClient(
                                testBed.vertx,
                                new HostAndPort("127.0.0.1", discovery.getLocalPort()),
                                new PollSchedule(60_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                                testBed.dispatcher::endpointsChanged)
                        .start();
            });
            try (Socket agent = discovery.accept()) {
                DiscoveryClientTest.readCall(agent);
                sendEndpointList(agent, 4, first.withState(EndpointState.UP), second.withState(EndpointState.DRAINING));
                DiscoveryClientTest.readCall(agent);
                Socket client = testBed.connectClient();
                RespTestBed.send(client, RespTestBed.query(1, 4000));
                RespTestBed.BackendPeer idleConnection = first.accept();
                idleConnection.readCommand();
                idleConnection.sendValue("one");
                assertEquals(RespTestBed.readReply(client), "one");
                testBed.awaitCounter("links_resting", 1);
                testBed.runWhileLoopBlocked(
                        () -> {
                            RespTestBed.send(client, RespTestBed.query(2, 4000));
                            sendEndpointList(
                                    agent,
                                    5,
                                    first.withState(EndpointState.DRAINING),
                                    second.withState(EndpointState.UP));
                            Thread.sleep(pauseMs);
                        },
                        () -> {});
                RespTestBed.BackendPeer connection = second.accept();
                assertTrue(connection.readCommand().contains(RespTestBed.requestId(2)));
                connection.sendValue("two");
                assertEquals(RespTestBed.readReply(client), "two");
                assertTrue(idleConnection.isClosedByGateway(), "the draining backend received a request");
            }
        }
    }

    /**
     * While the event loop is blocked, the discovery poll ends without changes, the discovery agent learns of a drain,
     * which it can report only in reply to the next poll, and a request arrives for the draining backend. That request,
     * and one that arrives while the next poll is pending, wait for the reply to that poll.
     */
    @Test(dataProvider = "drainGracesAndPauses")
    public void doesNotSendRequestToBackendWhenItsDrainArrivesWithNextPoll(int graceMs, int pauseMs) throws Exception {
        try (RespTestBed testBed =
                        new RespTestBed(FALL_SETTING, FALL_SETTING + ",\"stop_sending_within_ms\":" + graceMs);
                ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            RespTestBed.FakeBackend first = testBed.startBackend("n1");
            RespTestBed.FakeBackend second = testBed.startBackend("n2");
            discovery.setSoTimeout(20_000);
            Backoff backoff = new Backoff(1, 2, new SplittableRandom(1));
            // Polls wait for 1 ms, so that a reply is late regardless of how long the test took before.
            PollSchedule schedule =
                    new PollSchedule(1, 20_000, 0, backoff, Long.MAX_VALUE, Long.MAX_VALUE, graceMs / 4);
            testBed.onLoop(() -> {
                DiscoveryClient discoveryClient = new DiscoveryClient(
                        testBed.vertx,
                        new HostAndPort("127.0.0.1", discovery.getLocalPort()),
                        schedule,
                        testBed.dispatcher::endpointsChanged);
                testBed.dispatcher.endpointSource(discoveryClient);
                discoveryClient.start();
            });
            try (Socket agent = discovery.accept()) {
                DiscoveryClientTest.readCall(agent);
                sendEndpointList(agent, 4, first.withState(EndpointState.UP), second.withState(EndpointState.DRAINING));
                DiscoveryClientTest.readCall(agent);
                Socket client = testBed.connectClient();
                testBed.runWhileLoopBlocked(
                        () -> {
                            RespTestBed.send(client, RespTestBed.query(1, 4000));
                            sendHttpResponse(agent, "{\"index\":4,\"snapshot\":false,\"endpoints\":[]}");
                            Thread.sleep(pauseMs);
                        },
                        () -> {});
                DiscoveryClientTest.readCall(agent);
                Socket later = testBed.connectClient();
                RespTestBed.send(later, RespTestBed.query(2, 4000));
                testBed.awaitCounter("asks_open", 2);
                sendEndpointList(agent, 5, first.withState(EndpointState.DRAINING), second.withState(EndpointState.UP));
                for (Socket each : List.of(client, later)) {
                    RespTestBed.BackendPeer connection = second.nextConnectionWithCommand();
                    connection.readCommand();
                    connection.sendValue("two");
                    assertEquals(RespTestBed.readReply(each), "two");
                }
                assertTrue(first.receivedNothing(), "a draining backend received a request");
            }
        }
    }

    private static void sendEndpointList(Socket agent, long index, Backend... backends) throws Exception {
        sendHttpResponse(
                agent, EndpointCodec.write(index, true, List.of(backends)).toString());
    }

    private static void sendHttpResponse(Socket agent, String list) throws Exception {
        agent.getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    public void doesNotSendRequestToBackendDrainedDuringConnect() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            RespTestBed.FakeBackend first = testBed.startBackend("n1");
            RespTestBed.FakeBackend second = testBed.startBackend("n2");
            testBed.setEndpoints(first.withState(EndpointState.UP), second.withState(EndpointState.DRAINING));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, 4000));
            Runnable heldConnection = testBed.awaitHeldConnection();
            testBed.setEndpoints(first.withState(EndpointState.DRAINING), second.withState(EndpointState.UP));
            testBed.releaseConnection(heldConnection);
            // The second attempt of the request goes to the other backend.
            testBed.releaseConnection(testBed.awaitHeldConnection());
            RespTestBed.BackendPeer connection = second.accept();
            assertTrue(connection.readCommand().contains(RespTestBed.requestId(1)));
            connection.sendValue("two");
            assertEquals(RespTestBed.readReply(client), "two");
            assertTrue(first.receivedNothing(), "a draining backend received a request");
            assertEquals(testBed.counter("lapsed_while_dialled"), 1);
        }
    }

    @Test
    public void doesNotSendRequestToFormerAddressOfBackendMovedDuringConnect() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            RespTestBed.FakeBackend before = testBed.startBackend("n1");
            RespTestBed.FakeBackend after = testBed.startBackend("n1");
            testBed.setEndpoints(before.withState(EndpointState.UP));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, 4000));
            Runnable heldConnection = testBed.awaitHeldConnection();
            testBed.setEndpoints(after.withState(EndpointState.UP));
            testBed.releaseConnection(heldConnection);
            testBed.releaseConnection(testBed.awaitHeldConnection());
            RespTestBed.BackendPeer connection = after.accept();
            assertTrue(connection.readCommand().contains(RespTestBed.requestId(1)));
            connection.sendValue("moved");
            assertEquals(RespTestBed.readReply(client), "moved");
            assertTrue(before.receivedNothing(), "the former address received a request");
        }
    }

    @Test(dataProvider = "mayCancel")
    public void doesNotSendRequestWhenClientDisconnectedDuringConnect(String mayCancel) throws Exception {
        try (RespTestBed testBed = new RespTestBed(CANCEL_SETTING, "\"may_cancel\":" + mayCancel)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, 4000));
            Runnable heldConnection = testBed.awaitHeldConnection();
            client.close();
            testBed.awaitCounter("terminals_left", 1);
            testBed.releaseConnection(heldConnection);
            // The connection stays open, and a later request is the first that the backend receives on it.
            testBed.awaitCounter("links_resting", 1);
            Socket other = testBed.connectClient();
            RespTestBed.send(other, RespTestBed.query(2, 4000));
            RespTestBed.BackendPeer connection = backend.accept();
            assertTrue(
                    connection.readCommand().contains(RespTestBed.requestId(2)),
                    "the request of a disconnected client was sent");
            connection.sendValue("two");
            assertEquals(RespTestBed.readReply(other), "two");
        }
    }

    /**
     * A connect that is cancelled because its client disconnected does not count as a failure of the backend: the next
     * request is sent there at once.
     */
    @Test
    public void doesNotCountCancelledConnectAsBackendFailureWhenClientDisconnected() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            for (int count = 1; count <= 4; count++) {
                Socket client = testBed.connectClient();
                RespTestBed.send(client, RespTestBed.query(count, 4000));
                testBed.awaitHeldConnection();
                client.close();
                testBed.awaitCounter("terminals_left", count);
                assertEquals(testBed.counter("attempts"), count);
            }
            testBed.onLoop(() -> testBed.dispatch(9, 4000, new LinkedBlockingQueue<>()));
            assertEquals(testBed.counter("attempts"), 5);
        }
    }

    @Test(dataProvider = "mayCancel")
    public void doesNotSendRequestThatGotItsResponseDuringConnect(String mayCancel) throws Exception {
        try (RespTestBed testBed = new RespTestBed(CANCEL_SETTING, "\"may_cancel\":" + mayCancel)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, 100));
            Runnable heldConnection = testBed.awaitHeldConnection();
            assertTrue(
                    RespTestBed.readReply(client).startsWith("-"),
                    "expected a final response in time, though no connection was established");
            testBed.releaseConnection(heldConnection);
            testBed.awaitCounter("asks_open", 0);
            assertTrue(backend.receivedNothing(), "a request that already had its response was sent");
        }
    }

    @Test
    public void closesConnectionAtDeadlineWhenAttemptMayNotBeCancelled() throws Exception {
        try (RespTestBed testBed = new RespTestBed(CANCEL_SETTING, "\"may_cancel\":false")) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, 100));
            RespTestBed.BackendPeer connection = backend.accept();
            connection.readCommand();
            assertTrue(RespTestBed.readReply(client).startsWith("-"));
            assertTrue(
                    connection.isClosedByGateway(), "the connection stays open for a reply that is no longer awaited");
            testBed.awaitCounter("links_open", 0);
        }
    }

    @Test
    public void doesNotSendRetryWhenItsWindowEndedDuringConnect() throws Exception {
        try (RespTestBed testBed =
                new RespTestBed("\"window_ms\":4000", "\"window_ms\":700", "\"group\":\"cell\"", "\"group\":\"all\"")) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            RespTestBed.FakeBackend other = testBed.startBackend("n2");
            testBed.setEndpoints(backend.withState(EndpointState.UP), other.withState(EndpointState.DRAINING));
            // The decision module makes one priced retry for every ten first attempts.
            RespTestBed.BackendPeer connection = idleConnection(testBed, backend);
            for (int i = 0; i < 10; i++) {
                serveAnotherRequest(testBed, connection);
            }
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.submit(99, 2000, "k1"));
            connection.readCommand();
            long sentAtNanos = System.nanoTime();
            testBed.setEndpoints(backend.withState(EndpointState.DRAINING), other.withState(EndpointState.UP));
            testBed.holdConnections();
            // The first attempt may have run, so the other backend may receive the request only within the retry
            // window.
            connection.reset();
            Runnable heldConnection = testBed.awaitHeldConnection();
            while (System.nanoTime() - sentAtNanos < TimeUnit.MILLISECONDS.toNanos(700)) {
                Thread.onSpinWait();
            }
            testBed.releaseConnection(heldConnection);
            assertTrue(RespTestBed.readReply(client).startsWith("-"));
            assertTrue(other.receivedNothing(), "a retry was sent after its window");
        }
    }

    @Test
    public void doesNotWriteToIdleConnectionThatBackendHasClosed() throws Exception {
        try (RespTestBed testBed = new RespTestBed(SHORT_IDLE_CLOSE)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            RespTestBed.BackendPeer connection = idleConnection(testBed, backend);
            BlockingQueue<String> responses = new LinkedBlockingQueue<>();
            testBed.runWhileLoopBlocked(
                    () -> {
                        idleUntilCheckIsDue();
                        connection.socket.close();
                    },
                    () -> testBed.dispatch(2, 4000, responses));
            RespTestBed.BackendPeer fresh = backend.accept();
            assertTrue(fresh.readCommand().contains(RespTestBed.requestId(2)));
            fresh.sendValue("two");
            assertEquals(responses.poll(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS), "two");
            assertEquals(testBed.counter("attempts_broken"), 0);
            assertEquals(testBed.counter("attempts"), 2);
        }
    }

    @Test
    public void doesNotTakeUnreadSecondReplyForNextRequest() throws Exception {
        try (RespTestBed testBed = new RespTestBed(SHORT_IDLE_CLOSE)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            RespTestBed.BackendPeer connection = idleConnection(testBed, backend);
            BlockingQueue<String> responses = new LinkedBlockingQueue<>();
            testBed.runWhileLoopBlocked(
                    () -> {
                        idleUntilCheckIsDue();
                        connection.sendValue("one again");
                    },
                    () -> testBed.dispatch(2, 4000, responses));
            RespTestBed.BackendPeer fresh = backend.accept();
            assertTrue(fresh.readCommand().contains(RespTestBed.requestId(2)));
            fresh.sendValue("two");
            assertEquals(responses.poll(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS), "two");
            assertTrue(connection.isClosedByGateway(), "the connection with a second reply was not closed");
        }
    }

    /** After second replies, no connection is reused without a check, however short it was idle. */
    @Test
    public void checksBrieflyIdleConnectionsAfterSecondReply() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            RespTestBed.BackendPeer connection = idleConnection(testBed, backend);
            connection.sendValue("one again");
            assertTrue(connection.isClosedByGateway());
            for (int round = 0; round < 10; round++) {
                RespTestBed.BackendPeer next = idleConnection(testBed, backend);
                BlockingQueue<String> responses = new LinkedBlockingQueue<>();
                testBed.runWhileLoopBlocked(
                        () -> next.sendValue("one again"), () -> testBed.dispatch(2, 4000, responses));
                RespTestBed.BackendPeer fresh = backend.accept();
                assertTrue(fresh.readCommand().contains(RespTestBed.requestId(2)));
                fresh.sendValue("two");
                assertEquals(responses.poll(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS), "two");
                testBed.awaitCounter("links_resting", 1);
                fresh.sendValue("two again");
                assertTrue(fresh.isClosedByGateway());
            }
        }
    }

    /** Waits until a connection has been idle for longer than the gateway reuses it without a check. */
    private static void idleUntilCheckIsDue() throws InterruptedException {
        Thread.sleep(60);
    }

    @Test
    public void doesNotDeliverReplyToNextRequestWhenClientDisconnected() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, 4000));
            RespTestBed.BackendPeer connection = backend.accept();
            connection.readCommand();
            BlockingQueue<String> responses = new LinkedBlockingQueue<>();
            // Both are unread when the next request is dispatched. Whichever is read first, the next request must get
            // its own response.
            testBed.runWhileLoopBlocked(
                    () -> {
                        connection.sendValue("one");
                        client.close();
                    },
                    () -> testBed.dispatch(2, 4000, responses));
            RespTestBed.BackendPeer other = backend.accept();
            assertTrue(other.readCommand().contains(RespTestBed.requestId(2)));
            other.sendValue("two");
            assertEquals(responses.poll(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS), "two");
            testBed.awaitCounter("asks_open", 0);
            assertEquals(testBed.counter("attempts"), 2);
        }
    }

    @Test
    public void givesOneResponseAndServesNextRequestWhenReplyIsLate() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, 150));
            RespTestBed.BackendPeer connection = backend.accept();
            connection.readCommand();
            String first = RespTestBed.readReply(client);
            assertNotEquals(first, "one");
            // The attempt was cancelled with that response; its backend now replies on a closed connection.
            try {
                connection.sendValue("one");
            } catch (java.net.SocketException closed) {
                assertTrue(connection.isClosedByGateway());
            }
            RespTestBed.send(client, RespTestBed.query(2, 4000));
            RespTestBed.BackendPeer fresh = backend.accept();
            assertTrue(fresh.readCommand().contains(RespTestBed.requestId(2)));
            fresh.sendValue("two");
            assertEquals(RespTestBed.readReply(client), "two");
        }
    }

    /** Returns a connection that has carried one reply and is idle. */
    private static RespTestBed.BackendPeer idleConnection(RespTestBed testBed, RespTestBed.FakeBackend backend)
            throws Exception {
        Socket client = testBed.connectClient();
        RespTestBed.send(client, RespTestBed.query(1, 4000));
        RespTestBed.BackendPeer connection = backend.accept();
        connection.readCommand();
        connection.sendValue("one");
        assertEquals(RespTestBed.readReply(client), "one");
        testBed.awaitCounter("links_resting", 1);
        return connection;
    }

    /** Serves one more request on an idle connection. */
    private static void serveAnotherRequest(RespTestBed testBed, RespTestBed.BackendPeer connection) throws Exception {
        BlockingQueue<String> responses = new LinkedBlockingQueue<>();
        testBed.onLoop(() -> testBed.dispatch(50, 4000, responses));
        connection.readCommand();
        connection.sendValue("again");
        assertEquals(responses.poll(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS), "again");
        testBed.awaitCounter("links_resting", 1);
    }
}
