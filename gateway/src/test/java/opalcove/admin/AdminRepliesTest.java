package opalcove.admin;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import opalcove.TestSettings;
import opalcove.backend.ConnectionPool;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.core.RequestDispatcher;
import opalcove.lifecycle.Application;
import opalcove.lifecycle.Lifecycle;
import opalcove.resp.RespConnector;
import opalcove.resp.RespServer;
import opalcove.server.GatewayStatus;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the exact bytes of each reply of a gateway's admin console. */
public class AdminRepliesTest {
    private static final int TIMEOUT_SECONDS = 20;

    private final GatewayStatus status = new GatewayStatus();
    private final Lifecycle lifecycle = new Lifecycle();
    private Vertx vertx;
    private int port;

    @BeforeMethod
    public void open() throws Exception {
        vertx = Application.createEventLoop();
        port = new AdminServer(vertx, status)
                .listen(new HostAndPort("127.0.0.1", 0))
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterMethod
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Connects a gateway to the admin server, as at the end of a start. */
    private void wireGateway() throws Exception {
        CompletableFuture<Void> wired = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            ConnectionPool connections = new ConnectionPool(
                    vertx, TestSettings.settings(), new RespConnector(vertx, TestSettings.settings()), 64);
            RequestDispatcher dispatcher =
                    new RequestDispatcher(vertx, new Clock(), TestSettings.settings(), 1, connections);
            status.gatewayWired(vertx, dispatcher, new RespServer(vertx, dispatcher, lifecycle, 64), lifecycle);
            wired.complete(null);
        });
        wired.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Tests all phases together, because they can be entered only in order and once each. */
    @Test
    public void repliesToEachCommandInEachPhase() throws Exception {
        assertEquals(exchange("READY"), "-ERR not ready: starting\n");
        assertEquals(exchange("STATS"), "+OK\n.\n");
        assertEquals(exchange("MEMBERS"), "-ERR membership is off\n");
        wireGateway();
        assertEquals(exchange("READY"), "-ERR not ready: starting\n");
        lifecycle.enter(Lifecycle.Phase.SERVING);
        assertEquals(exchange("READY"), "+OK ready\n");
        assertEquals(exchange("  ready \r"), "+OK ready\n");
        assertEquals(exchange("DRAIN"), "+OK draining\n");
        assertEquals(exchange("READY"), "-ERR not ready: clients are sent away\n");
        assertEquals(exchange("UNDRAIN"), "+OK taking clients\n");
        assertEquals(exchange("READY"), "+OK ready\n");
        lifecycle.enter(Lifecycle.Phase.LEAVING);
        assertEquals(exchange("READY"), "-ERR not ready: leaving\n");
        lifecycle.enter(Lifecycle.Phase.DRAINING);
        assertEquals(exchange("READY"), "-ERR not ready: draining\n");
        lifecycle.enter(Lifecycle.Phase.STOPPED);
        assertEquals(exchange("READY"), "-ERR not ready: stopped\n");
        assertEquals(exchange("REBOOT"), "-ERR unknown call 'REBOOT'; calls are READY, STATS, DRAIN and UNDRAIN\n");
        assertEquals(exchange(""), "-ERR unknown call ''; calls are READY, STATS, DRAIN and UNDRAIN\n");
        assertEquals(
                exchange("x".repeat(40)),
                "-ERR unknown call '" + "x".repeat(32) + "...'; calls are READY, STATS, DRAIN and UNDRAIN\n");
        assertEquals(exchange("x".repeat(300)), "-ERR a call is one line of at most 256 bytes\n");
    }

    @Test
    public void statsListsZeroMetricsWhenGatewayIsIdle() throws Exception {
        wireGateway();
        assertEquals(
                exchange("STATS"),
                """
                +OK
                gateway.backend_calls:0|c
                gateway.inflight:0|g
                gateway.hosts_listed:0|g
                gateway.hosts_down:0|g
                gateway.reconfig_ok:0|c
                gateway.reconfig_failed:0|c
                gateway.connections_closed_for_descriptors:0|c
                gateway.connections_refused_for_descriptors:0|c
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
                gateway.rule_broken.repeat:0|c
                gateway.rule_stopped.attempts:0|c
                gateway.rule_broken.attempts:0|c
                gateway.rule_stopped.refusal:0|c
                gateway.rule_broken.refusal:0|c
                .
                """);
    }

    @Test
    public void membersListsMembersWhenMembershipIsOn() throws Exception {
        AdminTarget target = new AdminTarget() {
            @Override
            public String notReady() {
                return null;
            }

            @Override
            public String metrics() {
                return "";
            }

            @Override
            public String members() {
                return "n0 alive\nn1 dead\n";
            }

            @Override
            public void setDrainRequested(boolean requested) {}
        };
        port = new AdminServer(vertx, target)
                .listen(new HostAndPort("127.0.0.1", 0))
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(exchange("members"), "+OK\nn0 alive\nn1 dead\n.\n");
    }

    private String exchange(String command) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
