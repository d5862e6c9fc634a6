package opalcove.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Collections;
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

    /**
     * A pushed list counts as told from the moment that its agent has it, also where the agent was silent till then and never
     * answers what it was asked meanwhile: a call and the wait after it end within the second in which sends have to stop.
     * One that is asked for counts as told 6 s after its watch fell silent.
     */
    @Test
    public void aSilentWatchIsOpenedAnewBeforeWhatItMissedHasToBeKnown() {
        for (int seed = 0; seed < 14; seed++) {
            assertTrue(longestGap(DiscoveryWatch.Pace.of(settings("pushed"), new SplittableRandom(seed))) < 1000);
            assertTrue(longestGap(DiscoveryWatch.Pace.of(settings("on_request"), new SplittableRandom(seed))) < 6000);
        }
    }

    private static double longestGap(DiscoveryWatch.Pace pace) {
        return pace.waitMs() + pace.silenceMs() + pace.again().next();
    }

    /** Two watches are never answered: the list goes on, and hears of a drain that it missed. */
    @Test
    public void whatASilentWatchMissedIsHeardByTheNext() throws Exception {
        Queue<String> watches = new ConcurrentLinkedQueue<>();
        CompletableFuture<AppNode> drained = new CompletableFuture<>();
        int port = serve(call -> {
            if (!call.uri().contains("since")) {
                call.response().end("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}");
                return;
            }
            watches.add(call.uri());
            if (watches.size() == 3) {
                call.response().end("{\"index\":5,\"snapshot\":false,\"endpoints\":[" + NODE.replace("\"up\"", "\"draining\"") + "]}");
            }
        });
        watch(port, new DiscoveryWatch.Pace(20, 500, 0, new GrowingWait(1, 2, new SplittableRandom(1))), (whole, lines) ->
                lines.stream().filter(line -> line.host().state() == Admission.State.DRAINING).forEach(drained::complete));
        assertEquals(drained.get(20, TimeUnit.SECONDS).name(), "s-1");
        assertEquals(List.copyOf(watches).subList(0, 3), Collections.nCopies(3, "/v1/endpoints?since=4&timeout_ms=20"));
    }

    /** The old discovery answers after the move, with a node that the new one has drained, and the new one counts from less. */
    @Test
    public void aLateAnswerOfTheDiscoveryThatWasLeftIsNotHeard() throws Exception {
        CompletableFuture<HttpServerRequest> watched = new CompletableFuture<>();
        CompletableFuture<Void> answeredLate = new CompletableFuture<>();
        Queue<String> told = new ConcurrentLinkedQueue<>();
        int old = serve(call -> {
            if (call.uri().contains("since")) {
                watched.complete(call);
            } else {
                call.response().end("{\"index\":40,\"snapshot\":true,\"endpoints\":[" + NODE + "]}");
            }
        });
        CompletableFuture<String> second = new CompletableFuture<>();
        int elsewhere = serve(call -> {
            if (call.uri().contains("since")) {
                second.complete(call.uri());
            } else {
                // The old one speaks first.
                watched.join().response().end("{\"index\":41,\"snapshot\":true,\"endpoints\":["
                        + NODE.replace("s-1", "s-2") + "]}").onComplete(written -> {
                            answeredLate.complete(null);
                            call.response().end("{\"index\":3,\"snapshot\":true,\"endpoints\":["
                                    + NODE.replace("\"up\"", "\"draining\"") + "]}");
                        });
            }
        });
        DiscoveryWatch watch = watch(old, new DiscoveryWatch.Pace(10_000, 20_000, 0, new GrowingWait(1, 2,
                new SplittableRandom(1))), (whole, lines) -> lines.forEach(line ->
                        told.add(line.name() + " " + line.host().state())));
        watched.get(20, TimeUnit.SECONDS);
        vertx.runOnContext(move -> watch.moveTo(new Endpoint("127.0.0.1", elsewhere)));
        assertEquals(second.get(20, TimeUnit.SECONDS), "/v1/endpoints?since=3&timeout_ms=10000");
        assertTrue(answeredLate.isDone());
        assertEquals(List.copyOf(told), List.of("s-1 UP", "s-1 DRAINING"));
    }

    private int serve(io.vertx.core.Handler<HttpServerRequest> calls) throws Exception {
        return vertx.createHttpServer().requestHandler(calls).listen(0, "127.0.0.1").toCompletionStage()
                .toCompletableFuture().get(20, TimeUnit.SECONDS).actualPort();
    }

    private DiscoveryWatch watch(int port, DiscoveryWatch.Pace pace, DiscoveryWatch.Listener listener) throws Exception {
        CompletableFuture<DiscoveryWatch> watch = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            watch.complete(new DiscoveryWatch(vertx, new Endpoint("127.0.0.1", port), pace, listener));
            watch.join().start();
        });
        return watch.get(20, TimeUnit.SECONDS);
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
                new DiscoveryWatch.Pace(10_000, 20_000, 1, waits),
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
