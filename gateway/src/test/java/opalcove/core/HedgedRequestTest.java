package opalcove.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import opalcove.TestSettings;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that, where the settings allow hedged requests, another backend serves the request of a hanging backend. */
public class HedgedRequestTest {
    private static final int TIMEOUT_S = 60;

    private Vertx vertx;
    /** Attempts in flight, the earliest first. */
    private final List<ManualAttempt> pendingAttempts = new ArrayList<>();

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
        pendingAttempts.clear();
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    @Test
    public void cancelsHangingAttemptWhenHedgedAttemptIsServed() throws Exception {
        RequestDispatcher gateway = gateway(true);
        List<Response> responses = serveUntilHedgedAttemptStarts(gateway);
        ManualAttempt hanging = pendingAttempts.get(0);
        ManualAttempt hedged = pendingAttempts.get(1);
        assertTrue(!hedged.backend.equals(hanging.backend), "the hedged attempt goes to another backend");
        onLoop(() -> {
            hedged.serve();
            return null;
        });
        assertTrue(responses.get(0) instanceof Response.Served, responses.toString());
        assertTrue(hanging.cancelled, "the first attempt is cancelled");
        assertEquals(counter(gateway, "stopped_by_guards"), "0");
    }

    @Test
    public void allowsOneHedgedAttemptOnlyWhenHedgingIsEnabled() {
        assertEquals(vetoes(true), "null, null, 2 of its attempts in flight, which is the limit");
        assertEquals(
                vetoes(false),
                "null, 1 of its attempts in flight, which is the limit, 1 of its attempts in flight, which is the limit");
    }

    /** Returns the guard's vetoes for a first, a second and a third attempt, while all earlier ones are in flight. */
    private static String vetoes(boolean hedging) {
        DecisionSettings settings = settings(hedging);
        EndpointList endpoints = new EndpointList();
        endpoints.update(true, List.of(backend("n1"), backend("n2"), backend("n3")));
        AttemptGuard guard = new AttemptGuard(settings, endpoints);
        InFlightRequest inFlight = new InFlightRequest(
                null, null, request("a1"), settings.classes().get(0), null, 0);
        List<String> vetoes = new ArrayList<>();
        for (String name : List.of("n1", "n2", "n3")) {
            AttemptGuard.Veto veto = guard.vetoAttempt(inFlight, name, 0);
            vetoes.add(veto == null ? "null" : veto.cause());
            inFlight.attempts.add(inFlight.new Attempt(endpoints.available(name), 0));
        }
        return String.join(", ", vetoes);
    }

    /**
     * Sends requests that hang, each after some that are served immediately, until one of them has two attempts in
     * flight.
     */
    private List<Response> serveUntilHedgedAttemptStarts(RequestDispatcher gateway) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        for (int number = 0; System.nanoTime() < deadlineNanos; number++) {
            String hanging = "hanging" + number;
            List<Response> responses = new ArrayList<>();
            for (int served = 0; served < 20; served++) {
                String id = hanging + "-" + served;
                onLoop(() -> gateway.dispatch(request(id), response -> {}));
                onLoop(() -> {
                    List.copyOf(pendingAttempts).forEach(ManualAttempt::serve);
                    return null;
                });
            }
            onLoop(() -> gateway.dispatch(request(hanging), responses::add));
            // On a busy machine the hedged attempt may be late. The request then ends without one, and the next request
            // is tried.
            while (onLoop(() -> pendingAttempts.size() < 2 && responses.isEmpty())
                    && System.nanoTime() < deadlineNanos) {
                Thread.sleep(5);
            }
            if (onLoop(() -> pendingAttempts.size() == 2)) {
                return responses;
            }
        }
        throw new AssertionError("no hedged attempt was started within " + TIMEOUT_S + " s");
    }

    private RequestDispatcher gateway(boolean hedging) throws Exception {
        return onLoop(() -> {
            RequestDispatcher gateway =
                    new RequestDispatcher(vertx, new Clock(), settings(hedging), 1, new ManualTransport());
            gateway.endpointsChanged(true, List.of(backend("n1"), backend("n2"), backend("n3")));
            return gateway;
        });
    }

    private String counter(RequestDispatcher gateway, String name) throws Exception {
        return onLoop(gateway::infoLines)
                .lines()
                .filter(line -> line.startsWith(name + "="))
                .findFirst()
                .orElseThrow()
                .substring(name.length() + 1);
    }

    private static DecisionSettings settings(boolean hedging) {
        return SettingsReader.read(JsonFields.parse(TestSettings.JSON
                .replace("\"max_attempts\":6", "\"max_attempts\":6,\"second_copies\":" + hedging)
                .replace("\"aim_ms\":2000", "\"aim_ms\":400")));
    }

    private static Request request(String id) {
        return new Request(id, "00000000000000b2", "slot-status", "start", 1, 4000, null, false, 1, 0, null);
    }

    private static Backend backend(String name) {
        return new Backend(new Endpoint(name, "room-a", "app", 0, EndpointState.UP, 1, 0), "127.0.0.1:1");
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

    /** An attempt that ends when the test serves it, or when it is cancelled. */
    private final class ManualAttempt implements BackendTransport.Attempt {
        final String backend;
        private final BackendTransport.AttemptListener listener;
        boolean cancelled;

        ManualAttempt(Backend backend, BackendTransport.AttemptListener listener) {
            this.backend = backend.name();
            this.listener = listener;
        }

        void serve() {
            pendingAttempts.remove(this);
            listener.onResult(new AttemptResult(AttemptStatus.SERVED, Unpooled.EMPTY_BUFFER, -1, 0, null));
        }

        @Override
        public void cancel() {
            cancelled = true;
            pendingAttempts.remove(this);
            listener.onResult(AttemptResult.withoutReport(AttemptStatus.CANCELLED));
        }
    }

    private final class ManualTransport extends NoOpBackendTransport {
        @Override
        public Attempt startAttempt(Backend backend, Request request, double timeoutMs, AttemptListener listener) {
            ManualAttempt attempt = new ManualAttempt(backend, listener);
            pendingAttempts.add(attempt);
            return attempt;
        }
    }
}
