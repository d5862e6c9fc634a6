package opalcove.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import opalcove.TestSettings;
import opalcove.config.Backend;
import opalcove.core.Request;
import opalcove.decision.AttemptStatus;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks that a connection for which this machine has no capacity is tried again and does not count as a fault of the
 * backend.
 */
public class LocalConnectFailureTest {
    private static final int PATIENCE_S = 20;
    private static final Backend BACKEND =
            new Backend(new Endpoint("n1", "room-a", "app", 0, EndpointState.UP, 1, 0), "n1");
    private static final Request REQUEST =
            new Request("id", "operator", "slot-status", "start", 1, 4000, null, false, 1, 0, null);

    private final Deque<Throwable> failures = new ArrayDeque<>();
    private final BlockingQueue<String> sent = new LinkedBlockingQueue<>();
    private final BlockingQueue<AttemptStatus> ends = new LinkedBlockingQueue<>();
    private final List<Throwable> reported = new ArrayList<>();
    private Vertx vertx;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
        failures.clear();
        sent.clear();
        ends.clear();
        reported.clear();
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    private void attempt(int maxConnections) {
        vertx.runOnContext(run -> {
            ConnectionPool pool = new ConnectionPool(vertx, TestSettings.settings(), this::connect, maxConnections);
            pool.onLocalConnectFailure(reported::add);
            pool.startAttempt(BACKEND, REQUEST, 4000, end -> ends.add(end.status()));
        });
    }

    private Future<BackendConnection> connect(String address) {
        Throwable failure = failures.poll();
        return failure == null ? Future.succeededFuture(new SilentConnection()) : Future.failedFuture(failure);
    }

    @Test
    public void itIsTriedAgainTillThereIsRoom() throws Exception {
        failures.add(new BindException("Cannot assign requested address: /127.0.0.1:1"));
        failures.add(new IOException("Too many open files"));
        failures.add(new ConnectException("No buffer space available: /127.0.0.1:1"));
        attempt(8);
        assertEquals(sent.poll(PATIENCE_S, TimeUnit.SECONDS), "id");
        assertTrue(ends.isEmpty(), "no result is reported for the backend");
        assertEquals(reported.size(), 3);
    }

    @Test
    public void withoutRoomForLongItEndsAsNotSent() throws Exception {
        for (int i = 0; i < 1000; i++) {
            failures.add(new ConnectException("Network is unreachable"));
        }
        attempt(8);
        assertEquals(ends.poll(PATIENCE_S, TimeUnit.SECONDS), AttemptStatus.NOT_SENT);
        assertTrue(sent.isEmpty());
    }

    @Test
    public void aFullPoolIsNoFaultOfTheNodes() throws Exception {
        attempt(0);
        assertEquals(ends.poll(PATIENCE_S, TimeUnit.SECONDS), AttemptStatus.NOT_SENT);
    }

    @Test
    public void aNodeThatRefusesIsNotReached() throws Exception {
        failures.add(new ConnectException("Connection refused: /127.0.0.1:1"));
        attempt(8);
        assertEquals(ends.poll(PATIENCE_S, TimeUnit.SECONDS), AttemptStatus.UNREACHABLE);
    }

    /** A connection that accepts all attempts and never replies. */
    private final class SilentConnection implements BackendConnection {
        @Override
        public void setListener(Listener attached) {
            // It never has an event.
        }

        @Override
        public void send(Request request, double waitMs) {
            sent.add(request.id());
        }

        @Override
        public void close() {
            // It holds no socket.
        }
    }
}
