package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Promise;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import opalcove.TestSettings;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.EndpointState;
import opalcove.lifecycle.Application;
import opalcove.lifecycle.Lifecycle;
import opalcove.server.GatewayStatus;
import org.testng.annotations.Test;

/** Checks races between the shutdown of the process and requests, new settings, drains and its own start. */
public class ShutdownRacesTest {
    private static final int TIMEOUT_MS = 4000;
    /** A request timeout longer than the test. */
    private static final int LONG_TIMEOUT_MS = 90_000;

    private static final String[] LONG_DEADLINES = {
        "\"aim_ms\":2000,\"deadline_ms\":4000", "\"aim_ms\":2000,\"deadline_ms\":90000"
    };

    /**
     * The backend never replies and the request's deadline is after the shutdown: its response does not wait for that.
     */
    @Test
    public void respondsBeforeKillToRequestReceivedLateInShutdown() throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            sendFirstHalf(testBed, client, RespTestBed.query(1, LONG_TIMEOUT_MS));
            beginShutdown(testBed, 300);
            RespTestBed.send(client, secondHalf(RespTestBed.query(1, LONG_TIMEOUT_MS)));
            RespTestBed.BackendPeer connection = backend.accept();
            // The backend receives the time for which the gateway will wait for its reply.
            assertTrue(connection.readCommand().matches(".*,d=[0-3]?[0-9]?[0-9](\\.[0-9]+)?,.*"));
            assertTrue(RespTestBed.readReply(client).startsWith("-"));
            assertTrue(connection.isClosedByGateway(), "the attempt was not cancelled");
            assertEquals(testBed.counter("ended_by_deadline_guard"), 0);
        }
    }

    /** The response must follow that of an earlier request, which may wait longer. */
    @Test
    public void endsEarlierRequestInTimeWhenAnotherArrivesBehindItInShutdown() throws Exception {
        try (RespTestBed testBed = new RespTestBed(LONG_DEADLINES)) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, LONG_TIMEOUT_MS));
            RespTestBed.BackendPeer first = backend.accept();
            first.readCommand();
            beginShutdown(testBed, 300);
            RespTestBed.send(client, RespTestBed.query(2, LONG_TIMEOUT_MS));
            RespTestBed.BackendPeer second = backend.accept();
            second.readCommand();
            second.sendValue("two");
            assertTrue(RespTestBed.readReply(client).startsWith("-"));
            assertEquals(RespTestBed.readReply(client), "two");
        }
    }

    @Test
    public void shedsRequestAndClosesConnectionWhenNoShutdownTimeRemains() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            sendFirstHalf(testBed, client, RespTestBed.query(1, TIMEOUT_MS));
            beginShutdown(testBed, 0);
            RespTestBed.send(client, secondHalf(RespTestBed.query(1, TIMEOUT_MS)));
            assertEquals(RespTestBed.readReply(client), "-BUSY");
            assertEquals(client.getInputStream().read(), -1);
            assertTrue(backend.receivedNothing());
        }
    }

    /**
     * The time from SIGTERM to the last responses stays within what the platform allows before it kills the process.
     */
    @Test
    public void endsBeforeKillForEachLongestDeadline() {
        for (long longestDeadlineMs : new long[] {200, 450, 1400, 3000, 7500, 60_000}) {
            long shutdownMs = 500 + Application.shutdownBudgetMs(longestDeadlineMs);
            assertTrue(shutdownMs < Math.min(longestDeadlineMs, 3000) + 700, longestDeadlineMs + ": " + shutdownMs);
            assertTrue(
                    Application.shutdownBudgetMs(longestDeadlineMs) >= Math.min(longestDeadlineMs, 3000) - 100,
                    longestDeadlineMs + ": " + shutdownMs);
        }
    }

    /**
     * Settings with shorter deadlines arrive before the shutdown: requests under the old ones still get their response.
     */
    @Test
    public void waitsForRequestsOfOlderSettingsInShutdown() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
            RespTestBed.BackendPeer connection = backend.accept();
            connection.readCommand();
            testBed.onLoop(() -> testBed.dispatcher.applySettings(SettingsReader.read(
                    JsonFields.parse(TestSettings.JSON.replaceAll("\"deadline_ms\":\\d+", "\"deadline_ms\":300")))));
            assertEquals((long) testBed.onLoop(() -> testBed.dispatcher.maxDeadlineMs()), 7500);
            CompletableFuture<Void> idle = new CompletableFuture<>();
            testBed.onLoop(() -> testBed.dispatcher.whenIdle(() -> idle.complete(null)));
            assertFalse(idle.isDone());
            connection.sendValue("one");
            assertEquals(RespTestBed.readReply(client), "one");
            idle.get(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS);
            assertEquals((long) testBed.onLoop(() -> testBed.dispatcher.maxDeadlineMs()), 300);
        }
    }

    @Test
    public void respondsToUnreadCommandWhenShutdownClosesIdleConnections() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.PING);
            assertEquals(RespTestBed.readReply(client), "+PONG");
            testBed.runWhileLoopBlocked(() -> RespTestBed.send(client, RespTestBed.PING), () -> {
                testBed.lifecycle.enter(Lifecycle.Phase.DRAINING);
                testBed.server.drain(() -> {});
            });
            assertEquals(RespTestBed.readReply(client), "+PONG");
            assertEquals(client.getInputStream().read(), -1);
        }
    }

    @Test
    public void doesNotCloseConnectionWhenDrainStartsAndEndsInOneTurn() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.PING);
            assertEquals(RespTestBed.readReply(client), "+PONG");
            testBed.runWhileLoopBlocked(() -> RespTestBed.send(client, RespTestBed.PING), () -> {
                testBed.server.setDrainRequested(true);
                testBed.server.setDrainRequested(false);
            });
            assertEquals(RespTestBed.readReply(client), "+PONG");
            RespTestBed.send(client, RespTestBed.PING);
            assertEquals(RespTestBed.readReply(client), "+PONG");
        }
    }

    /** The admin console opens before the server exists: its last drain request applies once the server exists. */
    @Test
    public void appliesDrainThatWasRequestedBeforeServerExists() throws Exception {
        for (boolean isWithdrawn : new boolean[] {false, true}) {
            try (RespTestBed testBed = new RespTestBed()) {
                GatewayStatus status = new GatewayStatus();
                status.setDrainRequested(true);
                if (isWithdrawn) {
                    status.setDrainRequested(false);
                }
                testBed.onLoop(() ->
                        status.gatewayWired(testBed.vertx, testBed.dispatcher, testBed.server, testBed.lifecycle));
                Socket client = testBed.connectClient();
                RespTestBed.send(client, RespTestBed.PING);
                assertEquals(RespTestBed.readReply(client), isWithdrawn ? "+PONG" : "-ERR draining");
                status.setDrainRequested(false);
                testBed.onLoop(() -> {});
                Socket next = testBed.connectClient();
                RespTestBed.send(next, RespTestBed.PING);
                assertEquals(RespTestBed.readReply(next), "+PONG");
            }
        }
    }

    /**
     * The process is shut down before it has an endpoint list. A server that opened then would accept requests that the
     * end of the process cuts off.
     */
    @Test
    public void doesNotListenWhenShutdownBeginsDuringStart() {
        Application application = new Application();
        AtomicBoolean opened = new AtomicBoolean();
        application.phases().enter(Lifecycle.Phase.LEAVING);
        application.open(() -> {
            opened.set(true);
            return Promise.<Integer>promise().future();
        });
        assertFalse(opened.get());
        assertEquals(application.phases().current(), Lifecycle.Phase.LEAVING);
    }

    /**
     * Sends a PING and the first half of a command, and waits for the PING's reply: the gateway has read up to there.
     */
    private static void sendFirstHalf(RespTestBed testBed, Socket client, String command) throws Exception {
        RespTestBed.send(client, RespTestBed.PING + command.substring(0, command.length() / 2));
        assertEquals(RespTestBed.readReply(client), "+PONG");
    }

    private static String secondHalf(String command) {
        return command.substring(command.length() / 2);
    }

    /** Begins the shutdown of a process that will be killed after this time, ms. */
    private static void beginShutdown(RespTestBed testBed, int ms) throws Exception {
        testBed.onLoop(() -> {
            testBed.lifecycle.enter(Lifecycle.Phase.DRAINING);
            testBed.dispatcher.beginShutdown(ms);
            testBed.server.drain(() -> {});
        });
    }
}
