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
    private static final String ENDPOINT =
            "{\"name\":\"s-1\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"type\":\"m\","
                    + "\"group\":0,\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}";

    private Vertx vertx;
    /** The event loop of the client that was started last. */
    private volatile Context eventLoop;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
    }

    @AfterMethod
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** Draws the shortest possible waits, to keep the test short, and records each draw as an event. */
    private record ShortestWaits(Queue<String> events) implements RandomGenerator {
        @Override
        public long nextLong() {
            events.add("waits");
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
    public void spreadsAndSlowsCallsOnlyWhenListIsPolled() {
        DecisionSettings polledSettings = settings("on_request");
        DecisionSettings pushedSettings = settings("pushed");
        Set<Long> firstCallsAfterMs = new HashSet<>();
        for (int seed = 0; seed < 14; seed++) {
            PollSchedule polled = PollSchedule.of(polledSettings, new SplittableRandom(seed));
            firstCallsAfterMs.add(polled.firstAfterMs());
            IntStream.range(0, 6).forEach(i -> polled.backoff().next());
            assertTrue(polled.backoff().next() >= 1600);
            PollSchedule pushed = PollSchedule.of(pushedSettings, new SplittableRandom(seed));
            assertEquals(pushed.firstAfterMs(), 0);
            IntStream.range(0, 6).forEach(i -> pushed.backoff().next());
            assertTrue(pushed.backoff().next() <= 300);
        }
        assertTrue(firstCallsAfterMs.size() >= 10, "delays of the first calls: " + firstCallsAfterMs);
    }

    /**
     * The gateway must know a pushed list as soon as its agent has it, even if the agent was silent before and never
     * responds to the calls of that time. A call and the wait after it must therefore end within the second in which
     * sends have to stop. A polled list must be known 6 s after its watch became silent.
     */
    @Test
    public void callsAgainBeforeMissedChangeMustBeKnownWhenWatchIsSilent() {
        for (int seed = 0; seed < 14; seed++) {
            assertTrue(longestGapMs(PollSchedule.of(settings("pushed"), new SplittableRandom(seed))) < 1000);
            assertTrue(longestGapMs(PollSchedule.of(settings("on_request"), new SplittableRandom(seed))) < 6000);
        }
    }

    /**
     * Guards against waits for a pushed list that have grown during a long silence: the gateway must know at once what
     * the agent learns when it returns. A connection that was attempted before that may never be established.
     */
    @Test
    public void callsAgentWithinOneSecondAfterLongSilence() {
        for (int seed = 0; seed < 14; seed++) {
            PollSchedule schedule = PollSchedule.of(settings("pushed"), new SplittableRandom(seed));
            for (int failed = 0; failed < 50; failed++) {
                assertTrue(longestGapMs(schedule) < 1000);
            }
        }
    }

    private static double longestGapMs(PollSchedule schedule) {
        return Math.max(schedule.connectTimeoutMs(), schedule.waitMs() + schedule.silenceMs())
                + schedule.backoff().next();
    }

    /**
     * A connection hangs in the full backlog of an agent: it must be abandoned after silenceMs, not after a second, and
     * attempted again.
     */
    @Test
    public void retriesConnectionAfterSilenceMsWhenBacklogIsFull() throws Exception {
        Queue<Boolean> failures = new ConcurrentLinkedQueue<>();
        Queue<Long> failedAtNanos = new ConcurrentLinkedQueue<>();
        CompletableFuture<Void> failedFourTimes = new CompletableFuture<>();
        CountDownLatch listReceived = new CountDownLatch(1);
        int silenceMs = 600;
        try (ServerSocket agent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            agent.setSoTimeout(20_000);
            PollSchedule schedule = new PollSchedule(10_000, silenceMs, 0, new Backoff(1, 2, new SplittableRandom(1)));
            assertEquals(schedule.connectTimeoutMs(), silenceMs);
            startClient(agent.getLocalPort(), schedule, new DiscoveryClient.Listener() {
                @Override
                public void endpointsReceived(boolean isComplete, List<Backend> backends, double discoveryNowMs) {
                    listReceived.countDown();
                }

                @Override
                public void callFailed(boolean isInvalid) {
                    failures.add(isInvalid);
                    failedAtNanos.add(System.nanoTime());
                    if (failures.size() == 4) {
                        failedFourTimes.complete(null);
                    }
                }
            });
            List<Socket> fillers = new ArrayList<>();
            try (Socket connection = agent.accept()) {
                readCall(connection);
                // Once the queue of this listener is full, the kernel no longer answers a SYN.
                for (int i = 0; i < 4; i++) {
                    Socket filler = new Socket();
                    fillers.add(filler);
                    try {
                        filler.connect(agent.getLocalSocketAddress(), 100);
                    } catch (SocketTimeoutException e) {
                        break;
                    }
                }
                String list = "{\"index\":4,\"snapshot\":true,\"endpoints\":[" + ENDPOINT + "]}";
                connection
                        .getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.US_ASCII));
                readCall(connection);
            }
            // The first failure is the end of the watch; the later ones are connections that were not established.
            failedFourTimes.get(20, TimeUnit.SECONDS);
            assertEquals(listReceived.getCount(), 0);
            assertEquals(List.copyOf(failures).subList(0, 4), Collections.nCopies(4, false));
            List<Long> ends = List.copyOf(failedAtNanos);
            // The bound is the required second. The shortest of three attempts is compared, so that a single stall of
            // the machine does not fail the test.
            assertTrue(
                    IntStream.range(1, 4)
                                    .mapToLong(i -> ends.get(i) - ends.get(i - 1))
                                    .min()
                                    .orElseThrow()
                            < TimeUnit.SECONDS.toNanos(1),
                    "failed at (ns): " + ends);
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /**
     * Changes up to an earlier version name a drained backend as up: they must be rejected and the complete list
     * requested.
     */
    @Test
    public void requestsCompleteListWhenChangesHaveOlderVersion() throws Exception {
        Queue<String> calls = new ConcurrentLinkedQueue<>();
        Queue<String> received = new ConcurrentLinkedQueue<>();
        Queue<Boolean> failures = new ConcurrentLinkedQueue<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        String draining = ENDPOINT.replace("\"up\"", "\"draining\"");
        Queue<String> responses = new ConcurrentLinkedQueue<>(List.of(
                "{\"index\":4,\"snapshot\":true,\"endpoints\":[" + ENDPOINT + "]}",
                "{\"index\":6,\"snapshot\":false,\"endpoints\":[" + draining + "]}",
                "{\"index\":5,\"snapshot\":false,\"endpoints\":[" + ENDPOINT + "]}",
                "{\"index\":7,\"snapshot\":true,\"endpoints\":[" + draining + "]}"));
        int port = serve(call -> {
            calls.add(call.uri().replaceAll("&.*", ""));
            String response = responses.poll();
            if (response == null) {
                done.complete(null);
            } else {
                call.response().end(response);
            }
        });
        startClient(
                port,
                new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                new DiscoveryClient.Listener() {
                    @Override
                    public void endpointsReceived(boolean isComplete, List<Backend> backends, double discoveryNowMs) {
                        backends.forEach(backend ->
                                received.add(backend.endpoint().state().name()));
                    }

                    @Override
                    public void callFailed(boolean isInvalid) {
                        failures.add(isInvalid);
                    }
                });
        done.get(20, TimeUnit.SECONDS);
        assertEquals(
                List.copyOf(calls),
                List.of(
                        "/v1/endpoints",
                        "/v1/endpoints?since=4",
                        "/v1/endpoints?since=6",
                        "/v1/endpoints",
                        "/v1/endpoints?since=7"));
        assertEquals(List.copyOf(received), List.of("UP", "DRAINING", "DRAINING"));
        assertEquals(List.copyOf(failures), List.of(true));
    }

    /** Two watches get no response: the client must watch again and receive the drain that happened meanwhile. */
    @Test
    public void receivesMissedDrainAfterSilentWatches() throws Exception {
        Queue<String> watches = new ConcurrentLinkedQueue<>();
        CompletableFuture<Backend> drained = new CompletableFuture<>();
        int port = serve(call -> {
            if (!call.uri().contains("since")) {
                call.response().end("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + ENDPOINT + "]}");
                return;
            }
            watches.add(call.uri());
            if (watches.size() == 3) {
                call.response()
                        .end("{\"index\":5,\"snapshot\":false,\"endpoints\":["
                                + ENDPOINT.replace("\"up\"", "\"draining\"") + "]}");
            }
        });
        startClient(
                port,
                new PollSchedule(20, 500, 0, new Backoff(1, 2, new SplittableRandom(1))),
                (isComplete, backends, discoveryNowMs) -> backends.stream()
                        .filter(backend -> backend.endpoint().state() == EndpointState.DRAINING)
                        .forEach(drained::complete));
        assertEquals(drained.get(20, TimeUnit.SECONDS).name(), "s-1");
        assertEquals(List.copyOf(watches).subList(0, 3), Collections.nCopies(3, "/v1/endpoints?since=4&timeout_ms=20"));
    }

    /**
     * The former discovery responds after the move with a backend that the new one has drained; the new one's index is
     * smaller.
     */
    @Test
    public void ignoresLateResponseOfFormerDiscoveryAfterMove() throws Exception {
        CompletableFuture<HttpServerRequest> watched = new CompletableFuture<>();
        CompletableFuture<Void> lateResponseSent = new CompletableFuture<>();
        Queue<String> received = new ConcurrentLinkedQueue<>();
        int formerPort = serve(call -> {
            if (call.uri().contains("since")) {
                watched.complete(call);
            } else {
                call.response().end("{\"index\":40,\"snapshot\":true,\"endpoints\":[" + ENDPOINT + "]}");
            }
        });
        CompletableFuture<String> watchedAfterMove = new CompletableFuture<>();
        int newPort = serve(call -> {
            if (call.uri().contains("since")) {
                watchedAfterMove.complete(call.uri());
            } else {
                // The former discovery responds first.
                watched.join()
                        .response()
                        .end("{\"index\":41,\"snapshot\":true,\"endpoints\":[" + ENDPOINT.replace("s-1", "s-2") + "]}")
                        .onComplete(written -> {
                            lateResponseSent.complete(null);
                            call.response()
                                    .end("{\"index\":3,\"snapshot\":true,\"endpoints\":["
                                            + ENDPOINT.replace("\"up\"", "\"draining\"") + "]}");
                        });
            }
        });
        DiscoveryClient client = startClient(
                formerPort,
                new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                (isComplete, backends, discoveryNowMs) -> backends.forEach(backend ->
                        received.add(backend.name() + " " + backend.endpoint().state())));
        watched.get(20, TimeUnit.SECONDS);
        vertx.runOnContext(run -> client.moveTo(new HostAndPort("127.0.0.1", newPort)));
        assertEquals(watchedAfterMove.get(20, TimeUnit.SECONDS), "/v1/endpoints?since=3&timeout_ms=10000");
        assertTrue(lateResponseSent.isDone());
        assertEquals(List.copyOf(received), List.of("s-1 UP", "s-1 DRAINING"));
    }

    /**
     * The response lies in the kernel while the process is stalled for longer than silenceMs: it must be read, not
     * abandoned.
     */
    @Test
    public void readsPendingResponseWhenProcessWasStalledLongerThanSilenceMs() throws Exception {
        int silenceMs = 300;
        CompletableFuture<Backend> received = new CompletableFuture<>();
        try (ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            discovery.setSoTimeout(20_000);
            startClient(
                    discovery.getLocalPort(),
                    new PollSchedule(10_000, silenceMs, 0, new Backoff(1, 2, new SplittableRandom(1))),
                    (isComplete, backends, discoveryNowMs) -> received.complete(backends.get(0)));
            try (Socket connection = discovery.accept()) {
                assertEquals(readCall(connection), "GET /v1/endpoints HTTP/1.1");
                CountDownLatch isBlocked = new CountDownLatch(1);
                CountDownLatch unblock = new CountDownLatch(1);
                eventLoop.runOnContext(run -> {
                    isBlocked.countDown();
                    try {
                        unblock.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                isBlocked.await();
                String list = "{\"index\":4,\"snapshot\":true,\"endpoints\":[" + ENDPOINT + "]}";
                connection
                        .getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(2 * silenceMs);
                unblock.countDown();
                // The watch continues on the same connection.
                assertEquals(readCall(connection), "GET /v1/endpoints?since=4&timeout_ms=10000 HTTP/1.1");
                assertTrue(received.isDone());
            }
        }
    }

    /**
     * The client must become ready with the list, or when discovery rejects calls, but not while a call is in flight.
     */
    @Test
    public void becomesReadyWithListOrWhenDiscoveryRejectsCalls() throws Exception {
        CompletableFuture<HttpServerRequest> firstCall = new CompletableFuture<>();
        Queue<Backend> receivedBackends = new ConcurrentLinkedQueue<>();
        DiscoveryClient client = startClient(
                serve(call -> {
                    if (!firstCall.complete(call)) {
                        call.response().end("{\"index\":4,\"snapshot\":false,\"endpoints\":[]}");
                    }
                }),
                new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                (isComplete, backends, discoveryNowMs) -> receivedBackends.addAll(backends));
        HttpServerRequest call = firstCall.get(20, TimeUnit.SECONDS);
        assertFalse(client.whenReady(true).isComplete(), "ready while the first call is in flight");
        call.response().end("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + ENDPOINT + "]}");
        client.whenReady(true).toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        assertEquals(receivedBackends.size(), 1);
        Queue<String> rejected = new ConcurrentLinkedQueue<>();
        DiscoveryClient rejectedClient = startClient(
                serve(rejectedCall -> {
                    rejected.add(rejectedCall.uri());
                    rejectedCall.response().setStatusCode(503).end();
                }),
                new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                (isComplete, backends, discoveryNowMs) -> receivedBackends.addAll(backends));
        rejectedClient.whenReady(true).toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        assertTrue(rejected.size() >= 2, "rejected calls: " + rejected);
        assertEquals(receivedBackends.size(), 1);
    }

    /**
     * A drain happens while the first list takes long to reach a process that is slow in its first second: the changes
     * since then must be requested, without a wait, before the client is ready.
     */
    @Test
    public void requestsLaterChangesBeforeReadyWhenFirstListIsLate() throws Exception {
        Queue<String> calls = new ConcurrentLinkedQueue<>();
        assertEquals(knownWhenReady(true, calls), List.of("UP", "DRAINING"));
        assertEquals(List.copyOf(calls).subList(0, 2), List.of("/v1/endpoints", "/v1/endpoints?since=4&timeout_ms=1"));
    }

    /**
     * A service that all gateways share may itself be slow, and its changes need not be known before it responds: no
     * extra call is made to it.
     */
    @Test
    public void becomesReadyWithAnyListWhenFreshListIsNotRequired() throws Exception {
        Queue<String> calls = new ConcurrentLinkedQueue<>();
        assertEquals(knownWhenReady(false, calls), List.of("UP"));
        assertFalse(calls.contains("/v1/endpoints?since=4&timeout_ms=1"), "calls: " + calls);
    }

    /**
     * Returns the states received until the client is ready, if the first list is delayed and its backend drained
     * meanwhile.
     */
    private List<String> knownWhenReady(boolean freshListOnly, Queue<String> calls) throws Exception {
        Queue<String> received = new ConcurrentLinkedQueue<>();
        int port = serve(call -> {
            calls.add(call.uri());
            if (calls.size() == 1) {
                // Delayed for longer than the time in which a list is fresh.
                vertx.setTimer(400, late -> call.response()
                        .end("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + ENDPOINT + "]}"));
            } else {
                call.response()
                        .end("{\"index\":5,\"snapshot\":false,\"endpoints\":["
                                + (calls.size() == 2 ? ENDPOINT.replace("\"up\"", "\"draining\"") : "") + "]}");
            }
        });
        CompletableFuture<List<String>> knownWhenReady = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            DiscoveryClient client = new DiscoveryClient(
                    vertx,
                    new HostAndPort("127.0.0.1", port),
                    new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                    (isComplete, backends, discoveryNowMs) -> backends.forEach(
                            backend -> received.add(backend.endpoint().state().name())));
            client.whenReady(freshListOnly).onSuccess(ready -> knownWhenReady.complete(List.copyOf(received)));
            client.start();
        });
        return knownWhenReady.get(20, TimeUnit.SECONDS);
    }

    /**
     * SIGHUP arrives while the process starts: there must be one watch only, at the new address, after its complete
     * list.
     */
    @Test
    public void watchesNewAddressOnlyWhenMovedBeforeStart() throws Exception {
        Queue<String> calls = new ConcurrentLinkedQueue<>();
        CompletableFuture<Void> watched = new CompletableFuture<>();
        int newPort = serve(call -> {
            calls.add(call.uri().replaceAll("&.*", ""));
            if (call.uri().contains("since")) {
                watched.complete(null);
            } else {
                call.response().end("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + ENDPOINT + "]}");
            }
        });
        vertx.runOnContext(start -> {
            DiscoveryClient client = new DiscoveryClient(
                    vertx,
                    new HostAndPort("127.0.0.1", 1),
                    new PollSchedule(10_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                    (isComplete, backends, discoveryNowMs) -> {});
            client.moveTo(new HostAndPort("127.0.0.1", newPort));
            client.startFrom(41);
        });
        watched.get(20, TimeUnit.SECONDS);
        assertEquals(List.copyOf(calls), List.of("/v1/endpoints", "/v1/endpoints?since=4"));
    }

    /** Reads the next call on this connection and returns its request line. */
    public static String readCall(Socket connection) throws Exception {
        connection.setSoTimeout(20_000);
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = connection.getInputStream().read();
            assertTrue(next >= 0, "the client closed the connection");
            head.append((char) next);
        }
        return head.substring(0, head.indexOf("\r\n"));
    }

    private int serve(io.vertx.core.Handler<HttpServerRequest> callHandler) throws Exception {
        return vertx.createHttpServer()
                .requestHandler(callHandler)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS)
                .actualPort();
    }

    private DiscoveryClient startClient(int port, PollSchedule schedule, DiscoveryClient.Listener listener)
            throws Exception {
        CompletableFuture<DiscoveryClient> client = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            eventLoop = Vertx.currentContext();
            client.complete(new DiscoveryClient(vertx, new HostAndPort("127.0.0.1", port), schedule, listener));
            client.join().start();
        });
        return client.get(20, TimeUnit.SECONDS);
    }

    @Test
    public void repeatsRejectedCallAfterWaitAndSuccessfulCallImmediately() throws Exception {
        assertEquals(
                callsAndWaits(DiscoveryClient.NO_INDEX),
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
    public void watchesFromKnownVersionWithoutCompleteList() throws Exception {
        assertEquals(
                callsAndWaits(3),
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
    private List<String> callsAndWaits(long knownVersion) throws Exception {
        Queue<String> events = new ConcurrentLinkedQueue<>();
        Queue<String> responses = new ConcurrentLinkedQueue<>(List.of(
                "",
                "",
                "{torn",
                "{\"index\":4,\"snapshot\":true,\"endpoints\":[" + ENDPOINT + "]}",
                "{\"index\":5,\"snapshot\":false,\"endpoints\":[" + ENDPOINT + "]}",
                ""));
        CompletableFuture<Void> done = new CompletableFuture<>();
        HttpServer server = vertx.createHttpServer().requestHandler(call -> {
            events.add(call.uri().replaceAll("&.*", ""));
            String response = responses.poll();
            if (response == null) {
                done.complete(null);
            } else {
                call.response().setStatusCode(response.isEmpty() ? 503 : 200).end(response);
            }
        });
        int port = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS)
                .actualPort();
        Backoff waits = new Backoff(2, 64, new ShortestWaits(events));
        Queue<Backend> receivedBackends = new ConcurrentLinkedQueue<>();
        CompletableFuture<Void> firstList = new CompletableFuture<>();
        vertx.runOnContext(start -> new DiscoveryClient(
                        vertx,
                        new HostAndPort("127.0.0.1", port),
                        new PollSchedule(10_000, 20_000, 1, waits),
                        (isComplete, backends, discoveryNowMs) -> receivedBackends.addAll(backends))
                .startFrom(knownVersion)
                .onSuccess(firstList::complete));
        done.get(20, TimeUnit.SECONDS);
        assertTrue(firstList.isDone());
        assertEquals(receivedBackends.size(), 2);
        // Four waits were drawn; the successful responses between them reset the wait to the shortest.
        List<String> callsAndWaits = List.copyOf(events);
        assertEquals(waits.next(), 2);
        return callsAndWaits;
    }
}
