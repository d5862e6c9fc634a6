package opalcove.admin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import opalcove.config.HostAndPort;
import opalcove.metrics.Metrics;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests the admin console by the bytes that are sent to it and received from it. */
public class AdminServerTest {
    private final Metrics metrics = new Metrics();
    private final List<Boolean> drainRequests = new ArrayList<>();
    private volatile String notReady = "starting";
    private Vertx vertx;
    private int port;

    @BeforeClass
    public void open() throws Exception {
        vertx = Vertx.vertx();
        AdminServer server = new AdminServer(vertx, new AdminTarget() {
            @Override
            public String notReady() {
                return notReady;
            }

            @Override
            public String metrics() {
                return metrics.statsdLines();
            }

            @Override
            public void setDrainRequested(boolean requested) {
                synchronized (drainRequests) {
                    drainRequests.add(requested);
                }
            }
        });
        port = server.listen(new HostAndPort("127.0.0.1", 0))
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    @AfterClass
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @Test
    public void readyReportsReasonUntilGatewayIsReady() throws Exception {
        notReady = "starting";
        assertEquals(exchange("READY\n"), "-ERR not ready: starting\n");
        notReady = null;
        assertEquals(exchange("READY\r\n"), "+OK ready\n");
    }

    @Test
    public void statsListsMetricsInStatsdFormatAndEndsWithDot() throws Exception {
        Metrics.RequestOutcome success = Metrics.RequestOutcome.SUCCESS;
        metrics.requestEnded("slot-status", success);
        metrics.requestEnded("slot-status", success);
        metrics.requestEnded("slot-status", Metrics.RequestOutcome.BUSY);
        metrics.backendCall();
        metrics.inFlight(14);
        metrics.backends(5, 1);
        metrics.reconfigured(false);
        String response = exchange("STATS\n");
        assertTrue(response.startsWith("+OK\n"), response);
        assertTrue(response.endsWith("\n.\n"), response);
        List<String> lines = response.lines().toList();
        assertTrue(lines.contains("gateway.success.slot-status:2|c"), response);
        assertTrue(lines.contains("gateway.busy.slot-status:1|c"), response);
        assertTrue(lines.contains("gateway.failure.slot-status:0|c"), response);
        assertTrue(lines.contains("gateway.backend_calls:1|c"), response);
        assertTrue(lines.contains("gateway.inflight:14|g"), response);
        assertTrue(lines.contains("gateway.hosts_listed:5|g"), response);
        assertTrue(lines.contains("gateway.hosts_down:1|g"), response);
        assertTrue(lines.contains("gateway.reconfig_ok:0|c"), response);
        assertTrue(lines.contains("gateway.reconfig_failed:1|c"), response);
    }

    @Test
    public void countsOutcomesByClassUpToLimitOfClasses() {
        Metrics metrics = new Metrics();
        metrics.requestEnded("battery-update-ii", Metrics.RequestOutcome.FAILURE);
        metrics.requestEnded("bad|name", Metrics.RequestOutcome.FAILURE);
        for (int i = 0; i < 100; i++) {
            metrics.requestEnded("made-up-" + i, Metrics.RequestOutcome.FAILURE);
        }
        List<String> lines = metrics.statsdLines().lines().toList();
        assertTrue(lines.contains("gateway.failure.battery-update-ii:1|c"), lines.toString());
        assertTrue(lines.stream().noneMatch(line -> line.contains("bad|name")), lines.toString());
        assertTrue(
                lines.stream()
                                .filter(line -> line.startsWith("gateway.failure."))
                                .count()
                        <= 64,
                lines.toString());
    }

    @Test
    public void forwardsDrainAndUndrainToGateway() throws Exception {
        assertEquals(exchange("DRAIN\n"), "+OK draining\n");
        assertEquals(exchange("undrain\n"), "+OK taking clients\n");
        synchronized (drainRequests) {
            assertEquals(drainRequests.subList(drainRequests.size() - 2, drainRequests.size()), List.of(true, false));
        }
    }

    @Test
    public void rejectsUnknownOrOverlongCommand() throws Exception {
        assertEquals(exchange("REBOOT\n"), "-ERR unknown call 'REBOOT'; calls are READY, STATS, DRAIN and UNDRAIN\n");
        assertTrue(exchange("X".repeat(300) + "\n").startsWith("-ERR a call is one line"));
    }

    @Test
    public void respondsWhileAnotherConnectionIsIdle() throws Exception {
        try (Socket idle = new Socket("127.0.0.1", port)) {
            idle.getOutputStream().write("REA".getBytes(StandardCharsets.US_ASCII));
            notReady = null;
            assertEquals(exchange("READY\n"), "+OK ready\n");
        }
    }

    /** Sends the bytes on a new connection and reads all until the admin server closes it. */
    private String exchange(String command) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            OutputStream out = socket.getOutputStream();
            out.write(command.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            in.transferTo(received);
            return received.toString(StandardCharsets.US_ASCII);
        }
    }
}
