package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import opalcove.TestSettings;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.core.NoOpBackendTransport;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.lifecycle.Lifecycle;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks how the client port behaves during a drain, by the bytes that a client sends and receives. */
public class AdminDrainTest {
    /** The maximum number of PINGs sent before the event loop has processed the administrator's request. */
    private static final int MAX_PINGS = 10_000;

    private static final String PING = "*1\r\n$4\r\nPING\r\n";
    private static final String PARAMETERS = "c=battery-update-ii,t=basis,d=100,units=1,spread=1,first=0";
    /** A request of a class that is not in the settings. */
    private static final String UNKNOWN_CLASS = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000000000a1\r\n$16\r\n"
            + "00000000000000b2\r\n$" + PARAMETERS.length() + "\r\n" + PARAMETERS + "\r\n";

    private Vertx vertx;
    private RequestDispatcher dispatcher;
    private RespServer server;
    private Lifecycle lifecycle;
    private int port;

    @BeforeMethod
    public void open() throws Exception {
        vertx = Vertx.vertx();
        CompletableFuture<Integer> listening = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            dispatcher = new RequestDispatcher(vertx, new Clock(), TestSettings.settings(), 1, new NoTransport());
            lifecycle = new Lifecycle();
            lifecycle.enter(Lifecycle.Phase.SERVING);
            server = new RespServer(vertx, dispatcher, lifecycle, 64);
            server.listen(new HostAndPort("127.0.0.1", 0)).onSuccess(listening::complete);
        });
        port = listening.get(10, TimeUnit.SECONDS);
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    @Test
    public void rejectsPingAndClosesIdleConnectionsUntilDrainEnds() throws Exception {
        try (Socket idle = connect()) {
            assertEquals(exchange(idle, PING, 7), "+PONG\r\n");
            vertx.runOnContext(run -> server.setDrainRequested(true));
            try (Socket other = connect()) {
                pingUntilReply(other, "-ERR draining\r\n", "+PONG\r\n", "the drain never took effect");
            }
            // No response is due on the idle connection, so the gateway closes it: the client reads its end.
            assertEquals(idle.getInputStream().read(), -1);
        }
        vertx.runOnContext(run -> server.setDrainRequested(false));
        try (Socket again = connect()) {
            pingUntilReply(again, "+PONG\r\n", "-ERR draining\r\n", "the end of the drain never took effect");
        }
    }

    @Test
    public void rejectsRequestOfUnknownClassAndCountsFailureInThatClass() throws Exception {
        try (Socket client = connect()) {
            assertEquals(exchange(client, UNKNOWN_CLASS, 64), "-ERR unknown class\r\n");
        }
        assertTrue(
                dispatcher.metrics().statsdLines().lines().toList().contains("gateway.failure.battery-update-ii:1|c"),
                dispatcher.metrics().statsdLines());
    }

    @Test
    public void respondsToCommandUnreadBehindErrorBeforeDrainClosesConnection() throws Exception {
        try (Socket client = connect()) {
            assertEquals(exchange(client, UNKNOWN_CLASS, 64), "-ERR unknown class\r\n");
            // The error pauses the connection's reads, so this PING is still unread when the drain examines the
            // connection.
            client.getOutputStream().write(PING.getBytes(StandardCharsets.US_ASCII));
            client.getOutputStream().flush();
            vertx.runOnContext(run -> {
                lifecycle.enter(Lifecycle.Phase.DRAINING);
                server.drain(() -> {});
            });
            assertEquals(exchange(client, "", 7), "+PONG\r\n");
            assertEquals(client.getInputStream().read(), -1);
        }
    }

    @Test
    public void doesNotCloseConnectionDuringDrainUntilHalfReceivedCommandIsComplete() throws Exception {
        try (Socket client = connect()) {
            assertEquals(exchange(client, PING, 7), "+PONG\r\n");
            client.getOutputStream().write(PING.substring(0, 10).getBytes(StandardCharsets.US_ASCII));
            client.getOutputStream().flush();
            vertx.runOnContext(run -> {
                lifecycle.enter(Lifecycle.Phase.DRAINING);
                server.drain(() -> {});
            });
            assertEquals(exchange(client, PING.substring(10), 7), "+PONG\r\n");
            assertEquals(client.getInputStream().read(), -1);
        }
    }

    private Socket connect() throws Exception {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(20_000);
        return socket;
    }

    /**
     * Sends PINGs until the reply is the expected one. The administrator's request reaches the event loop with a delay,
     * so until then the reply may be the previous one, and no other.
     */
    private static void pingUntilReply(Socket socket, String expected, String before, String failureMessage)
            throws Exception {
        String reply = exchange(socket, PING, 15);
        for (int attempt = 0; !reply.equals(expected); attempt++) {
            assertEquals(reply, before);
            assertTrue(attempt < MAX_PINGS, failureMessage);
            reply = exchange(socket, PING, 15);
        }
    }

    private static String exchange(Socket socket, String command, int length) throws Exception {
        OutputStream out = socket.getOutputStream();
        out.write(command.getBytes(StandardCharsets.US_ASCII));
        out.flush();
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        while (received.size() < length) {
            int b = in.read();
            if (b < 0) {
                break;
            }
            received.write(b);
            if (b == '\n') {
                break;
            }
        }
        return received.toString(StandardCharsets.US_ASCII);
    }

    /** Fails the test if an attempt is made: no request of this test reaches a backend. */
    private static final class NoTransport extends NoOpBackendTransport {
        @Override
        public Attempt startAttempt(Backend backend, Request request, double timeoutMs, AttemptListener listener) {
            throw new AssertionError("no attempt is made here");
        }
    }
}
