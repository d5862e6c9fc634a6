package opalcove.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import opalcove.TestSettings;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that a restarted or new backend is in slow start from when its start was reported, whatever the offset between
 * the clocks of this machine and of discovery.
 */
public class ClockSkewTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double LONG_AGO_MS = 10 * HOUR_MS;

    private Vertx vertx;
    private RequestDispatcher gateway;

    @BeforeMethod
    public void open() throws Exception {
        vertx = Vertx.vertx();
        gateway = onLoop(
                () -> new RequestDispatcher(vertx, new Clock(), TestSettings.settings(), 1, new FailingTransport()));
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    @DataProvider
    public Object[][] offsets() {
        return new Object[][] {{0.0}, {-HOUR_MS}, {HOUR_MS}, {-30_000.0}, {30_000.0}};
    }

    /** The offset is that of discovery's clock from this machine's, ms. */
    @Test(dataProvider = "offsets")
    public void startsSlowStartWhenRestartIsReported(double offsetMs) throws Exception {
        double discoveryNowMs = System.currentTimeMillis() + offsetMs;
        update(backend("a", discoveryNowMs - LONG_AGO_MS), backend("b", discoveryNowMs - LONG_AGO_MS));
        assertEquals(share("a"), 1.0);
        assertEquals(share("b"), 1.0);
        update(backend("a", discoveryNowMs - LONG_AGO_MS), backend("b", discoveryNowMs));
        assertEquals(share("a"), 1.0);
        double initialShare = TestSettings.settings().obligations().initialShare();
        assertTrue(share("b") > 0 && share("b") < 1.5 * initialShare, "b has a share of " + share("b"));
    }

    @Test(dataProvider = "offsets")
    public void startsSlowStartWhenNewBackendIsReported(double offsetMs) throws Exception {
        double discoveryNowMs = System.currentTimeMillis() + offsetMs;
        update(backend("a", discoveryNowMs - LONG_AGO_MS));
        update(backend("a", discoveryNowMs - LONG_AGO_MS), backend("b", discoveryNowMs));
        double initialShare = TestSettings.settings().obligations().initialShare();
        assertTrue(share("b") > 0 && share("b") < 1.5 * initialShare, "b has a share of " + share("b"));
    }

    @Test
    public void treatsEarlierStartTimeAsRestart() throws Exception {
        double nowMs = System.currentTimeMillis();
        update(backend("a", nowMs - HOUR_MS));
        update(backend("a", nowMs - 2 * HOUR_MS));
        assertTrue(share("a") < 0.5, "a has a share of " + share("a"));
    }

    @Test
    public void preservesSlowStartProgressWhenSameListIsReceivedAgain() throws Exception {
        double nowMs = System.currentTimeMillis();
        update(backend("a", nowMs - LONG_AGO_MS), backend("b", nowMs + HOUR_MS));
        double shareBefore = share("b");
        update(backend("a", nowMs - LONG_AGO_MS), backend("b", nowMs + HOUR_MS));
        assertEquals(share("a"), 1.0);
        assertTrue(share("b") >= shareBefore, "slow start does not begin again");
    }

    @Test
    public void comparesFirstListWithLatestStartWhenDiscoveryClockIsAhead() throws Exception {
        double discoveryNowMs = System.currentTimeMillis() + HOUR_MS;
        update(
                backend("old", discoveryNowMs - LONG_AGO_MS),
                backend("older", discoveryNowMs - HOUR_MS / 2),
                backend("new", discoveryNowMs));
        assertEquals(share("old"), 1.0);
        assertEquals(share("older"), 1.0, "the backend started half an hour before the latest start");
        assertTrue(share("new") < 0.5, "the backend with the latest start has a share of " + share("new"));
    }

    private void update(Backend... backends) throws Exception {
        onLoop(() -> {
            gateway.endpointsChanged(true, List.of(backends));
            return null;
        });
    }

    private static Backend backend(String name, double startedMs) {
        return new Backend(new Endpoint(name, "room-a", "app", 0, EndpointState.UP, 1, startedMs), "127.0.0.1:1");
    }

    private double share(String name) throws Exception {
        return onLoop(() -> gateway.capacityShares().stream()
                .filter(share -> share.backend().equals(name))
                .findFirst()
                .orElseThrow()
                .share());
    }

    private <T> T onLoop(Supplier<T> work) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        vertx.runOnContext(run -> {
            try {
                done.complete(work.get());
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(20, TimeUnit.SECONDS);
    }

    /** Fails the test if an attempt is made. */
    private static final class FailingTransport extends NoOpBackendTransport {
        @Override
        public Attempt startAttempt(Backend backend, Request request, double timeoutMs, AttemptListener listener) {
            throw new AssertionError("no attempt is made here");
        }
    }
}
