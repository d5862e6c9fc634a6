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

/** A pool of links that may open no more: lines at rest to one node give way to another node. */
public class ConnectionPoolCapacityTest {
    private static final int MOST = 8;

    private final Vertx vertx = Application.createEventLoop();
    private final List<FakeLine> lines = new ArrayList<>();

    @Test
    public void linesAtRestGiveWayToANewNode() throws Exception {
        try {
            ConnectionPool pool = onLoop(() -> new ConnectionPool(vertx, TestSettings.settings(), this::dial, MOST));
            onLoop(() -> {
                for (int i = 0; i < MOST; i++) {
                    attempt(pool, "first", new ArrayList<>());
                }
                lines.forEach(line -> line.user.onReply(AttemptResult.withoutReport(AttemptStatus.REJECTED)));
                return null;
            });
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (onLoop(pool::idleConnections) < MOST - 1 && System.nanoTime() < end) {
                Thread.sleep(1);
            }
            // One of those that came to rest was closed, so that there is room.
            assertEquals(onLoop(pool::openConnections), Integer.valueOf(MOST - 1));
            for (int i = 0; i < MOST; i++) {
                descriptorsFreed();
                List<AttemptResult> ends = new ArrayList<>();
                String backend = "new-" + i;
                assertTrue(onLoop(() -> attempt(pool, backend, ends)), "dialled: " + backend);
                assertEquals(ends, List.of());
            }
        } finally {
            vertx.close();
        }
    }

    /** Makes an attempt, tells whether a line was dialled for it. */
    private boolean attempt(ConnectionPool pool, String name, List<AttemptResult> ends) {
        int before = lines.size();
        Backend backend = new Backend(new Endpoint(name, "room-a", "app", 0, EndpointState.UP, 1, 0), name);
        Request request = new Request("id", "operator", "slot-status", "start", 1, 4000, null, false, 1, 0, null);
        pool.startAttempt(backend, request, 4000, ends::add);
        return lines.size() > before;
    }

    /** A timer that is set now and due later than that of the closed line's descriptor. */
    private void descriptorsFreed() throws Exception {
        CompletableFuture<Void> freed = new CompletableFuture<>();
        vertx.runOnContext(closed -> vertx.setTimer(5, due -> freed.complete(null)));
        freed.get(20, TimeUnit.SECONDS);
    }

    private Future<BackendConnection> dial(String address) {
        FakeLine line = new FakeLine();
        lines.add(line);
        return Future.succeededFuture(line);
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

    /** A line that takes everything and answers what the test says. */
    private static final class FakeLine implements BackendConnection {
        private Listener user;

        @Override
        public void setListener(Listener attached) {
            user = attached;
        }

        @Override
        public void send(Request request, double waitMs) {}

        @Override
        public void close() {
            user.onClosed();
        }
    }
}
