package opalcove.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import opalcove.TestSettings;
import opalcove.config.Backend;
import opalcove.core.AttemptResult;
import opalcove.core.Request;
import opalcove.decision.AttemptStatus;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.lifecycle.Application;
import org.testng.annotations.Test;

/**
 * Checks that a pool that may open no more connections closes idle connections to one backend to connect to another.
 */
public class ConnectionPoolCapacityTest {
    private static final int MAX_CONNECTIONS = 8;

    private final Vertx vertx = Application.createEventLoop();
    private final List<FakeConnection> connections = new ArrayList<>();

    @Test
    public void closesIdleConnectionWhenNewBackendNeedsCapacity() throws Exception {
        try {
            ConnectionPool pool =
                    onLoop(() -> new ConnectionPool(vertx, TestSettings.settings(), this::connect, MAX_CONNECTIONS));
            onLoop(() -> {
                for (int i = 0; i < MAX_CONNECTIONS; i++) {
                    attempt(pool, "first", new ArrayList<>());
                }
                connections.forEach(
                        connection -> connection.listener.onReply(AttemptResult.withoutReport(AttemptStatus.REJECTED)));
                return null;
            });
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (onLoop(pool::idleConnections) < MAX_CONNECTIONS - 1 && System.nanoTime() < deadlineNanos) {
                Thread.sleep(1);
            }
            // One of the connections that became idle was closed, so that there is capacity for a new one.
            assertEquals(onLoop(pool::openConnections), Integer.valueOf(MAX_CONNECTIONS - 1));
            for (int i = 0; i < MAX_CONNECTIONS; i++) {
                descriptorsFreed();
                List<AttemptResult> results = new ArrayList<>();
                String backend = "new-" + i;
                assertTrue(onLoop(() -> attempt(pool, backend, results)), "a connection is opened to " + backend);
                assertEquals(results, List.of());
            }
        } finally {
            vertx.close();
        }
    }

    /** Starts an attempt and returns whether a connection was opened for it. */
    private boolean attempt(ConnectionPool pool, String name, List<AttemptResult> results) {
        int before = connections.size();
        Backend backend = new Backend(new Endpoint(name, "room-a", "app", 0, EndpointState.UP, 1, 0), name);
        Request request = new Request("id", "operator", "slot-status", "start", 1, 4000, null, false, 1, 0, null);
        pool.startAttempt(backend, request, 4000, results::add);
        return connections.size() > before;
    }

    /**
     * Waits until the descriptor of the closed connection is freed: this timer is due later than the one that frees it.
     */
    private void descriptorsFreed() throws Exception {
        CompletableFuture<Void> freed = new CompletableFuture<>();
        vertx.runOnContext(closed -> vertx.setTimer(5, due -> freed.complete(null)));
        freed.get(20, TimeUnit.SECONDS);
    }

    private Future<BackendConnection> connect(String address) {
        FakeConnection connection = new FakeConnection();
        connections.add(connection);
        return Future.succeededFuture(connection);
    }

    private <T> T onLoop(Supplier<T> work) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        vertx.runOnContext(run -> {
            try {
                done.complete(work.get());
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(20, TimeUnit.SECONDS);
    }

    /** A connection that accepts all attempts; the test passes the replies to its listener. */
    private static final class FakeConnection implements BackendConnection {
        private Listener listener;

        @Override
        public void setListener(Listener newListener) {
            listener = newListener;
        }

        @Override
        public void send(Request request, double deadlineMs) {}

        @Override
        public void close() {
            listener.onClosed();
        }
    }
}
