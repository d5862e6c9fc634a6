package opalcove.lifecycle;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.BindException;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a start retries to listen while the machine lacks a resource, and fails if it can never listen. */
public class ListeningTest {
    private static final int TIMEOUT_SECONDS = 20;
    private final Deque<Throwable> failures = new ArrayDeque<>();
    private Vertx vertx;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
        failures.clear();
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    private CompletableFuture<Integer> startListening() {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        vertx.runOnContext(start -> Application.listenWithRetries(vertx, this::listen)
                .onSuccess(port::complete)
                .onFailure(port::completeExceptionally));
        return port;
    }

    private Future<Integer> listen() {
        Throwable failure = failures.poll();
        return failure == null ? Future.succeededFuture(1) : Future.failedFuture(failure);
    }

    @Test
    public void retriesToListenWhileMachineLacksResource() throws Exception {
        failures.addAll(List.of(
                new IllegalStateException("Failed to open a socket.", new SocketException("Too many open files")),
                new IOException("No buffer space available")));
        assertEquals(startListening().get(TIMEOUT_SECONDS, TimeUnit.SECONDS), Integer.valueOf(1));
        assertTrue(failures.isEmpty());
    }

    @Test
    public void failsToListenWhenAddressIsInUse() throws Exception {
        failures.add(new BindException("Address already in use"));
        try {
            startListening().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            throw new AssertionError("listening was retried");
        } catch (ExecutionException e) {
            assertTrue(e.getCause() instanceof BindException);
        }
    }
}
