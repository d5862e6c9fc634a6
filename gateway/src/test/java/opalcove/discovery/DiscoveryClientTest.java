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

/**
 * Tests what the client requests from a list service that is overloaded, slow or silent, and how long it waits between
 * calls.
 */
public class DiscoveryClientTest {
    private static final String NODE = "{\"name\":\"s-1\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"type\":\"m\","
            + "\"group\":0,\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}";

    private Vertx vertx;
    /** The event loop of the client that was started last. */
    private volatile Context loop;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
    }

    @AfterMethod
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** Draws the shortest possible waits, to keep the test short, and records each draw as an event. */
    private record Shortest(Queue<String> told) implements RandomGenerator {
        @Override
        public long nextLong() {
            told.add("waits");
            return 0;
        }
    }

    private static DecisionSettings settings(String discovery) {
        return SettingsReader.read(JsonFields.parse(TestSettings.JSON
                .replace("\"balancers\":1", "\"balancers\":14")
                .replace("\"pushed\"", '"' + discovery + '"')));
    }

    /**
     * A service that all gateways share is called less often after each failure and at different times; an agent on the
     * machine is called without delay.
     */
    @Test
    public void onlyAPolledListIsPolledWithSpread() {
        DecisionSettings one = settings("on_request");
        DecisionSettings agent = settings("pushed");
        Set<Long> starts = new HashSet<>();
        for (int seed = 0; seed < 14; seed++) {
            PollSchedule polled = PollSchedule.of(one, new SplittableRandom(seed));
            starts.add(polled.firstAfterMs());
            IntStream.range(0, 6).forEach(i -> polled.backoff().next());
            assertTrue(polled.backoff().next() >= 1600);
            PollSchedule pushed = PollSchedule.of(agent, new SplittableRandom(seed));
            assertEquals(pushed.firstAfterMs(), 0);
            IntStream.range(0, 6).forEach(i -> pushed.backoff().next());
            assertTrue(pushed.backoff().next() <= 300);
        }
        assertTrue(starts.size() >= 10, "delays of the first calls: " + starts);
    }

    /**
     * The gateway must know a pushed list as soon as its agent has it, even if the agent was silent before and never
     * responds to the calls of that time. A call and the wait after it must therefore end within the second in which
     * sends have to stop. A polled list must be known 6 s after its watch became silent.
     */
    @Test
    public void aSilentWatchIsOpenedAnewBeforeWhatItMissedHasToBeKnown() {
        for (int seed = 0; seed < 14; seed++) {
            assertTrue(longestGap(PollSchedule.of(settings("pushed"), new SplittableRandom(seed))) < 1000);
            assertTrue(longestGap(PollSchedule.of(settings("on_request"), new SplittableRandom(seed))) < 6000);
        }
    }

    /**
     * Guards against waits for a pushed list that have grown during a long silence: the gateway must know at once what
     * the agent learns when it returns. A connection that was attempted before that may never be established.
     */
    @Test
    public void afterALongSilenceAPushedListIsReceivedWithinTheSecond() {
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

    /**
     * A connection hangs in the full backlog of an agent: it must be abandoned after silenceMs, not after a second, and
     * attempted again.
     */
    @Test
    public void aConnectionThatNeverComesUpIsAbandonedWithinTheSilence() throws Exception {
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
                // Once the queue of this listener is full, the kernel no longer answers a SYN.
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
            // The first failure is the end of the watch; the later ones are connections that were not established.
            again.get(20, TimeUnit.SECONDS);
            assertEquals(listed.getCount(), 0);
            assertEquals(List.copyOf(untold).subList(0, 4), Collections.nCopies(4, false));
            List<Long> ends = List.copyOf(at);
            // The bound is the required second. The shortest of three attempts is compared, so that a single stall of
            // the machine does not fail the test.
            assertTrue(
                    IntStream.range(1, 4)
                                    .mapToLong(i -> ends.get(i) - ends.get(i - 1))
                                    .min()
                                    .orElseThrow()
                            < TimeUnit.SECONDS.toNanos(1),
                    "failed at (ns): " + ends);
            for (Socket filler : full) {
                filler.close();
            }
        }
    }

    /**
     * Changes up to an earlier version name a drained backend as up: they must be rejected and the complete list
     * requested.
     */
    @Test
    public void changesThatGoBackwardsAreRejectedAndTheCompleteListIsRequested() throws Exception {
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
                        lines.forEach(line -> told.add(line.endpoint().state().name()));
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

    /** Two watches get no response: the client must watch again and receive the drain that happened meanwhile. */
    @Test
    public void whatASilentWatchMissedIsReceivedByTheNext() throws Exception {
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
                        .filter(line -> line.endpoint().state() == EndpointState.DRAINING)
                        .forEach(drained::complete));
        assertEquals(drained.get(20, TimeUnit.SECONDS).name(), "s-1");
        assertEquals(List.copyOf(watches).subList(0, 3), Collections.nCopies(3, "/v1/endpoints?since=4&timeout_ms=20"));
    }

    /**
     * The former discovery responds after the move with a backend that the new one has drained; the new one's index is
     * smaller.
     */
    @Test
    public void aLateResponseOfTheFormerDiscoveryIsIgnored() throws Exception {
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
                // The former discovery responds first.
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
                        line -> told.add(line.name() + " " + line.endpoint().state())));
        watched.get(20, TimeUnit.SECONDS);
        vertx.runOnContext(move -> watch.moveTo(new HostAndPort("127.0.0.1", elsewhere)));
        assertEquals(second.get(20, TimeUnit.SECONDS), "/v1/endpoints?since=3&timeout_ms=10000");
        assertTrue(answeredLate.isDone());
        assertEquals(List.copyOf(told), List.of("s-1 UP", "s-1 DRAINING"));
    }

    /**
     * The response lies in the kernel while the process is stalled for longer than silenceMs: it must be read, not
     * abandoned.
     */
    @Test
    public void aProcessThatWasHeldUpDoesNotTakeItsOwnSlownessForSilence() throws Exception {
        int silenceMs = 300;
        CompletableFuture<Backend> received = new CompletableFuture<>();
        try (ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            discovery.setSoTimeout(20_000);
            watch(
                    discovery.getLocalPort(),
                    new PollSchedule(10_000, silenceMs, 0, new Backoff(1, 2, new SplittableRandom(1))),
                    (whole, lines, discoveryNow) -> received.complete(lines.get(0)));
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
                // The watch continues on the same connection.
                assertEquals(call(line), "GET /v1/endpoints?since=4&timeout_ms=10000 HTTP/1.1");
                assertTrue(received.isDone());
            }
        }
    }

    /**
     * The client must become ready with the list, or when discovery rejects calls, but not while a call is in flight.
     */
    @Test
    public void readyIsReachedByTheListOrByTheLackOfAResponse() throws Exception {
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
        assertFalse(watch.whenReady(true).isComplete(), "ready while the first call is in flight");
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
        assertTrue(refused.size() >= 2, "rejected calls: " + refused);
        assertEquals(told.size(), 1);
    }

    /**
     * A drain happens while the first list takes long to reach a process that is slow in its first second: the changes
     * since then must be requested, without a wait, before the client is ready.
     */
    @Test
    public void aListThatTookLongToArriveDoesNotMakeReady() throws Exception {
        Queue<String> calls = new ConcurrentLinkedQueue<>();
        assertEquals(knownWhenReady(true, calls), List.of("UP", "DRAINING"));
        assertEquals(List.copyOf(calls).subList(0, 2), List.of("/v1/endpoints", "/v1/endpoints?since=4&timeout_ms=1"));
    }

    /**
     * A service that all gateways share may itself be slow, and its changes need not be known before it responds: no
     * extra call is made to it.
     */
    @Test
    public void anyListOfOneServiceMakesReady() throws Exception {
        Queue<String> calls = new ConcurrentLinkedQueue<>();
        assertEquals(knownWhenReady(false, calls), List.of("UP"));
        assertFalse(calls.contains("/v1/endpoints?since=4&timeout_ms=1"), "calls: " + calls);
    }

    /**
     * Returns the states received until the client is ready, if the first list is delayed and its backend drained
     * meanwhile.
     */
    private List<String> knownWhenReady(boolean fresh, Queue<String> calls) throws Exception {
        Queue<String> told = new ConcurrentLinkedQueue<>();
        int port = serve(call -> {
            calls.add(call.uri());
            if (calls.size() == 1) {
                // Delayed for longer than the time in which a list is fresh.
                vertx.setTimer(400, late -> call.response()
                        .end("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}"));
            } else {
                call.response()
                        .end("{\"index\":5,\"snapshot\":false,\"endpoints\":["
                                + (calls.size() == 2 ? NODE.replace("\"up\"", "\"draining\"") : "") + "]}");
            }
        });
        CompletableFuture<List<String>> knownWhenReady = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            DiscoveryClient watch = new DiscoveryClient(
                    vertx,
                    new HostAndPort("127.0.0.1", port),
                    new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                    (whole, lines, discoveryNow) -> lines.forEach(
                            line -> told.add(line.endpoint().state().name())));
            watch.whenReady(fresh).onSuccess(word -> knownWhenReady.complete(List.copyOf(told)));
            watch.start();
        });
        return knownWhenReady.get(20, TimeUnit.SECONDS);
    }

    /**
     * SIGHUP arrives while the process starts: there must be one watch only, at the new address, after its complete
     * list.
     */
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

    /** Reads the next call on this connection and returns its request line. */
    public static String call(Socket line) throws Exception {
        line.setSoTimeout(20_000);
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int each = line.getInputStream().read();
            assertTrue(each >= 0, "the client closed the connection");
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

    /** After a release, a gateway that knows a version must request a watch only, and never the complete list. */
    @Test
    public void aKnownVersionIsFollowedByWhatHasChangedSince() throws Exception {
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

    /**
     * Returns the calls and waits, in order, of a client that starts from this version at a service that rejects some
     * calls.
     */
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
        // Four waits were drawn; the successful responses between them reset the wait to the shortest.
        List<String> calls = List.copyOf(told);
        assertEquals(waits.next(), 2);
        return calls;
    }
}
