package opalcove.discovery;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import opalcove.TestSettings;
import opalcove.config.HostAndPort;
import opalcove.decision.DecisionSettings;
import org.testng.annotations.Test;

/** Tests the exact bytes of the requests to discovery, for a pushed list and for a polled one. */
public class DiscoveryRequestsTest {
    private static final int TIMEOUT_SECONDS = 20;
    private static final String LIST = "{\"index\":41,\"snapshot\":true,\"endpoints\":[]}";
    private static final long NO_VERSION = -1;

    @Test
    public void requestsCompleteListThenWatchWhenListIsPushed() throws Exception {
        assertEquals(
                requests(TestSettings.settings(), NO_VERSION, false),
                List.of(
                        "GET /v1/endpoints HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n\r\n",
                        "GET /v1/endpoints?since=41&timeout_ms=250 HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n\r\n"));
    }

    @Test
    public void watchesFromKnownVersionWhenListIsPolled() throws Exception {
        assertEquals(
                requests(TestSettings.settingsWithPolledList(), 7, false),
                List.of(
                        "GET /v1/endpoints?since=7&timeout_ms=1500 HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n\r\n",
                        "GET /v1/endpoints?since=41&timeout_ms=1500 HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n\r\n"));
    }

    /** Before the client port opens, the request must not wait for changes that discovery does not have yet. */
    @Test
    public void requestsAvailableChangesOnlyWhileFreshListIsAwaited() throws Exception {
        assertEquals(
                requests(TestSettings.settings(), 7, true).get(0),
                "GET /v1/endpoints?since=7&timeout_ms=1 HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n\r\n");
    }

    /**
     * Returns all bytes of the first two requests of a gateway that knows this version, with PORT in place of the port.
     */
    private static List<String> requests(DecisionSettings settings, long knownVersion, boolean freshListOnly)
            throws Exception {
        Vertx vertx = Vertx.vertx();
        try (ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            discovery.setSoTimeout(TIMEOUT_SECONDS * 1000);
            vertx.runOnContext(start -> {
                DiscoveryClient client = new DiscoveryClient(
                        vertx,
                        new HostAndPort("127.0.0.1", discovery.getLocalPort()),
                        settings,
                        new SplittableRandom(1),
                        (isComplete, backends, discoveryNowMs) -> {});
                if (freshListOnly) {
                    client.whenReady(true);
                }
                client.startFrom(knownVersion);
            });
            try (Socket connection = discovery.accept()) {
                connection.setSoTimeout(TIMEOUT_SECONDS * 1000);
                String firstRequest = readHead(connection);
                String response = "HTTP/1.1 200 OK\r\nContent-Length: " + LIST.length() + "\r\n\r\n" + LIST;
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                String port = ":" + discovery.getLocalPort() + "\r\n";
                return List.of(
                        firstRequest.replace(port, ":PORT\r\n"),
                        readHead(connection).replace(port, ":PORT\r\n"));
            }
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static String readHead(Socket connection) throws Exception {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = connection.getInputStream().read();
            if (next < 0) {
                throw new java.io.EOFException("the connection ended after " + head);
            }
            head.append((char) next);
        }
        return head.toString();
    }
}
