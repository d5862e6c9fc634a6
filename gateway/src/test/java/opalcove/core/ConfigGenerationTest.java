package opalcove.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import opalcove.TestSettings;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks new settings at SIGHUP: classes that they add are accepted, a lower limit on attempts also applies to requests
 * in flight, and requests in flight keep their class.
 */
public class ConfigGenerationTest {
    private static final String NEW_CLASS =
            """
            {"name":"battery-update-ii","value":2,"aim_ms":2000,"deadline_ms":7500,"idempotency":"safe","group":"all"},
            """;

    private Vertx vertx;
    private RequestDispatcher gateway;
    private final List<String> attemptedIds = new ArrayList<>();
    /** Attempts in flight, until the test ends them. */
    private final List<BackendTransport.AttemptListener> pendingAttempts = new ArrayList<>();

    @BeforeMethod
    public void open() throws Exception {
        vertx = Vertx.vertx();
        attemptedIds.clear();
        pendingAttempts.clear();
        onLoop(() -> {
            gateway = new RequestDispatcher(vertx, new Clock(), TestSettings.settings(16), 1, new ManualTransport());
            gateway.endpointsChanged(true, List.of(backend("n1"), backend("n2"), backend("n3")));
            return null;
        });
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    @Test
    public void acceptsClassOnlyAfterNewSettingsAddIt() throws Exception {
        List<Response> responses = new ArrayList<>();
        onLoop(() -> gateway.dispatch(request("a1", "battery-update-ii"), responses::add));
        assertEquals(responses.size(), 1);
        assertEquals(((Response.Failed) responses.get(0)).reason(), "unknown class");
        onLoop(() -> {
            gateway.applySettings(settings(TestSettings.JSON
                    .replace("\"profiles\":[", "\"profiles\":[" + NEW_CLASS)
                    .replace(",\n  {\"name\":\"slot-status\"", "\n  {\"name\":\"slot-status\"")));
            return gateway.dispatch(request("a2", "battery-update-ii"), responses::add);
        });
        assertEquals(attemptedIds, List.of("a2"), "the request of the new class is forwarded");
        assertEquals(
                gateway.metrics()
                        .statsdLines()
                        .lines()
                        .filter(l -> l.startsWith("gateway.failure.battery-update-ii"))
                        .toList(),
                List.of("gateway.failure.battery-update-ii:1|c"));
    }

    @Test
    public void appliesLowerAttemptLimitToRequestInFlightAndPreservesItsClass() throws Exception {
        List<Response> responses = new ArrayList<>();
        onLoop(() -> gateway.dispatch(request("a1", "slot-status"), responses::add));
        assertEquals(attemptedIds, List.of("a1"));
        // The new settings remove slot-status and allow only one attempt.
        String singleAttempt = TestSettings.JSON
                .replace("\"max_attempts\":6", "\"max_attempts\":1")
                .replaceFirst("\\{\"name\":\"slot-status\"[^}]*\\},", "");
        onLoop(() -> {
            gateway.applySettings(settings(singleAttempt));
            pendingAttempts.remove(0).onResult(AttemptResult.withoutReport(AttemptStatus.REJECTED));
            return null;
        });
        assertEquals(attemptedIds, List.of("a1"), "no second attempt under the new settings");
        assertEquals(responses.size(), 1, "the request in flight has a response");
        assertTrue(
                responses.get(0) instanceof Response.Refused || responses.get(0) instanceof Response.Failed,
                String.valueOf(responses.get(0)));
        List<Response> laterResponses = new ArrayList<>();
        onLoop(() -> gateway.dispatch(request("a3", "slot-status"), laterResponses::add));
        assertEquals(((Response.Failed) laterResponses.get(0)).reason(), "unknown class");
    }

    @Test
    public void countsBackendAsDownAfterFailedConnect() throws Exception {
        onLoop(() -> {
            gateway.endpointsChanged(true, List.of(backend("n1"), backend("n2")));
            return gateway.dispatch(request("a1", "slot-status"), response -> {});
        });
        assertTrue(statsdLines().containsAll(List.of("gateway.hosts_listed:2|g", "gateway.hosts_down:0|g")));
        onLoop(() -> {
            pendingAttempts.remove(0).onResult(AttemptResult.withoutReport(AttemptStatus.UNREACHABLE));
            gateway.endpointsChanged(false, List.of());
            return null;
        });
        assertTrue(
                statsdLines().containsAll(List.of("gateway.hosts_listed:2|g", "gateway.hosts_down:1|g")),
                statsdLines().toString());
    }

    private List<String> statsdLines() {
        return gateway.metrics().statsdLines().lines().toList();
    }

    @Test
    public void namesKeyWhenSettingsAllowNoAttemptOrNoTime() {
        for (String bad : List.of(
                TestSettings.JSON.replace("\"max_attempts\":6", "\"max_attempts\":0"),
                TestSettings.JSON.replace("\"deadline_ms\":4000", "\"deadline_ms\":0"))) {
            InvalidConfigurationException rejection =
                    org.testng.Assert.expectThrows(InvalidConfigurationException.class, () -> settings(bad));
            assertTrue(
                    rejection.getMessage().contains("max_attempts")
                            || rejection.getMessage().contains("deadline_ms"),
                    rejection.getMessage());
        }
    }

    private static DecisionSettings settings(String json) {
        return SettingsReader.read(JsonFields.parse(json));
    }

    private static Request request(String id, String requestClass) {
        return new Request(id, "00000000000000b2", requestClass, "start", 1, 3000, null, false, 1, 0, null);
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
        return done.get(10, TimeUnit.SECONDS);
    }

    private final class ManualTransport extends NoOpBackendTransport {
        @Override
        public Attempt startAttempt(Backend backend, Request request, double timeoutMs, AttemptListener listener) {
            attemptedIds.add(request.id());
            pendingAttempts.add(listener);
            return () -> {};
        }
    }
}
