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

/** An administrator's drain on the client port, by the bytes that a client sends and gets. */
public class ShedClientsTest {
    /** PINGs that may come before the event loop has taken the administrator's word. */
    private static final int MAX_ATTEMPTS = 10_000;

    private static final String PING = "*1\r\n$4\r\nPING\r\n";
    private static final String PARAMETERS = "c=battery-update-ii,t=basis,d=100,units=1,spread=1,first=0";
    /** A request of a class that the settings do not name. */
    private static final String UNKNOWN_CLASS = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000000000a1\r\n$16\r\n"
            + "00000000000000b2\r\n$" + PARAMETERS.length() + "\r\n" + PARAMETERS + "\r\n";

    private Vertx vertx;
    private RequestDispatcher gateway;
    private RespServer front;
    private Lifecycle phases;
    private int port;

    @BeforeMethod
    public void open() throws Exception {
        vertx = Vertx.vertx();
        CompletableFuture<Integer> listening = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            gateway = new RequestDispatcher(vertx, new Clock(), TestSettings.settings(), 1, new NoTransport());
            phases = new Lifecycle();
            phases.enter(Lifecycle.Phase.SERVING);
            front = new RespServer(vertx, gateway, phases, 64);
            front.listen(new HostAndPort("127.0.0.1", 0)).onSuccess(listening::complete);
        });
        port = listening.get(10, TimeUnit.SECONDS);
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    @Test
    public void pingSaysNoAndAConnectionAtRestIsClosedThenUndrainSaysYes() throws Exception {
        try (Socket buffered = connect()) {
            assertEquals(say(buffered, PING, 7), "+PONG\r\n");
            vertx.runOnContext(run -> front.setDrainRequested(true));
            try (Socket other = connect()) {
                untilSays(other, "-ERR draining\r\n", "+PONG\r\n", "the drain never took");
            }
            // The kept connection owes nothing, so the gateway closes it: the client reads its end.
            assertEquals(buffered.getInputStream().read(), -1);
        }
        vertx.runOnContext(run -> front.setDrainRequested(false));
        try (Socket again = connect()) {
            untilSays(again, "+PONG\r\n", "-ERR draining\r\n", "the undrain never took");
        }
    }

    @Test
    public void aRequestOfAnUnknownClassFailsAndCountsInThatClass() throws Exception {
        try (Socket client = connect()) {
            assertEquals(say(client, UNKNOWN_CLASS, 64), "-ERR unknown class\r\n");
        }
        assertTrue(
                gateway.metrics().statsdLines().lines().toList().contains("gateway.failure.battery-update-ii:1|c"),
                gateway.metrics().statsdLines());
    }

    @Test
    public void aRequestUnreadBehindAnErrorIsAnsweredBeforeADrainClosesTheConnection() throws Exception {
        try (Socket client = connect()) {
            assertEquals(say(client, UNKNOWN_CLASS, 64), "-ERR unknown class\r\n");
            // The error pauses the connection's reads: this PING lies unread when the drain looks at the connection.
            client.getOutputStream().write(PING.getBytes(StandardCharsets.US_ASCII));
            client.getOutputStream().flush();
            vertx.runOnContext(run -> {
                phases.enter(Lifecycle.Phase.DRAINING);
                front.drain(() -> {});
            });
            assertEquals(say(client, "", 7), "+PONG\r\n");
            assertEquals(client.getInputStream().read(), -1);
        }
    }

    @Test
    public void halfACommandHoldsTheConnectionThroughADrainUntilItIsComplete() throws Exception {
        try (Socket client = connect()) {
            assertEquals(say(client, PING, 7), "+PONG\r\n");
            client.getOutputStream().write(PING.substring(0, 10).getBytes(StandardCharsets.US_ASCII));
            client.getOutputStream().flush();
            vertx.runOnContext(run -> {
                phases.enter(Lifecycle.Phase.DRAINING);
                front.drain(() -> {});
            });
            assertEquals(say(client, PING.substring(10), 7), "+PONG\r\n");
            assertEquals(client.getInputStream().read(), -1);
        }
    }

    private Socket connect() throws Exception {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(20_000);
        return socket;
    }

    /**
     * PINGs until the answer is the one wanted. The administrator's word reaches the event loop a moment after it was given,
     * so until then the answer may be the one from before, and nothing else.
     */
    private static void untilSays(Socket socket, String wanted, String before, String never) throws Exception {
        String answer = say(socket, PING, 15);
        for (int look = 0; !answer.equals(wanted); look++) {
            assertEquals(answer, before);
            assertTrue(look < MAX_ATTEMPTS, never);
            answer = say(socket, PING, 15);
        }
    }

    private static String say(Socket socket, String command, int length) throws Exception {
        OutputStream out = socket.getOutputStream();
        out.write(command.getBytes(StandardCharsets.US_ASCII));
        out.flush();
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        while (got.size() < length) {
            int b = in.read();
            if (b < 0) {
                break;
            }
            got.write(b);
            if (b == '\n') {
                break;
            }
        }
        return got.toString(StandardCharsets.US_ASCII);
    }

    /** No backend is asked in this test. */
    private static final class NoTransport extends NoOpBackendTransport {
        @Override
        public Attempt startAttempt(Backend backend, Request request, double waitMs, AttemptListener ended) {
            throw new AssertionError("no attempt is made here");
        }
    }
}
