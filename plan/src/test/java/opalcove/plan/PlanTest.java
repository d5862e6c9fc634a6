package opalcove.plan;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import opalcove.TestSettings;
import opalcove.backend.ConnectionPool;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Makes plans for a running gateway and applies them; the connector records the backend that receives a request. */
public class PlanTest {
    private final CompletableFuture<String> connectedTo = new CompletableFuture<>();
    private Vertx vertx;
    private RequestDispatcher dispatcher;
    private HostAndPort control;
    private Path file;
    private Planner planner;

    private static Backend backend(String name, EndpointState state, int pod) {
        return new Backend(new Endpoint(name, "room-a", "std-3", pod, state, 1, 0), "mqtt://127.0.0.1:1" + pod);
    }

    @BeforeMethod
    public void start() throws Exception {
        vertx = Vertx.vertx();
        planner = new Planner(vertx);
        file = Files.createTempFile("plan", ".json");
        CompletableFuture<Integer> port = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            ConnectionPool connections = new ConnectionPool(
                    vertx,
                    TestSettings.settings(),
                    address -> {
                        connectedTo.complete(address);
                        return Future.failedFuture("no backend here");
                    },
                    5);
            dispatcher = new RequestDispatcher(vertx, new Clock(), TestSettings.settings(), 7, connections);
            dispatcher.endpointsChanged(
                    true,
                    List.of(
                            backend("app-1", EndpointState.UP, 1),
                            backend("app-2", EndpointState.UP, 2),
                            backend("app-3", EndpointState.DRAINING, 3)));
            new PlanControlService(vertx, dispatcher)
                    .listen(new HostAndPort("127.0.0.1", 0))
                    .onSuccess(port::complete);
        });
        control = new HostAndPort("127.0.0.1", port.get(20, TimeUnit.SECONDS));
    }

    @AfterMethod
    public void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        Files.delete(file);
    }

    @Test
    public void describesPlanAndAppliesItOnce() throws Exception {
        List<Backend> wanted = List.of(
                backend("app-1", EndpointState.DRAINING, 1),
                backend("app-3", EndpointState.UP, 3),
                backend("app-4", EndpointState.DRAINING, 4));
        List<String> lines = planner.plan(control, wanted, file).lines().toList();
        assertEquals(lines.size(), 4);
        assertEquals(lines.get(0), "~ app-1: status from \"up\" to \"draining\"");
        assertEquals(lines.get(1), "~ app-3: status from \"draining\" to \"up\"");
        assertEquals(lines.get(2), "+ app-4 at mqtt://127.0.0.1:14, DRAINING");
        assertEquals(lines.get(3), "- app-2, which has not been drained");

        assertEquals(planner.apply(file), "index 2\n");
        String first = Files.readString(file);
        assertEquals(planner.plan(control, wanted, file), "no changes\n");
        // The dispatcher uses the new list at once: of its three backends only app-3 takes new requests.
        vertx.runOnContext(start -> dispatcher.dispatch(
                new Request(
                        "00000000000000a1",
                        "0000000000000001",
                        "slot-status",
                        "start",
                        1,
                        4000,
                        null,
                        false,
                        1,
                        0,
                        null),
                response -> {}));
        assertEquals(connectedTo.get(20, TimeUnit.SECONDS), "mqtt://127.0.0.1:13");

        Files.writeString(file, first);
        assertTrue(expectThrows(InvalidConfigurationException.class, () -> planner.apply(file))
                .getMessage()
                .endsWith("the plan is of index 1, the node list has 2"));
    }

    @Test
    public void changesNothingAfterInvalidPlan() throws Exception {
        planner.plan(control, List.of(backend("app-1", EndpointState.UP, 1)), file);
        String valid = Files.readString(file);
        for (String[] replacement : new String[][] {
            {"\"removed\"", "\"away\"", "status has an unknown value away"},
            {"\"snapshot\": false", "\"snapshot\": true", "field snapshot must be false"},
            {"\"index\"", "\"indices\"", "field index is missing"}
        }) {
            Files.writeString(file, valid.replace(replacement[0], replacement[1]));
            String message = expectThrows(InvalidConfigurationException.class, () -> planner.apply(file))
                    .getMessage();
            assertTrue(message.startsWith(file + ": ") && message.contains(replacement[2]), message);
        }
        assertEquals(
                planner.plan(
                        control,
                        List.of(
                                backend("app-1", EndpointState.UP, 1),
                                backend("app-2", EndpointState.UP, 2),
                                backend("app-3", EndpointState.DRAINING, 3)),
                        file),
                "no changes\n");
        assertTrue(expectThrows(
                        InvalidConfigurationException.class,
                        () -> planner.plan(new HostAndPort("127.0.0.1", 1), List.of(), file))
                .getMessage()
                .startsWith("the gateway at 127.0.0.1:1: "));
    }
}
