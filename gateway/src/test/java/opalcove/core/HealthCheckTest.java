package opalcove.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.vertx.core.Vertx;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import opalcove.TestSettings;
import opalcove.backend.ConnectionPool;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.resp.RespConnector;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks that health checks, where the settings allow them, let an unreachable backend be used again once a connection
 * to it is established.
 */
public class HealthCheckTest {
    private static final int TIMEOUT_S = 20;

    private Vertx vertx;
    private int requestCount;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    @Test
    public void usesUnreachableBackendAgainAfterSuccessfulHealthCheck() throws Exception {
        UnreachableUntilCheckedTransport transport = new UnreachableUntilCheckedTransport();
        RequestDispatcher gateway = onLoop(() -> {
            RequestDispatcher created = new RequestDispatcher(vertx, new Clock(), settings(), 1, transport);
            created.endpointsChanged(true, List.of(backend("127.0.0.1:1")));
            return created;
        });
        List<Response> served = new ArrayList<>();
        sendRequestsUntil(gateway, served, () -> transport.attempts > 2);
        // No request competes with the health check any more: the backend is avoided, and only a health check can show
        // that it is reachable again.
        waitUntil(() -> transport.healthChecks > 0);
        sendRequestsUntil(gateway, served, () -> !served.isEmpty());
    }

    /** Sends requests until the condition holds. */
    private void sendRequestsUntil(RequestDispatcher gateway, List<Response> served, Supplier<Boolean> condition)
            throws Exception {
        waitUntil(() -> {
            if (condition.get()) {
                return true;
            }
            gateway.dispatch(request("a" + requestCount++), response -> {
                if (response instanceof Response.Served) {
                    served.add(response);
                }
            });
            return false;
        });
    }

    private void waitUntil(Supplier<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!onLoop(condition) && System.nanoTime() < deadlineNanos) {
            Thread.sleep(20);
        }
        assertTrue(onLoop(condition), "the condition does not hold after " + TIMEOUT_S + " s");
    }

    @Test
    public void poolsHealthCheckConnectionAsIdleAndSendsNothingOnIt() throws Exception {
        ConnectionPool pool =
                onLoop(() -> new ConnectionPool(vertx, settings(), new RespConnector(vertx, settings()), 8));
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            assertTrue(checkReachable(pool, server.getLocalPort()), "a backend that listens is reachable");
            server.setSoTimeout(TIMEOUT_S * 1000);
            try (Socket connection = server.accept()) {
                assertEquals(onLoop(pool::idleConnections), Integer.valueOf(1));
                assertEquals(connection.getInputStream().available(), 0);
            }
        }
    }

    @Test
    public void reportsUnreachableWhenBackendRefusesConnection() throws Exception {
        ConnectionPool pool =
                onLoop(() -> new ConnectionPool(vertx, settings(), new RespConnector(vertx, settings()), 8));
        int port;
        try (ServerSocket closed = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }
        assertTrue(!checkReachable(pool, port), "a port without a listener is not reachable");
        assertEquals(onLoop(pool::openConnections), Integer.valueOf(0));
    }

    private boolean checkReachable(ConnectionPool pool, int port) throws Exception {
        CompletableFuture<Boolean> reached = new CompletableFuture<>();
        vertx.runOnContext(run -> pool.checkReachable(backend("127.0.0.1:" + port), reached::complete));
        return reached.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static DecisionSettings settings() {
        return SettingsReader.read(JsonFields.parse(
                TestSettings.JSON.replace("\"max_attempts\":6", "\"max_attempts\":6,\"may_probe\":true")));
    }

    private static Request request(String id) {
        return new Request(id, "00000000000000b2", "slot-status", "start", 1, 4000, null, false, 1, 0, null);
    }

    private static Backend backend(String address) {
        return new Backend(new Endpoint("n1", "room-a", "app", 0, EndpointState.UP, 1, 0), address);
    }

    private <T> T onLoop(Supplier<T> work) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        vertx.runOnContext(run -> {
            try {
                done.complete(work.get());
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** A transport whose backend cannot be reached until a health check was made. */
    private static final class UnreachableUntilCheckedTransport extends NoOpBackendTransport {
        private int attempts;
        private int healthChecks;

        @Override
        public Attempt startAttempt(Backend backend, Request request, double timeoutMs, AttemptListener listener) {
            attempts++;
            listener.onResult(
                    healthChecks == 0
                            ? AttemptResult.withoutReport(AttemptStatus.UNREACHABLE)
                            : new AttemptResult(AttemptStatus.SERVED, Unpooled.EMPTY_BUFFER, -1, 0, null));
            return () -> {};
        }

        @Override
        public void checkReachable(Backend backend, Consumer<Boolean> reached) {
            healthChecks++;
            reached.accept(true);
        }
    }
}
