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
    private static final int TIMEOUT_S = 20;
    private static final Backend BACKEND =
            new Backend(new Endpoint("n1", "room-a", "app", 0, EndpointState.UP, 1, 0), "n1");
    private static final Request REQUEST =
            new Request("id", "operator", "slot-status", "start", 1, 4000, null, false, 1, 0, null);

    private final Deque<Throwable> connectFailures = new ArrayDeque<>();
    private final BlockingQueue<String> sentIds = new LinkedBlockingQueue<>();
    private final BlockingQueue<AttemptStatus> statuses = new LinkedBlockingQueue<>();
    private final List<Throwable> reportedFailures = new ArrayList<>();
    private Vertx vertx;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
        connectFailures.clear();
        sentIds.clear();
        statuses.clear();
        reportedFailures.clear();
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    private void attempt(int maxConnections) {
        vertx.runOnContext(run -> {
            ConnectionPool pool = new ConnectionPool(vertx, TestSettings.settings(), this::connect, maxConnections);
            pool.onLocalConnectFailure(reportedFailures::add);
            pool.startAttempt(BACKEND, REQUEST, 4000, result -> statuses.add(result.status()));
        });
    }

    private Future<BackendConnection> connect(String address) {
        Throwable failure = connectFailures.poll();
        return failure == null ? Future.succeededFuture(new SilentConnection()) : Future.failedFuture(failure);
    }

    @Test
    public void retriesConnectUntilMachineHasCapacity() throws Exception {
        connectFailures.add(new BindException("Cannot assign requested address: /127.0.0.1:1"));
        connectFailures.add(new IOException("Too many open files"));
        connectFailures.add(new ConnectException("No buffer space available: /127.0.0.1:1"));
        attempt(8);
        assertEquals(sentIds.poll(TIMEOUT_S, TimeUnit.SECONDS), "id");
        assertTrue(statuses.isEmpty(), "no result is reported for the backend");
        assertEquals(reportedFailures.size(), 3);
    }

    @Test
    public void endsAttemptAsNotSentWhenMachineHasNoCapacityForLong() throws Exception {
        for (int i = 0; i < 1000; i++) {
            connectFailures.add(new ConnectException("Network is unreachable"));
        }
        attempt(8);
        assertEquals(statuses.poll(TIMEOUT_S, TimeUnit.SECONDS), AttemptStatus.NOT_SENT);
        assertTrue(sentIds.isEmpty());
    }

    @Test
    public void endsAttemptAsNotSentWhenPoolIsFull() throws Exception {
        attempt(0);
        assertEquals(statuses.poll(TIMEOUT_S, TimeUnit.SECONDS), AttemptStatus.NOT_SENT);
    }

    @Test
    public void endsAttemptAsUnreachableWhenBackendRefusesConnection() throws Exception {
        connectFailures.add(new ConnectException("Connection refused: /127.0.0.1:1"));
        attempt(8);
        assertEquals(statuses.poll(TIMEOUT_S, TimeUnit.SECONDS), AttemptStatus.UNREACHABLE);
    }

    /** A connection that accepts all attempts and never replies. */
    private final class SilentConnection implements BackendConnection {
        @Override
        public void setListener(Listener listener) {
            // It never has an event.
        }

        @Override
        public void send(Request request, double deadlineMs) {
            sentIds.add(request.id());
        }

        @Override
        public void close() {
            // It holds no socket.
        }
    }
}
