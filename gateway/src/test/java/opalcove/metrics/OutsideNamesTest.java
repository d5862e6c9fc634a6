package opalcove.metrics;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import opalcove.TestSettings;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.core.NoOpBackendTransport;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the keys of INFO and STATS and their order. Dashboards and alerts read them, so renames in the code must not
 * change them.
 */
public class OutsideNamesTest {
    private static final String INFO_OF_NEW_PROCESS =
            """
            taken=0
            joined=0
            attempts=0
            attempts_served=0
            attempts_error=0
            attempts_turned_away=0
            attempts_timed_out=0
            attempts_unreachable=0
            attempts_broken=0
            attempts_cancelled=0
            attempts_not_sent=0
            given_up=0
            lapsed_while_dialled=0
            probes=0
            served=0
            refused=0
            refused.decided=0
            refused.too_many_open=0
            refused.ending=0
            refused.unread_in_time=0
            refused.no_memory=0
            refused.client_unknown=0
            failed=0
            connections_ended.idle=0
            connections_ended.drained=0
            connections_ended.for_room=0
            connections_ended.stalled=0
            connections_ended.protocol=0
            connections_ended.cut=0
            terminals_left=0
            list_calls_failed=0
            lists_refused=0
            starts_of_other_clocks=0
            connections_closed_for_descriptors=0
            connections_refused_for_descriptors=0
            client_checks_incomplete=0
            reads_paused_for_memory=0
            allocations_failed=0
            stopped_by_guards=0
            ended_by_deadline_guard=0
            rule_stopped.answer_in_time=0
            rule_broken.answer_in_time=0
            rule_stopped.closed_unanswered=0
            rule_broken.closed_unanswered=0
            rule_stopped.client_waits=0
            rule_broken.client_waits=0
            rule_stopped.deadline_passed_on=0
            rule_broken.deadline_passed_on=0
            rule_stopped.listed=0
            rule_broken.listed=0
            rule_stopped.repeat=0
            rule_broken.repeat=0
            rule_stopped.attempts=0
            rule_broken.attempts=0
            rule_stopped.refusal=0
            rule_broken.refusal=0
            asks_open=0
            links_open=0
            links_resting=0
            """;

    private Vertx vertx;
    private RequestDispatcher dispatcher;

    @BeforeMethod
    public void open() throws Exception {
        vertx = Vertx.vertx();
        dispatcher = runOnEventLoop(
                () -> new RequestDispatcher(vertx, new Clock(), TestSettings.settings(), 1, new FailingTransport()));
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    @Test
    public void infoListsTheseKeysInOrder() throws Exception {
        assertEquals(runOnEventLoop(dispatcher::infoLines), INFO_OF_NEW_PROCESS);
    }

    @Test
    public void statsListsTheseKeysInOrder() {
        Metrics metrics = dispatcher.metrics();
        metrics.requestEnded("swap-record", Metrics.RequestOutcome.SUCCESS);
        metrics.requestEnded("swap-record", Metrics.RequestOutcome.BUSY);
        metrics.requestEnded("swap-record", Metrics.RequestOutcome.BUSY);
        metrics.requestEnded("swap-record", Metrics.RequestOutcome.FAILURE);
        metrics.requestEnded("swap-record", Metrics.RequestOutcome.FAILURE);
        metrics.requestEnded("swap-record", Metrics.RequestOutcome.FAILURE);
        metrics.backendCall();
        metrics.backends(3, 2);
        metrics.inFlight(4);
        metrics.reconfigured(true);
        metrics.reconfigured(false);
        metrics.reconfigured(false);
        dispatcher.clientConnectionClosedForDescriptors(false);
        dispatcher.clientConnectionClosedForDescriptors(true);
        dispatcher.clientConnectionClosedForDescriptors(true);
        dispatcher.invariants().violated(Invariant.REPEAT, "id", "a test");
        dispatcher.systemCallFailed(SystemCall.ACCEPT, new IOException("Too many open files"));
        assertEquals(
                metrics.statsdLines(),
                """
                gateway.success.swap-record:1|c
                gateway.busy.swap-record:2|c
                gateway.failure.swap-record:3|c
                gateway.backend_calls:1|c
                gateway.inflight:4|g
                gateway.hosts_listed:3|g
                gateway.hosts_down:2|g
                gateway.reconfig_ok:1|c
                gateway.reconfig_failed:2|c
                gateway.connections_closed_for_descriptors:1|c
                gateway.connections_refused_for_descriptors:2|c
                gateway.rule_stopped.answer_in_time:0|c
                gateway.rule_broken.answer_in_time:0|c
                gateway.rule_stopped.closed_unanswered:0|c
                gateway.rule_broken.closed_unanswered:0|c
                gateway.rule_stopped.client_waits:0|c
                gateway.rule_broken.client_waits:0|c
                gateway.rule_stopped.deadline_passed_on:0|c
                gateway.rule_broken.deadline_passed_on:0|c
                gateway.rule_stopped.listed:0|c
                gateway.rule_broken.listed:0|c
                gateway.rule_stopped.repeat:0|c
                gateway.rule_broken.repeat:1|c
                gateway.rule_stopped.attempts:0|c
                gateway.rule_broken.attempts:0|c
                gateway.rule_stopped.refusal:0|c
                gateway.rule_broken.refusal:0|c
                gateway.syscall_failed.accept.emfile:1|c
                """);
    }

    /** Returns one failure for each reason, in the order of the metrics. */
    private static List<Throwable> failures() {
        return List.of(
                new IOException("Too many open files"),
                new IOException("Too many open files in system"),
                new IOException("No buffer space available"),
                new IOException("Cannot allocate memory"),
                new IOException("Cannot assign requested address"),
                new IOException("Network is unreachable"),
                new IOException("Network is down"),
                new IOException("Resource temporarily unavailable"),
                new IOException("Interrupted system call"),
                new IOException("Software caused connection abort"),
                new ConnectException("no known message"),
                new IOException("Connection reset by peer"),
                new IOException("Connection timed out"),
                new NoRouteToHostException("no known message"),
                new IOException("something else"));
    }

    @Test
    public void countsFailedSystemCallsByCallAndReason() throws Exception {
        failures().forEach(failure -> {
            dispatcher.systemCallFailed(SystemCall.CONNECT, failure);
            dispatcher.systemCallFailed(SystemCall.ACCEPT, failure);
        });
        assertEquals(
                runOnEventLoop(dispatcher::infoLines)
                        .lines()
                        .filter(line -> line.startsWith("syscall_failed"))
                        .toList(),
                """
                syscall_failed.accept.emfile=1
                syscall_failed.accept.enfile=1
                syscall_failed.accept.enobufs=1
                syscall_failed.accept.enomem=1
                syscall_failed.accept.eaddrnotavail=1
                syscall_failed.accept.enetunreach=1
                syscall_failed.accept.enetdown=1
                syscall_failed.accept.eagain=1
                syscall_failed.accept.eintr=1
                syscall_failed.accept.econnaborted=1
                syscall_failed.accept.econnrefused=1
                syscall_failed.accept.econnreset=1
                syscall_failed.accept.etimedout=1
                syscall_failed.accept.ehostunreach=1
                syscall_failed.accept.other=1
                syscall_failed.connect.emfile=1
                syscall_failed.connect.enfile=1
                syscall_failed.connect.enobufs=1
                syscall_failed.connect.enomem=1
                syscall_failed.connect.eaddrnotavail=1
                syscall_failed.connect.enetunreach=1
                syscall_failed.connect.enetdown=1
                syscall_failed.connect.eagain=1
                syscall_failed.connect.eintr=1
                syscall_failed.connect.econnaborted=1
                syscall_failed.connect.econnrefused=1
                syscall_failed.connect.econnreset=1
                syscall_failed.connect.etimedout=1
                syscall_failed.connect.ehostunreach=1
                syscall_failed.connect.other=1
                """
                        .lines()
                        .toList());
        assertEquals(
                dispatcher
                        .metrics()
                        .statsdLines()
                        .lines()
                        .filter(line -> line.startsWith("gateway.syscall_failed"))
                        .limit(2)
                        .toList(),
                List.of("gateway.syscall_failed.accept.emfile:1|c", "gateway.syscall_failed.accept.enfile:1|c"));
    }

    @Test
    public void countsClosedConnectionsByReason() throws Exception {
        List<String> counted = new ArrayList<>();
        for (ConnectionCloseReason reason : ConnectionCloseReason.values()) {
            dispatcher.clientConnectionClosed(reason);
            counted.add(runOnEventLoop(dispatcher::infoLines)
                    .lines()
                    .filter(line -> line.startsWith("connections_ended.") && line.endsWith("=1"))
                    .reduce((previous, last) -> last)
                    .orElseThrow());
        }
        assertEquals(
                counted,
                List.of(
                        "connections_ended.idle=1",
                        "connections_ended.drained=1",
                        "connections_ended.for_room=1",
                        "connections_ended.stalled=1",
                        "connections_ended.protocol=1",
                        "connections_ended.cut=1"));
    }

    private <T> T runOnEventLoop(Supplier<T> work) throws Exception {
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

    private static final class FailingTransport extends NoOpBackendTransport {
        @Override
        public Attempt startAttempt(Backend backend, Request request, double waitMs, AttemptListener ended) {
            throw new AssertionError("this test must not start an attempt");
        }
    }
}
