package opalcove.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests how long the gateway may take to learn of a change: the sums of the waits, and the next call after each kind of
 * failure.
 */
public class DiscoveryBoundsTest {
    private static final String ENDPOINT =
            "{\"name\":\"s-1\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"type\":\"m\","
                    + "\"group\":0,\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}";
    /** More than the number of connections that the HTTP client opens to one address. */
    private static final int FAILURES = 8;
    /** The time after which the gateway must know a change that discovery has, while discovery is reachable. */
    private static final double KNOWN_AFTER_MS = 6000;
    /**
     * The part of that time reserved for the response to the next call and for a process that has only a part of a
     * core.
     */
    private static final double MARGIN_MS = 1500;
    /** The time after which a service that is short of capacity rejects a queued call. */
    private static final double QUEUE_TIMEOUT_MS = 2000;

    private Vertx vertx;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
    }

    @AfterMethod
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static DecisionSettings polled(int gateways) {
        return settings("\"balancers\":1", "\"balancers\":" + gateways, "\"pushed\"", "\"on_request\"");
    }

    private static DecisionSettings pushed(int graceMs) {
        return settings("\"fall_ms\":3000", "\"fall_ms\":3000,\"stop_sending_within_ms\":" + graceMs);
    }

    private static DecisionSettings settings(String... changes) {
        String json = TestSettings.JSON;
        for (int i = 0; i < changes.length; i += 2) {
            assertTrue(json.contains(changes[i]), changes[i]);
            json = json.replace(changes[i], changes[i + 1]);
        }
        return SettingsReader.read(JsonFields.parse(json));
    }

    /**
     * Returns the longest times in ms until a call fails: immediately, in the service's queue, while connecting,
     * without a response.
     */
    private static double[] failuresMs(PollSchedule schedule) {
        return new double[] {
            0,
            Math.min(QUEUE_TIMEOUT_MS, schedule.silenceMs()),
            schedule.connectTimeoutMs(),
            schedule.waitMs() + schedule.silenceMs()
        };
    }

    private static double wait(PollSchedule schedule, double failedAfterMs) {
        return schedule.backoff().next(schedule.maxBackoffMs((long) failedAfterMs, 0, 0));
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{100}, {570}};
    }

    /** A polled list must be called in time however many calls have failed before. */
    @Test(dataProvider = "fleets")
    public void pollsWithinBoundAfterAnyFailures(int gateways) {
        for (int seed = 0; seed < 50; seed++) {
            PollSchedule schedule = PollSchedule.of(polled(gateways), new SplittableRandom(seed));
            assertTrue(
                    schedule.firstAfterMs() <= KNOWN_AFTER_MS - MARGIN_MS,
                    "first call after " + schedule.firstAfterMs() + " ms");
            for (double failedAfterMs : failuresMs(schedule)) {
                schedule.backoff().reset();
                for (int failed = 0; failed < 20; failed++) {
                    double ms = failedAfterMs + wait(schedule, failedAfterMs);
                    assertTrue(
                            ms <= KNOWN_AFTER_MS - MARGIN_MS,
                            failed + " calls failed, the next one after " + ms + " ms");
                }
            }
        }
    }

    /** The gateway must know a change 4 s after SIGHUP, so the second call to the new address must be made before. */
    @Test(dataProvider = "fleets")
    public void repeatsFailedCallWithinBoundAfterMove(int gateways) {
        for (int seed = 0; seed < 50; seed++) {
            PollSchedule schedule = PollSchedule.of(polled(gateways), new SplittableRandom(seed));
            for (double failedAfterMs :
                    new double[] {0, QUEUE_TIMEOUT_MS, schedule.connectTimeoutMs(), schedule.silenceMs()}) {
                schedule.backoff().reset();
                long since = (long) failedAfterMs;
                long ms = since + schedule.backoff().next(schedule.maxBackoffMs(since, 1, since));
                assertTrue(ms <= 3200, "the next call after " + ms + " ms");
            }
            assertEquals(schedule.maxBackoffMs(0, 1, 3200), schedule.maxPeriodMs());
        }
    }

    /** A service breaks the watches of all gateways at one instant; their next calls must be spread over seconds. */
    @Test(dataProvider = "fleets")
    public void spreadsCallsOfAllGatewaysWhenTheirWatchesBreakTogether(int gateways) {
        int[] callsPer100Ms = new int[60];
        for (int seed = 0; seed < gateways; seed++) {
            PollSchedule schedule = PollSchedule.of(polled(gateways), new SplittableRandom(seed));
            callsPer100Ms[(int) wait(schedule, 0) / 100]++;
        }
        int max = IntStream.of(callsPer100Ms).max().orElseThrow();
        assertTrue(max <= gateways / 5, max + " of " + gateways + " calls within 100 ms");
    }

    /** Guards against a bound of the wait that makes all gateways call at the same time after a failure of any kind. */
    @Test(dataProvider = "fleets")
    public void spreadsCallsOfAllGatewaysAfterRepeatedFailures(int gateways) {
        PollSchedule first = PollSchedule.of(polled(gateways), new SplittableRandom(0));
        for (double failedAfterMs : failuresMs(first)) {
            Set<Double> waits = new HashSet<>();
            double meanMs = 0;
            for (int seed = 0; seed < gateways; seed++) {
                PollSchedule schedule = PollSchedule.of(polled(gateways), new SplittableRandom(seed));
                for (int failed = 0; failed < 6; failed++) {
                    wait(schedule, failedAfterMs);
                }
                double wait = wait(schedule, failedAfterMs);
                meanMs += wait / gateways;
                waits.add(wait);
            }
            // Each gateway calls less than once in 2.5 s, at times drawn from a range of at least 333 ms.
            assertTrue(
                    failedAfterMs + meanMs > 2500,
                    "a call failed after " + failedAfterMs + " ms, mean wait " + meanMs + " ms");
            assertTrue(waits.size() >= Math.min(gateways, 333) / 2, waits.size() + " distinct waits of " + gateways);
        }
    }

    @DataProvider
    public Object[][] graces() {
        return new Object[][] {{500}, {1000}, {1500}};
    }

    /**
     * A silent agent returns with a drain: the next call must be made early enough that a fifth of the grace remains to
     * stop sends.
     */
    @Test(dataProvider = "graces")
    public void callsAgentWithinDrainGraceAfterAnyFailures(int graceMs) {
        for (int seed = 0; seed < 50; seed++) {
            PollSchedule schedule = PollSchedule.of(pushed(graceMs), new SplittableRandom(seed));
            for (double failedAfterMs : failuresMs(schedule)) {
                for (int failed = 0; failed < 20; failed++) {
                    assertTrue(
                            failedAfterMs + wait(schedule, failedAfterMs) <= 0.8 * graceMs,
                            "a call failed after " + failedAfterMs + " ms");
                }
            }
            assertTrue(schedule.freshMs() <= 0.3 * graceMs && schedule.lateMs() <= 0.4 * graceMs, schedule + "");
        }
    }

    /** Without a grace in the settings there is a default; even a grace of 0 ms gives positive times. */
    @Test
    public void usesPositiveTimesWhenGraceIsAbsentOrZero() {
        assertEquals(settings().obligations().drainGraceMs(), DecisionSettings.Obligations.DEFAULT_DRAIN_GRACE_MS);
        PollSchedule schedule = PollSchedule.of(pushed(0), new SplittableRandom(1));
        assertTrue(
                schedule.waitMs() > 0
                        && schedule.silenceMs() > 0
                        && schedule.backoff().next(1) == 1,
                schedule + "");
    }

    /** The reaction of discovery to a call. */
    private interface Reaction {
        void apply(NetSocket connection);
    }

    private static Reaction respond(String bytes) {
        return connection -> connection.write(bytes);
    }

    private static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @DataProvider
    public Object[][] failures() {
        String list = ok("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + ENDPOINT + "]}");
        String half = list.substring(0, list.length() - 9);
        return new Object[][] {
            {"rejected", respond("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")},
            {
                "rejected, with a body that never ends",
                respond("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\nno")
            },
            {"truncated list", respond(ok("{\"index\":4,\"snapshot\":true,\"endp"))},
            {"response stalls in the middle", respond(half)},
            {
                "connection closed in the middle of the response",
                (Reaction) connection -> connection.write(half).onComplete(written -> connection.close())
            },
            {"connection closed before the response", (Reaction) NetSocket::close},
            {"no response", (Reaction) connection -> {}},
        };
    }

    /**
     * The waits have grown to an hour, but the time between two calls is bounded. The list must be received after
     * several failures of each kind, and so must the response of the watch that follows it.
     */
    @Test(dataProvider = "failures")
    public void callsAgainWithinBoundAfterFailure(String kind, Reaction failure) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        int port = vertx.createNetServer()
                .connectHandler(connection -> connection.handler(call -> {
                    int number = calls.incrementAndGet();
                    if (number == FAILURES + 1) {
                        connection.write(ok("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + ENDPOINT + "]}"));
                    } else if (number == 2 * FAILURES + 2) {
                        connection.write(ok("{\"index\":5,\"snapshot\":false,\"endpoints\":["
                                + ENDPOINT.replace("\"up\"", "\"draining\"") + "]}"));
                    } else {
                        failure.apply(connection);
                    }
                }))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS)
                .actualPort();
        CompletableFuture<Backend> drained = new CompletableFuture<>();
        startClient(port, (isComplete, backends, discoveryNowMs) -> backends.stream()
                .filter(backend -> backend.endpoint().state() == EndpointState.DRAINING)
                .forEach(drained::complete));
        assertEquals(drained.get(20, TimeUnit.SECONDS).name(), "s-1", kind);
    }

    /** Nothing listens at the address of discovery. */
    @Test
    public void callsAgainWithinBoundWhenConnectionsAreRefused() throws Exception {
        CountDownLatch failed = new CountDownLatch(FAILURES);
        int port;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }
        startClient(port, new DiscoveryClient.Listener() {
            @Override
            public void endpointsReceived(boolean isComplete, List<Backend> backends, double discoveryNowMs) {}

            @Override
            public void callFailed(boolean isInvalid) {
                failed.countDown();
            }
        });
        assertTrue(failed.await(20, TimeUnit.SECONDS), failed.getCount() + " more failed calls expected");
    }

    private void startClient(int port, DiscoveryClient.Listener listener) {
        double hourMs = TimeUnit.HOURS.toMillis(1);
        Backoff hourlyBackoff = new Backoff(hourMs, hourMs, new SplittableRandom(1));
        PollSchedule schedule = new PollSchedule(20, 150, 0, hourlyBackoff, 250, Long.MAX_VALUE, Long.MAX_VALUE);
        vertx.runOnContext(
                start -> new DiscoveryClient(vertx, new HostAndPort("127.0.0.1", port), schedule, listener).start());
    }
}
