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
    private static final int PATIENCE_S = 60;

    private Vertx vertx;
    /** Attempts in flight, the earliest first. */
    private final List<HeldAttempt> out = new ArrayList<>();

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
        out.clear();
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    @Test
    public void aRequestAtAHangingNodeIsServedByASecondCopyAndTheFirstIsGivenUp() throws Exception {
        RequestDispatcher gateway = gateway(true);
        List<Response> responses = serveUntilTwoAreOut(gateway);
        HeldAttempt hanging = out.get(0);
        HeldAttempt copy = out.get(1);
        assertTrue(!copy.backend.equals(hanging.backend), "the hedged attempt goes to another backend");
        onLoop(() -> {
            copy.serve();
            return null;
        });
        assertTrue(responses.get(0) instanceof Response.Served, responses.toString());
        assertTrue(hanging.cancelled, "the first attempt is cancelled");
        assertEquals(figure(gateway, "stopped_by_guards"), "0");
    }

    @Test
    public void theGuardLetsOneCopyOutWhereCopiesAreAllowedAndNoneElsewhere() {
        assertEquals(vetoes(true), "null, null, limit of 2 concurrent attempts reached");
        assertEquals(
                vetoes(false), "null, limit of 1 concurrent attempts reached, limit of 1 concurrent attempts reached");
    }

    /** Returns the guard's vetoes for a first, a second and a third attempt, while all earlier ones are in flight. */
    private static String vetoes(boolean hedging) {
        DecisionSettings settings = settings(hedging);
        EndpointList backends = new EndpointList();
        backends.update(true, List.of(backend("n1"), backend("n2"), backend("n3")));
        AttemptGuard guards = new AttemptGuard(settings, backends);
        InFlightRequest inFlight = new InFlightRequest(
                null, null, request("a1"), settings.classes().get(0), null, 0);
        List<String> vetoes = new ArrayList<>();
        for (String name : List.of("n1", "n2", "n3")) {
            AttemptGuard.Veto veto = guards.vetoAttempt(inFlight, name, 0);
            vetoes.add(veto == null ? "null" : veto.cause());
            inFlight.attempts.add(inFlight.new Attempt(backends.available(name), 0));
        }
        return String.join(", ", vetoes);
    }

    /**
     * Sends requests that hang, each after some that are served immediately, until one of them has two attempts in
     * flight.
     */
    private List<Response> serveUntilTwoAreOut(RequestDispatcher gateway) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        for (int number = 0; System.nanoTime() < end; number++) {
            String hanging = "hanging" + number;
            List<Response> responses = new ArrayList<>();
            for (int served = 0; served < 20; served++) {
                String id = hanging + "-" + served;
                onLoop(() -> gateway.dispatch(request(id), response -> {}));
                onLoop(() -> {
                    List.copyOf(out).forEach(HeldAttempt::serve);
                    return null;
                });
            }
            onLoop(() -> gateway.dispatch(request(hanging), responses::add));
            // On a busy machine the hedged attempt may be late. The request then ends without one, and the next request
            // is tried.
            while (onLoop(() -> out.size() < 2 && responses.isEmpty()) && System.nanoTime() < end) {
                Thread.sleep(5);
            }
            if (onLoop(() -> out.size() == 2)) {
                return responses;
            }
        }
        throw new AssertionError("no hedged attempt was started within " + PATIENCE_S + " s");
    }

    private RequestDispatcher gateway(boolean hedging) throws Exception {
        return onLoop(() -> {
            RequestDispatcher gateway =
                    new RequestDispatcher(vertx, new Clock(), settings(hedging), 1, new HeldTransport());
            gateway.endpointsChanged(true, List.of(backend("n1"), backend("n2"), backend("n3")));
            return gateway;
        });
    }

    private String figure(RequestDispatcher gateway, String name) throws Exception {
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
        return done.get(PATIENCE_S, TimeUnit.SECONDS);
    }

    /** An attempt that ends when the test serves it, or when it is cancelled. */
    private final class HeldAttempt implements BackendTransport.Attempt {
        final String backend;
        private final BackendTransport.AttemptListener listener;
        boolean cancelled;

        HeldAttempt(Backend backend, BackendTransport.AttemptListener listener) {
            this.backend = backend.name();
            this.listener = listener;
        }

        void serve() {
            out.remove(this);
            listener.onResult(new AttemptResult(AttemptStatus.SERVED, Unpooled.EMPTY_BUFFER, -1, 0, null));
        }

        @Override
        public void cancel() {
            cancelled = true;
            out.remove(this);
            listener.onResult(AttemptResult.withoutReport(AttemptStatus.CANCELLED));
        }
    }

    private final class HeldTransport extends NoOpBackendTransport {
        @Override
        public Attempt startAttempt(Backend backend, Request request, double waitMs, AttemptListener listener) {
            HeldAttempt attempt = new HeldAttempt(backend, listener);
            out.add(attempt);
            return attempt;
        }
    }
}
