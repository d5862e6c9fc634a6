package opalcove.plan;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
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
import opalcove.core.RequestDispatcher;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Compares plan files, their descriptions and the responses of the HTTP service with literal texts. */
public class PlanFormTest {
    private Vertx vertx;
    private RequestDispatcher dispatcher;
    private HostAndPort control;
    private Path file;

    private static Backend backend(String name, EndpointState state, String zone, String kind, int pod, double weight) {
        return new Backend(new Endpoint(name, zone, kind, pod, state, weight, 1234), "mqtt://127.0.0.1:1" + pod);
    }

    private static List<Backend> running() {
        return List.of(
                backend("app-1", EndpointState.UP, "room-a", "std-3", 1, 1),
                backend("app-2", EndpointState.UP, "room-a", "std-3", 2, 1),
                backend("app-3", EndpointState.DRAINING, "room-a", "std-3", 3, 1));
    }

    @BeforeMethod
    public void start() throws Exception {
        vertx = Vertx.vertx();
        file = Files.createTempFile("plan", ".json");
        CompletableFuture<Integer> port = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            ConnectionPool connections = new ConnectionPool(
                    vertx, TestSettings.settings(), address -> Future.failedFuture("no backend here"), 5);
            dispatcher = new RequestDispatcher(vertx, new Clock(), TestSettings.settings(), 7, connections);
            dispatcher.endpointsChanged(true, running());
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

    private HttpResponse<String> call(String method, String path, String body) throws Exception {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .build()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + control.port() + path))
                                .method(method, HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    private void assertResponse(String method, String path, String body, int status, String text) throws Exception {
        HttpResponse<String> response = call(method, path, body);
        assertEquals(response.statusCode(), status, response.body());
        assertEquals(response.body(), text);
        assertEquals(response.headers().map().keySet().toString(), "[content-length]");
    }

    private static final String CHANGE = "{\"control\":\"127.0.0.1:1\",\"index\":1,\"snapshot\":false,\"endpoints\":["
            + "{\"name\":\"app-1\",\"address\":\"127.0.0.1:7201\",\"status\":\"draining\"}]}";

    @Test
    public void servesEndpointListWithIndex() throws Exception {
        String first =
                "{\"name\":\"app-1\",\"address\":\"mqtt://127.0.0.1:11\",\"zone\":\"room-a\",\"type\":\"std-3\",\"group\":1,"
                        + "\"status\":\"up\",\"weight\":1,\"since_ms\":1234}";
        String rest =
                ",{\"name\":\"app-2\",\"address\":\"mqtt://127.0.0.1:12\",\"zone\":\"room-a\",\"type\":\"std-3\",\"group\":2,"
                        + "\"status\":\"up\",\"weight\":1,\"since_ms\":1234},"
                        + "{\"name\":\"app-3\",\"address\":\"mqtt://127.0.0.1:13\",\"zone\":\"room-a\",\"type\":\"std-3\",\"group\":3,"
                        + "\"status\":\"draining\",\"weight\":1,\"since_ms\":1234}]}\n";
        assertResponse(
                "GET", "/v1/endpoints", "", 200, "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + first + rest);
        assertResponse("POST", "/v1/endpoints", CHANGE, 200, "index 2\n");
        assertResponse(
                "GET",
                "/v1/endpoints",
                "",
                200,
                "{\"index\":2,\"snapshot\":true,\"endpoints\":["
                        + "{\"name\":\"app-1\",\"address\":\"127.0.0.1:7201\",\"zone\":\"\",\"type\":\"\",\"group\":0,"
                        + "\"status\":\"draining\",\"weight\":1,\"since_ms\":0}" + rest);
        assertResponse("POST", "/v1/endpoints", CHANGE, 409, "the plan is of index 1, the node list has 2\n");
        assertResponse(
                "POST",
                "/v1/endpoints",
                "{\"control\":\"127.0.0.1:1\",\"index\":2,\"snapshot\":false,\"endpoints\":[]}",
                200,
                "index 2\n");
    }

    @Test
    public void servesCounters() throws Exception {
        HttpResponse<String> response = call("GET", "/v1/counters", "");
        assertEquals(response.statusCode(), 200);
        assertEquals(response.headers().map().keySet().toString(), "[content-length]");
        List<String> lines = response.body().lines().toList();
        assertEquals(lines.get(0), "taken=0");
        assertEquals(
                lines.subList(lines.size() - 3, lines.size()),
                List.of("asks_open=0", "links_open=0", "links_resting=0"));
        CompletableFuture<String> counters = new CompletableFuture<>();
        vertx.runOnContext(start -> counters.complete(dispatcher.infoLines()));
        assertEquals(response.body(), counters.get(20, TimeUnit.SECONDS));
    }

    @Test
    public void respondsNotFoundToUnknownPathOrMethod() throws Exception {
        assertResponse("GET", "/", "", 404, "not found\n");
        assertResponse("GET", "/v1/endpoints/", "", 404, "not found\n");
        assertResponse("PUT", "/v1/endpoints", "", 404, "not found\n");
        assertResponse("POST", "/v1/counters", "", 404, "not found\n");
    }

    @DataProvider
    public Object[][] invalidPlans() {
        return new Object[][] {
            {"\"index\":1,", "", "field index is missing"},
            {"\"index\":1", "\"index\":\"x\"", "field index must be a number"},
            {"\"index\":1", "\"index\":1.5", "field index must be a whole number"},
            {"\"snapshot\":false", "\"snapshot\":true", "field snapshot must be false: a plan holds changes"},
            {"\"snapshot\":false", "\"snapshot\":0", "field snapshot must be true or false"},
            {"\"control\":\"127.0.0.1:1\",", "", "field control is missing"},
            {"\"control\":\"127.0.0.1:1\"", "\"control\":\"x\"", "field control must be an address and a port, not x"},
            {"\"endpoints\"", "\"endpoint\"", "field endpoints is missing"},
            {"\"name\":\"app-1\",", "", "field endpoints[0].name is missing"},
            {"\"draining\"", "\"odd\"", "field endpoints[0].status has an unknown value odd"},
            {"{\"control\"", "{", "malformed JSON: Expected name at 1:2"},
        };
    }

    @Test(dataProvider = "invalidPlans")
    public void rejectsInvalidPlan(String valid, String invalid, String problem) throws Exception {
        String plan = CHANGE.replace(valid, invalid);
        assertResponse("POST", "/v1/endpoints", plan, 400, problem + "\n");
        Files.writeString(file, plan);
        assertEquals(
                expectThrows(InvalidConfigurationException.class, () -> new Planner(vertx).apply(file))
                        .getMessage(),
                file + ": " + problem);
    }

    @Test
    public void closesConnectionAfterOversizedBody() {
        assertThrows(IOException.class, () -> call("POST", "/v1/endpoints", " ".repeat(1024 * 1024 + 1)));
    }

    private static final String PLAN_FILE =
            """
            {
              "index": 1,
              "snapshot": false,
              "endpoints": [
                {
                  "name": "app-1",
                  "address": "mqtt://127.0.0.1:15",
                  "zone": "room-b",
                  "type": "std-4",
                  "group": 5,
                  "status": "up",
                  "weight": 2.5,
                  "since_ms": 1234
                },
                {
                  "name": "app-4",
                  "address": "mqtt://127.0.0.1:14",
                  "zone": "room-a",
                  "type": "std-3",
                  "group": 4,
                  "status": "up",
                  "weight": 1,
                  "since_ms": 1234
                },
                {
                  "name": "app-5",
                  "address": "mqtt://127.0.0.1:15",
                  "zone": "room-a",
                  "type": "std-3",
                  "group": 5,
                  "status": "draining",
                  "weight": 1,
                  "since_ms": 1234
                },
                {
                  "name": "app-6",
                  "address": "mqtt://127.0.0.1:16",
                  "zone": "room-a",
                  "type": "std-3",
                  "group": 6,
                  "status": "removed",
                  "weight": 1,
                  "since_ms": 1234
                },
                {
                  "name": "app-2",
                  "address": "mqtt://127.0.0.1:12",
                  "zone": "room-a",
                  "type": "std-3",
                  "group": 2,
                  "status": "removed",
                  "weight": 1,
                  "since_ms": 1234
                },
                {
                  "name": "app-3",
                  "address": "mqtt://127.0.0.1:13",
                  "zone": "room-a",
                  "type": "std-3",
                  "group": 3,
                  "status": "removed",
                  "weight": 1,
                  "since_ms": 1234
                }
              ],
              "control": "127.0.0.1:%d"
            }
            """;

    @Test
    public void writesPlanFileAndDescription() throws Exception {
        List<Backend> wanted = List.of(
                backend("app-1", EndpointState.UP, "room-b", "std-4", 5, 2.5),
                backend("app-4", EndpointState.UP, "room-a", "std-3", 4, 1),
                backend("app-5", EndpointState.DRAINING, "room-a", "std-3", 5, 1),
                backend("app-6", EndpointState.REMOVED, "room-a", "std-3", 6, 1));
        assertEquals(
                new Planner(vertx).plan(control, wanted, file),
                """
                ~ app-1: address from "mqtt://127.0.0.1:11" to "mqtt://127.0.0.1:15", zone from "room-a" to "room-b", \
                type from "std-3" to "std-4", group from 1 to 5, weight from 1 to 2.5
                + app-4 at mqtt://127.0.0.1:14, UP
                + app-5 at mqtt://127.0.0.1:15, DRAINING
                + app-6 at mqtt://127.0.0.1:16, GONE
                - app-2, which has not been drained
                - app-3
                """);
        assertEquals(Files.readString(file), PLAN_FILE.formatted(control.port()));
        assertEquals(new Planner(vertx).apply(file), "index 2\n");
        assertEquals(
                expectThrows(InvalidConfigurationException.class, () -> new Planner(vertx).apply(file))
                        .getMessage(),
                "the gateway at 127.0.0.1:" + control.port() + ": the plan is of index 1, the node list has 2");
        assertEquals(new Planner(vertx).plan(control, wanted.subList(0, 3), file), "no changes\n");
        assertEquals(
                Files.readString(file),
                """
                {
                  "index": 2,
                  "snapshot": false,
                  "endpoints": [
                \040\040\040\040
                  ],
                  "control": "127.0.0.1:%d"
                }
                """
                        .formatted(control.port()));
    }
}
