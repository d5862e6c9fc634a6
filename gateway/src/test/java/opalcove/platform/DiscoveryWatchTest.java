package opalcove.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import opalcove.Facts;
import opalcove.decision.Admission;
import opalcove.gateway.AppNode;
import opalcove.gateway.Endpoint;
import opalcove.gateway.Fields;
import opalcove.gateway.GrowingWait;
import opalcove.gateway.SettingsReader;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A list service that is overbooked: what the watch asks, and how long it means to wait before it asks again. */
public class DiscoveryWatchTest {
    private static final String NODE = "{\"name\":\"s-1\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"type\":\"m\","
            + "\"group\":0,\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}";

    private Vertx vertx;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
    }

    @AfterMethod
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** Draws the shortest waits there are, so that the test does not last, and tells that it was asked. */
    private record Shortest(Queue<String> told) implements RandomGenerator {
        @Override
        public long nextLong() {
            told.add("waits");
            return 0;
        }
    }

    private static Admission.Settings settings(String discovery) {
        return SettingsReader.read(Fields.parse(Facts.JSON.replace("\"balancers\":1", "\"balancers\":14")
                .replace("\"pushed\"", '"' + discovery + '"')));
    }

    /** One service for all gateways is asked ever more rarely and not by all at once; an agent on the machine, at once. */
    @Test
    public void onlyAListThatIsAskedForIsAskedForWithSpread() {
        Admission.Settings one = settings("on_request");
        Admission.Settings agent = settings("pushed");
        Set<Long> starts = new HashSet<>();
        for (int seed = 0; seed < 14; seed++) {
            DiscoveryWatch.Pace asked = DiscoveryWatch.Pace.of(one, new SplittableRandom(seed));
            starts.add(asked.firstAfterMs());
            IntStream.range(0, 6).forEach(i -> asked.again().next());
            assertTrue(asked.again().next() >= 1600);
            DiscoveryWatch.Pace pushed = DiscoveryWatch.Pace.of(agent, new SplittableRandom(seed));
            assertEquals(pushed.firstAfterMs(), 0);
            IntStream.range(0, 6).forEach(i -> pushed.again().next());
            assertTrue(pushed.again().next() <= 300);
        }
        assertTrue(starts.size() >= 10, starts + "");
    }

    @Test
    public void aRefusedCallIsMadeAgainAfterAGrowingWaitAndAnAnsweredOneAtOnce() throws Exception {
        assertEquals(calls(DiscoveryWatch.NO_INDEX), List.of("/v1/endpoints", "waits", "/v1/endpoints",
                "waits", "/v1/endpoints", "waits", "/v1/endpoints", "/v1/endpoints?since=4", "/v1/endpoints?since=5", "waits",
                "/v1/endpoints?since=5"));
    }

    /** After a release: a gateway that knows a version asks for one watch, and never for the whole list. */
    @Test
    public void whoKnowsAVersionAsksForWhatHasChangedSince() throws Exception {
        assertEquals(calls(3), List.of("/v1/endpoints?since=3", "waits", "/v1/endpoints?since=3", "waits",
                "/v1/endpoints?since=3", "waits", "/v1/endpoints?since=3", "/v1/endpoints?since=4",
                "/v1/endpoints?since=5", "waits", "/v1/endpoints?since=5"));
    }

    /** What a watch asks that starts from this version, and when it waits, at a service that refuses now and then. */
    private List<String> calls(long known) throws Exception {
        Queue<String> told = new ConcurrentLinkedQueue<>();
        Queue<String> answers = new ConcurrentLinkedQueue<>(List.of("", "", "{torn",
                "{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}",
                "{\"index\":5,\"snapshot\":false,\"endpoints\":[" + NODE + "]}", ""));
        CompletableFuture<Void> over = new CompletableFuture<>();
        HttpServer server = vertx.createHttpServer().requestHandler(call -> {
            told.add(call.uri().replaceAll("&.*", ""));
            String answer = answers.poll();
            if (answer == null) {
                over.complete(null);
            } else {
                call.response().setStatusCode(answer.isEmpty() ? 503 : 200).end(answer);
            }
        });
        int port = server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture()
                .get(20, TimeUnit.SECONDS).actualPort();
        GrowingWait waits = new GrowingWait(2, 64, new Shortest(told));
        Queue<AppNode> nodes = new ConcurrentLinkedQueue<>();
        CompletableFuture<Void> first = new CompletableFuture<>();
        vertx.runOnContext(start -> new DiscoveryWatch(vertx, new Endpoint("127.0.0.1", port),
                new DiscoveryWatch.Pace(20_000, 1, waits),
                (whole, lines) -> nodes.addAll(lines)).startFrom(known).onSuccess(first::complete));
        over.get(20, TimeUnit.SECONDS);
        assertTrue(first.isDone());
        assertEquals(nodes.size(), 2);
        // Four waits were drawn; the answers in between had them start from the shortest again.
        List<String> calls = List.copyOf(told);
        assertEquals(waits.next(), 2);
        return calls;
    }
}
