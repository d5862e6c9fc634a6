package opalcove.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import opalcove.TestSettings;
import opalcove.config.Backend;
import opalcove.config.HostAndPort;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.DecisionSettings;
import opalcove.decision.EndpointState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A list service that is overbooked: what the watch asks, and how long it means to wait before it asks again. */
public class DiscoveryClientTest {
    private static final String NODE = "{\"name\":\"s-1\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"type\":\"m\","
            + "\"group\":0,\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}";

    private Vertx vertx;
    /** The event loop of the last watch. */
    private volatile Context loop;

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

    private static DecisionSettings settings(String discovery) {
        return SettingsReader.checked(JsonFields.parse(TestSettings.JSON
                .replace("\"balancers\":1", "\"balancers\":14")
                .replace("\"pushed\"", '"' + discovery + '"')));
    }

    /** One service for all gateways is asked ever more rarely and not by all at once; an agent on the machine, at once. */
    @Test
    public void onlyAListThatIsAskedForIsAskedForWithSpread() {
        DecisionSettings one = settings("on_request");
        DecisionSettings agent = settings("pushed");
        Set<Long> starts = new HashSet<>();
        for (int seed = 0; seed < 14; seed++) {
            PollSchedule asked = PollSchedule.of(one, new SplittableRandom(seed));
            starts.add(asked.firstAfterMs());
            IntStream.range(0, 6).forEach(i -> asked.backoff().next());
            assertTrue(asked.backoff().next() >= 1600);
            PollSchedule pushed = PollSchedule.of(agent, new SplittableRandom(seed));
            assertEquals(pushed.firstAfterMs(), 0);
            IntStream.range(0, 6).forEach(i -> pushed.backoff().next());
            assertTrue(pushed.backoff().next() <= 300);
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
            assertTrue(longestGap(PollSchedule.of(settings("pushed"), new SplittableRandom(seed))) < 1000);
            assertTrue(longestGap(PollSchedule.of(settings("on_request"), new SplittableRandom(seed))) < 6000);
        }
    }

    /**
     * The same where a watch has been silent for long: a pushed list's waits have grown then, and its agent learns at its
     * return what counts as told at once. A connection that was tried before the return may never come up.
     */
    @Test
    public void afterALongSilenceAPushedListIsHeardWithinTheSecond() {
        for (int seed = 0; seed < 14; seed++) {
            PollSchedule pace = PollSchedule.of(settings("pushed"), new SplittableRandom(seed));
            for (int failed = 0; failed < 50; failed++) {
                assertTrue(longestGap(pace) < 1000);
            }
        }
    }

    private static double longestGap(PollSchedule pace) {
        return Math.max(pace.connectMs(), pace.waitMs() + pace.silenceMs())
                + pace.backoff().next();
    }

    /** A connection hangs in an agent's full backlog: it is given up within the silence, not after a second, and tried anew. */
    @Test
    public void aConnectionThatNeverComesUpIsGivenUpWithinTheSilence() throws Exception {
        Queue<Boolean> untold = new ConcurrentLinkedQueue<>();
        Queue<Long> at = new ConcurrentLinkedQueue<>();
        CompletableFuture<Void> again = new CompletableFuture<>();
        CountDownLatch listed = new CountDownLatch(1);
        int silenceMs = 600;
        try (ServerSocket agent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            agent.setSoTimeout(20_000);
            PollSchedule pace = new PollSchedule(10_000, silenceMs, 0, new Backoff(1, 2, new SplittableRandom(1)));
            assertEquals(pace.connectMs(), silenceMs);
            watch(agent.getLocalPort(), pace, new DiscoveryClient.Listener() {
                @Override
                public void endpointsReceived(boolean whole, List<Backend> lines, double discoveryNow) {
                    listed.countDown();
                }

                @Override
                public void callFailed(boolean refused) {
                    untold.add(refused);
                    at.add(System.nanoTime());
                    if (untold.size() == 4) {
                        again.complete(null);
                    }
                }
            });
            List<Socket> full = new ArrayList<>();
            try (Socket line = agent.accept()) {
                call(line);
                // From here on the kernel answers no SYN: its queue of this listener is full.
                for (int i = 0; i < 4; i++) {
                    Socket filler = new Socket();
                    full.add(filler);
                    try {
                        filler.connect(agent.getLocalSocketAddress(), 100);
                    } catch (SocketTimeoutException e) {
                        break;
                    }
                }
                String list = "{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}";
                line.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.US_ASCII));
                call(line);
            }
            // The first failure is the end of that watch, the later ones are connections.
            again.get(20, TimeUnit.SECONDS);
            assertEquals(listed.getCount(), 0);
            assertEquals(List.copyOf(untold).subList(0, 4), Collections.nCopies(4, false));
            List<Long> ends = List.copyOf(at);
            // The rule's own second; the shortest of three tries, so that a machine that is held up once does not
            // count.
            assertTrue(
                    IntStream.range(1, 4)
                                    .mapToLong(i -> ends.get(i) - ends.get(i - 1))
                                    .min()
                                    .orElseThrow()
                            < TimeUnit.SECONDS.toNanos(1),
                    ends + "");
            for (Socket filler : full) {
                filler.close();
            }
        }
    }

    /** Changes up to an earlier version name a node that has been drained since as up: they are refused, the whole list follows. */
    @Test
    public void changesThatGoBackwardsAreRefusedAndTheWholeListIsAskedFor() throws Exception {
        Queue<String> calls = new ConcurrentLinkedQueue<>();
        Queue<String> told = new ConcurrentLinkedQueue<>();
        Queue<Boolean> untold = new ConcurrentLinkedQueue<>();
        CompletableFuture<Void> over = new CompletableFuture<>();
        String draining = NODE.replace("\"up\"", "\"draining\"");
        Queue<String> answers = new ConcurrentLinkedQueue<>(List.of(
                "{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}",
                "{\"index\":6,\"snapshot\":false,\"endpoints\":[" + draining + "]}",
                "{\"index\":5,\"snapshot\":false,\"endpoints\":[" + NODE + "]}",
                "{\"index\":7,\"snapshot\":true,\"endpoints\":[" + draining + "]}"));
        int port = serve(call -> {
            calls.add(call.uri().replaceAll("&.*", ""));
            String answer = answers.poll();
            if (answer == null) {
                over.complete(null);
            } else {
                call.response().end(answer);
            }
        });
        watch(
                port,
                new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                new DiscoveryClient.Listener() {
                    @Override
                    public void endpointsReceived(boolean whole, List<Backend> lines, double discoveryNow) {
                        lines.forEach(line -> told.add(line.host().state().name()));
                    }

                    @Override
                    public void callFailed(boolean refused) {
                        untold.add(refused);
                    }
                });
        over.get(20, TimeUnit.SECONDS);
        assertEquals(
                List.copyOf(calls),
                List.of(
                        "/v1/endpoints",
                        "/v1/endpoints?since=4",
                        "/v1/endpoints?since=6",
                        "/v1/endpoints",
                        "/v1/endpoints?since=7"));
        assertEquals(List.copyOf(told), List.of("UP", "DRAINING", "DRAINING"));
        assertEquals(List.copyOf(untold), List.of(true));
    }

    /** Two watches are never answered: the list goes on, and hears of a drain that it missed. */
    @Test
    public void whatASilentWatchMissedIsHeardByTheNext() throws Exception {
        Queue<String> watches = new ConcurrentLinkedQueue<>();
        CompletableFuture<Backend> drained = new CompletableFuture<>();
        int port = serve(call -> {
            if (!call.uri().contains("since")) {
                call.response().end("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}");
                return;
            }
            watches.add(call.uri());
            if (watches.size() == 3) {
                call.response()
                        .end("{\"index\":5,\"snapshot\":false,\"endpoints\":[" + NODE.replace("\"up\"", "\"draining\"")
                                + "]}");
            }
        });
        watch(
                port,
                new PollSchedule(20, 500, 0, new Backoff(1, 2, new SplittableRandom(1))),
                (whole, lines, discoveryNow) -> lines.stream()
                        .filter(line -> line.host().state() == EndpointState.DRAINING)
                        .forEach(drained::complete));
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
                watched.join()
                        .response()
                        .end("{\"index\":41,\"snapshot\":true,\"endpoints\":[" + NODE.replace("s-1", "s-2") + "]}")
                        .onComplete(written -> {
                            answeredLate.complete(null);
                            call.response()
                                    .end("{\"index\":3,\"snapshot\":true,\"endpoints\":["
                                            + NODE.replace("\"up\"", "\"draining\"") + "]}");
                        });
            }
        });
        DiscoveryClient watch = watch(
                old,
                new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                (whole, lines, discoveryNow) -> lines.forEach(
                        line -> told.add(line.name() + " " + line.host().state())));
        watched.get(20, TimeUnit.SECONDS);
        vertx.runOnContext(move -> watch.moveTo(new HostAndPort("127.0.0.1", elsewhere)));
        assertEquals(second.get(20, TimeUnit.SECONDS), "/v1/endpoints?since=3&timeout_ms=10000");
        assertTrue(answeredLate.isDone());
        assertEquals(List.copyOf(told), List.of("s-1 UP", "s-1 DRAINING"));
    }

    /** The answer lies in the kernel while the process is held up for longer than silence lasts: it is taken, not given up. */
    @Test
    public void aProcessThatWasHeldUpDoesNotTakeItsOwnSlownessForSilence() throws Exception {
        int silenceMs = 300;
        CompletableFuture<Backend> heard = new CompletableFuture<>();
        try (ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            discovery.setSoTimeout(20_000);
            watch(
                    discovery.getLocalPort(),
                    new PollSchedule(10_000, silenceMs, 0, new Backoff(1, 2, new SplittableRandom(1))),
                    (whole, lines, discoveryNow) -> heard.complete(lines.get(0)));
            try (Socket line = discovery.accept()) {
                assertEquals(call(line), "GET /v1/endpoints HTTP/1.1");
                CountDownLatch held = new CountDownLatch(1);
                CountDownLatch goOn = new CountDownLatch(1);
                loop.runOnContext(hold -> {
                    held.countDown();
                    try {
                        goOn.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                held.await();
                String list = "{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}";
                line.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(2 * silenceMs);
                goOn.countDown();
                // The watch goes on over the same connection.
                assertEquals(call(line), "GET /v1/endpoints?since=4&timeout_ms=10000 HTTP/1.1");
                assertTrue(heard.isDone());
            }
        }
    }

    /** A front opens on the first word: not while a call is on its way, but with its list, or when discovery does not answer. */
    @Test
    public void theFirstWordIsTheListOrThatThereIsNoAnswer() throws Exception {
        CompletableFuture<HttpServerRequest> held = new CompletableFuture<>();
        Queue<Backend> told = new ConcurrentLinkedQueue<>();
        DiscoveryClient watch = watch(
                serve(call -> {
                    if (!held.complete(call)) {
                        call.response().end("{\"index\":4,\"snapshot\":false,\"endpoints\":[]}");
                    }
                }),
                new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                (whole, lines, discoveryNow) -> told.addAll(lines));
        HttpServerRequest call = held.get(20, TimeUnit.SECONDS);
        assertFalse(watch.whenReady(true).isComplete(), "opens while the list is on its way");
        call.response().end("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}");
        watch.whenReady(true).toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        assertEquals(told.size(), 1);
        Queue<String> refused = new ConcurrentLinkedQueue<>();
        DiscoveryClient away = watch(
                serve(each -> {
                    refused.add(each.uri());
                    each.response().setStatusCode(503).end();
                }),
                new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                (whole, lines, discoveryNow) -> told.addAll(lines));
        away.whenReady(true).toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        assertTrue(refused.size() >= 2, refused + "");
        assertEquals(told.size(), 1);
    }

    /**
     * A drain overtakes the first list, which is long on its way to a process that is slow in its first second: what came
     * since is asked for, without a wait, before the front opens.
     */
    @Test
    public void aListThatWasLongOnItsWayIsNoFirstWord() throws Exception {
        Queue<String> calls = new ConcurrentLinkedQueue<>();
        assertEquals(knownAtTheWord(true, calls), List.of("UP", "DRAINING"));
        assertEquals(List.copyOf(calls).subList(0, 2), List.of("/v1/endpoints", "/v1/endpoints?since=4&timeout_ms=1"));
    }

    /** One service for all gateways may be slow itself, and tells nothing before it answers: it is not asked more for that. */
    @Test
    public void anyListOfOneServiceIsAFirstWord() throws Exception {
        Queue<String> calls = new ConcurrentLinkedQueue<>();
        assertEquals(knownAtTheWord(false, calls), List.of("UP"));
        assertFalse(calls.contains("/v1/endpoints?since=4&timeout_ms=1"), calls + "");
    }

    /** What is known at the first word where the first list is held and its node is drained meanwhile. */
    private List<String> knownAtTheWord(boolean fresh, Queue<String> calls) throws Exception {
        Queue<String> told = new ConcurrentLinkedQueue<>();
        int port = serve(call -> {
            calls.add(call.uri());
            if (calls.size() == 1) {
                // Held for longer than a list is fresh.
                vertx.setTimer(400, late -> call.response()
                        .end("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}"));
            } else {
                call.response()
                        .end("{\"index\":5,\"snapshot\":false,\"endpoints\":["
                                + (calls.size() == 2 ? NODE.replace("\"up\"", "\"draining\"") : "") + "]}");
            }
        });
        CompletableFuture<List<String>> knownAtTheWord = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            DiscoveryClient watch = new DiscoveryClient(
                    vertx,
                    new HostAndPort("127.0.0.1", port),
                    new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                    (whole, lines, discoveryNow) ->
                            lines.forEach(line -> told.add(line.host().state().name())));
            watch.whenReady(fresh).onSuccess(word -> knownAtTheWord.complete(List.copyOf(told)));
            watch.start();
        });
        return knownAtTheWord.get(20, TimeUnit.SECONDS);
    }

    /** SIGHUP came while the process started: one watch, at the new address, of its whole list. */
    @Test
    public void aMoveBeforeTheStartLeavesOneWatch() throws Exception {
        Queue<String> calls = new ConcurrentLinkedQueue<>();
        CompletableFuture<Void> watched = new CompletableFuture<>();
        int elsewhere = serve(call -> {
            calls.add(call.uri().replaceAll("&.*", ""));
            if (call.uri().contains("since")) {
                watched.complete(null);
            } else {
                call.response().end("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}");
            }
        });
        vertx.runOnContext(start -> {
            DiscoveryClient watch = new DiscoveryClient(
                    vertx,
                    new HostAndPort("127.0.0.1", 1),
                    new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                    (whole, lines, discoveryNow) -> {});
            watch.moveTo(new HostAndPort("127.0.0.1", elsewhere));
            watch.startFrom(41);
        });
        watched.get(20, TimeUnit.SECONDS);
        assertEquals(List.copyOf(calls), List.of("/v1/endpoints", "/v1/endpoints?since=4"));
    }

    /** The next call on this connection; its first line. */
    public static String call(Socket line) throws Exception {
        line.setSoTimeout(20_000);
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int each = line.getInputStream().read();
            assertTrue(each >= 0, "the connection was given up");
            head.append((char) each);
        }
        return head.substring(0, head.indexOf("\r\n"));
    }

    private int serve(io.vertx.core.Handler<HttpServerRequest> calls) throws Exception {
        return vertx.createHttpServer()
                .requestHandler(calls)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS)
                .actualPort();
    }

    private DiscoveryClient watch(int port, PollSchedule pace, DiscoveryClient.Listener listener) throws Exception {
        CompletableFuture<DiscoveryClient> watch = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            loop = Vertx.currentContext();
            watch.complete(new DiscoveryClient(vertx, new HostAndPort("127.0.0.1", port), pace, listener));
            watch.join().start();
        });
        return watch.get(20, TimeUnit.SECONDS);
    }

    @Test
    public void aRefusedCallIsMadeAgainAfterAGrowingWaitAndAnAnsweredOneAtOnce() throws Exception {
        assertEquals(
                calls(DiscoveryClient.NO_INDEX),
                List.of(
                        "/v1/endpoints",
                        "waits",
                        "/v1/endpoints",
                        "waits",
                        "/v1/endpoints",
                        "waits",
                        "/v1/endpoints",
                        "/v1/endpoints?since=4",
                        "/v1/endpoints?since=5",
                        "waits",
                        "/v1/endpoints?since=5"));
    }

    /** After a release: a gateway that knows a version asks for one watch, and never for the whole list. */
    @Test
    public void whoKnowsAVersionAsksForWhatHasChangedSince() throws Exception {
        assertEquals(
                calls(3),
                List.of(
                        "/v1/endpoints?since=3",
                        "waits",
                        "/v1/endpoints?since=3",
                        "waits",
                        "/v1/endpoints?since=3",
                        "waits",
                        "/v1/endpoints?since=3",
                        "/v1/endpoints?since=4",
                        "/v1/endpoints?since=5",
                        "waits",
                        "/v1/endpoints?since=5"));
    }

    /** What a watch asks that starts from this version, and when it waits, at a service that refuses now and then. */
    private List<String> calls(long known) throws Exception {
        Queue<String> told = new ConcurrentLinkedQueue<>();
        Queue<String> answers = new ConcurrentLinkedQueue<>(List.of(
                "",
                "",
                "{torn",
                "{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}",
                "{\"index\":5,\"snapshot\":false,\"endpoints\":[" + NODE + "]}",
                ""));
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
        int port = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS)
                .actualPort();
        Backoff waits = new Backoff(2, 64, new Shortest(told));
        Queue<Backend> backends = new ConcurrentLinkedQueue<>();
        CompletableFuture<Void> first = new CompletableFuture<>();
        vertx.runOnContext(start -> new DiscoveryClient(
                        vertx,
                        new HostAndPort("127.0.0.1", port),
                        new PollSchedule(10_000, 20_000, 1, waits),
                        (whole, lines, discoveryNow) -> backends.addAll(lines))
                .startFrom(known)
                .onSuccess(first::complete));
        over.get(20, TimeUnit.SECONDS);
        assertTrue(first.isDone());
        assertEquals(backends.size(), 2);
        // Four waits were drawn; the answers in between had them start from the shortest again.
        List<String> calls = List.copyOf(told);
        assertEquals(waits.next(), 2);
        return calls;
    }
}
