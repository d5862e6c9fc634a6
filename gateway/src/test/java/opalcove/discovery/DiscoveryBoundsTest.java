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

/** How long a change at discovery can stay unknown here: the sums of the waits, and the next call after each failure. */
public class DiscoveryBoundsTest {
    private static final String NODE = "{\"name\":\"s-1\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"type\":\"m\","
            + "\"group\":0,\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}";
    /** More than the connections that the HTTP client has for one address. */
    private static final int FAILURES = 8;
    /** A change counts as told so long after discovery had it and could be reached, ms. */
    private static final double TOLD_AFTER_MS = 6000;
    /** What is left of that for the answer of the next call and for a process on a part of a core, ms. */
    private static final double MARGIN_MS = 1500;
    /** When a service in want of capacity refuses a call that is in line, ms. */
    private static final double LINE_MS = 2000;

    private Vertx vertx;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
    }

    @AfterMethod
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static DecisionSettings asked(int gateways) {
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
        return SettingsReader.checked(JsonFields.parse(json));
    }

    /** The longest times that a call of this pace takes until it has failed, ms: at once, in line, connecting, silent. */
    private static double[] failuresMs(PollSchedule pace) {
        return new double[] {0, Math.min(LINE_MS, pace.silenceMs()), pace.connectMs(), pace.waitMs() + pace.silenceMs()
        };
    }

    private static double wait(PollSchedule pace, double failedAfterMs) {
        return pace.backoff().next(pace.maxBackoffMs((long) failedAfterMs, 0, 0));
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{100}, {570}};
    }

    /** Of a list that is asked for, however often a call has failed before. */
    @Test(dataProvider = "fleets")
    public void aChangeIsAskedForInTimeWhateverFailed(int gateways) {
        for (int seed = 0; seed < 50; seed++) {
            PollSchedule pace = PollSchedule.of(asked(gateways), new SplittableRandom(seed));
            assertTrue(pace.firstAfterMs() <= TOLD_AFTER_MS - MARGIN_MS, "first call after " + pace.firstAfterMs());
            for (double failedAfterMs : failuresMs(pace)) {
                pace.backoff().reset();
                for (int failed = 0; failed < 20; failed++) {
                    double ms = failedAfterMs + wait(pace, failedAfterMs);
                    assertTrue(ms <= TOLD_AFTER_MS - MARGIN_MS, failed + " calls failed, the next after " + ms);
                }
            }
        }
    }

    /** After SIGHUP a change counts 4 s later: the second call at the new address, too, is out by then. */
    @Test(dataProvider = "fleets")
    public void aMovedServiceIsAskedAgainInTime(int gateways) {
        for (int seed = 0; seed < 50; seed++) {
            PollSchedule pace = PollSchedule.of(asked(gateways), new SplittableRandom(seed));
            for (double failedAfterMs : new double[] {0, LINE_MS, pace.connectMs(), pace.silenceMs()}) {
                pace.backoff().reset();
                long since = (long) failedAfterMs;
                long ms = since + pace.backoff().next(pace.maxBackoffMs(since, 1, since));
                assertTrue(ms <= 3200, "the next after " + ms);
            }
            assertEquals(pace.maxBackoffMs(0, 1, 3200), pace.maxPeriodMs());
        }
    }

    /** A service breaks the watches of all gateways in one instant: their next calls come over seconds. */
    @Test(dataProvider = "fleets")
    public void gatewaysWhoseWatchesBreakTogetherComeBackOverSeconds(int gateways) {
        int[] inTenths = new int[60];
        for (int seed = 0; seed < gateways; seed++) {
            PollSchedule pace = PollSchedule.of(asked(gateways), new SplittableRandom(seed));
            inTenths[(int) wait(pace, 0) / 100]++;
        }
        int most = IntStream.of(inTenths).max().orElseThrow();
        assertTrue(most <= gateways / 5, most + " of " + gateways + " in a tenth of a second");
    }

    /** The bound does not have a fleet come back as one: after each kind of failure its next calls are spread. */
    @Test(dataProvider = "fleets")
    public void gatewaysThatFailedTogetherDoNotComeBackTogether(int gateways) {
        PollSchedule first = PollSchedule.of(asked(gateways), new SplittableRandom(0));
        for (double failedAfterMs : failuresMs(first)) {
            Set<Double> waits = new HashSet<>();
            double mean = 0;
            for (int seed = 0; seed < gateways; seed++) {
                PollSchedule pace = PollSchedule.of(asked(gateways), new SplittableRandom(seed));
                for (int failed = 0; failed < 6; failed++) {
                    wait(pace, failedAfterMs);
                }
                double wait = wait(pace, failedAfterMs);
                mean += wait / gateways;
                waits.add(wait);
            }
            // Each gateway calls less than once in 2.5 s, at times drawn from at least a third of a second.
            assertTrue(failedAfterMs + mean > 2500, failedAfterMs + " and " + mean);
            assertTrue(waits.size() >= Math.min(gateways, 333) / 2, waits.size() + " of " + gateways);
        }
    }

    @DataProvider
    public Object[][] graces() {
        return new Object[][] {{500}, {1000}, {1500}};
    }

    /** Of a pushed list: a silent agent returns with a drain, and a fifth of the grace is left for sends to end. */
    @Test(dataProvider = "graces")
    public void aPushedChangeIsAskedForWithinTheGrace(int graceMs) {
        for (int seed = 0; seed < 50; seed++) {
            PollSchedule pace = PollSchedule.of(pushed(graceMs), new SplittableRandom(seed));
            for (double failedAfterMs : failuresMs(pace)) {
                for (int failed = 0; failed < 20; failed++) {
                    assertTrue(failedAfterMs + wait(pace, failedAfterMs) <= 0.8 * graceMs, failedAfterMs + "");
                }
            }
            assertTrue(pace.freshMs() <= 0.3 * graceMs && pace.lateMs() <= 0.4 * graceMs, pace + "");
        }
    }

    /** Where the settings name no grace there is one; a grace that is next to none still leaves times to wait. */
    @Test
    public void aGraceIsNeverNone() {
        assertEquals(settings().obligations().drainGraceMs(), DecisionSettings.Obligations.DEFAULT_DRAIN_GRACE_MS);
        PollSchedule pace = PollSchedule.of(pushed(0), new SplittableRandom(1));
        assertTrue(pace.waitMs() > 0 && pace.silenceMs() > 0 && pace.backoff().next(1) == 1, pace + "");
    }

    /** What discovery does with a call. */
    private interface Deed {
        void to(NetSocket line);
    }

    private static Deed says(String bytes) {
        return line -> line.write(bytes);
    }

    private static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @DataProvider
    public Object[][] failures() {
        String list = ok("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}");
        String half = list.substring(0, list.length() - 9);
        return new Object[][] {
            {"refused", says("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")},
            {"refused, its body never ends", says("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\nno")},
            {"torn", says(ok("{\"index\":4,\"snapshot\":true,\"endp"))},
            {"stalled in the middle", says(half)},
            {"broken in the middle", (Deed) line -> line.write(half).onComplete(written -> line.close())},
            {"broken before", (Deed) NetSocket::close},
            {"silent", (Deed) line -> {}},
        };
    }

    /**
     * The waits have grown to an hour, but the time between two calls has a bound: the list is heard after any number of
     * failures of a kind, and so is what the watch after it brings.
     */
    @Test(dataProvider = "failures")
    public void theNextCallIsMadeInTime(String kind, Deed failure) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        int port = vertx.createNetServer()
                .connectHandler(line -> line.handler(call -> {
                    int number = calls.incrementAndGet();
                    if (number == FAILURES + 1) {
                        line.write(ok("{\"index\":4,\"snapshot\":true,\"endpoints\":[" + NODE + "]}"));
                    } else if (number == 2 * FAILURES + 2) {
                        line.write(ok("{\"index\":5,\"snapshot\":false,\"endpoints\":["
                                + NODE.replace("\"up\"", "\"draining\"") + "]}"));
                    } else {
                        failure.to(line);
                    }
                }))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS)
                .actualPort();
        CompletableFuture<Backend> drained = new CompletableFuture<>();
        follow(port, (whole, lines, discoveryNow) -> lines.stream()
                .filter(line -> line.host().state() == EndpointState.DRAINING)
                .forEach(drained::complete));
        assertEquals(drained.get(20, TimeUnit.SECONDS).name(), "s-1", kind);
    }

    /** Nobody listens there. */
    @Test
    public void theNextCallIsMadeInTimeWhereConnectionsAreRefused() throws Exception {
        CountDownLatch failed = new CountDownLatch(FAILURES);
        int port;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }
        follow(port, new DiscoveryClient.Listener() {
            @Override
            public void endpointsReceived(boolean whole, List<Backend> lines, double discoveryNow) {}

            @Override
            public void callFailed(boolean refused) {
                failed.countDown();
            }
        });
        assertTrue(failed.await(20, TimeUnit.SECONDS), failed.getCount() + " failures did not come");
    }

    private void follow(int port, DiscoveryClient.Listener listener) {
        double hourMs = TimeUnit.HOURS.toMillis(1);
        Backoff grown = new Backoff(hourMs, hourMs, new SplittableRandom(1));
        PollSchedule pace = new PollSchedule(20, 150, 0, grown, 250, Long.MAX_VALUE, Long.MAX_VALUE);
        vertx.runOnContext(
                start -> new DiscoveryClient(vertx, new HostAndPort("127.0.0.1", port), pace, listener).start());
    }
}
