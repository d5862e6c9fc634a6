package opalcove.platform;

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
import opalcove.Facts;
import opalcove.gateway.AppNode;
import opalcove.gateway.Ask;
import opalcove.gateway.Clock;
import opalcove.gateway.Endpoint;
import opalcove.gateway.Gateway;
import opalcove.gateway.NodeLinks;
import opalcove.gateway.Phases;
import org.testng.annotations.Test;

/** An operator's drain on the client port, by the bytes that a terminal sends and gets. */
public class SendAwayTest {
    /** PINGs that may come before the event loop has taken the operator's word. */
    private static final int MOST_LOOKS = 10_000;

    @Test
    public void pingSaysNoAndAConnectionAtRestIsClosedThenUndrainSaysYes() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            CompletableFuture<RespFront> made = new CompletableFuture<>();
            vertx.runOnContext(start -> {
                Gateway gateway = new Gateway(vertx, new Clock(), Facts.settings(), 1, new NoLinks());
                Phases phases = new Phases();
                phases.enter(Phases.Phase.SERVING);
                made.complete(new RespFront(vertx, gateway, phases, 64));
            });
            RespFront front = made.get(10, TimeUnit.SECONDS);
            CompletableFuture<Integer> port = new CompletableFuture<>();
            vertx.runOnContext(open -> front.listen(new Endpoint("127.0.0.1", 0)).onSuccess(port::complete));
            int at = port.get(10, TimeUnit.SECONDS);
            String ping = "*1\r\n$4\r\nPING\r\n";
            try (Socket kept = new Socket("127.0.0.1", at)) {
                kept.setSoTimeout(20_000);
                assertEquals(say(kept, ping, 7), "+PONG\r\n");
                vertx.runOnContext(told -> front.sendAway(true));
                try (Socket other = new Socket("127.0.0.1", at)) {
                    other.setSoTimeout(20_000);
                    String answer = say(other, ping, 15);
                    // The drain may come a moment after this connection's PING; then it says yes once more.
                    for (int look = 0; !answer.equals("-ERR draining\r\n"); look++) {
                        assertEquals(answer, "+PONG\r\n");
                        assertTrue(look < MOST_LOOKS, "the drain never took");
                        answer = say(other, ping, 15);
                    }
                }
                // The kept connection owes nothing, so the gateway closes it: the terminal reads its end.
                assertEquals(kept.getInputStream().read(), -1);
            }
            vertx.runOnContext(told -> front.sendAway(false));
            try (Socket again = new Socket("127.0.0.1", at)) {
                again.setSoTimeout(20_000);
                String answer = say(again, ping, 7);
                // The undrain may come a moment after this connection; then PING says no once more, and again later.
                for (int look = 0; !answer.equals("+PONG\r\n"); look++) {
                    assertEquals(answer, "-ERR draining\r\n");
                    assertTrue(look < MOST_LOOKS, "the undrain never took");
                    answer = say(again, ping, 7);
                }
            }
        } finally {
            vertx.close();
        }
    }

    @Test
    public void aRequestOfAnUnknownClassFailsAndCountsInThatClass() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            CompletableFuture<Gateway> made = new CompletableFuture<>();
            CompletableFuture<Integer> port = new CompletableFuture<>();
            vertx.runOnContext(start -> {
                Gateway gateway = new Gateway(vertx, new Clock(), Facts.settings(), 1, new NoLinks());
                Phases phases = new Phases();
                phases.enter(Phases.Phase.SERVING);
                new RespFront(vertx, gateway, phases, 64).listen(new Endpoint("127.0.0.1", 0))
                        .onSuccess(port::complete);
                made.complete(gateway);
            });
            Gateway gateway = made.get(10, TimeUnit.SECONDS);
            String marks = "c=battery-update-ii,t=basis,d=100,units=1,spread=1,first=0";
            String query = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000000000a1\r\n$16\r\n00000000000000b2\r\n$"
                    + marks.length() + "\r\n" + marks + "\r\n";
            try (Socket terminal = new Socket("127.0.0.1", port.get(10, TimeUnit.SECONDS))) {
                terminal.setSoTimeout(20_000);
                assertEquals(say(terminal, query, 64), "-ERR unknown class\r\n");
            }
            assertTrue(gateway.metrics().lines().lines().toList()
                    .contains("gateway.failure.battery-update-ii:1|c"), gateway.metrics().lines());
        } finally {
            vertx.close();
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

    /** No app node is asked in this test. */
    private static final class NoLinks implements NodeLinks {
        @Override
        public Attempt attempt(AppNode node, Ask ask, double waitMs, Ended ended) {
            throw new AssertionError("no attempt is made here");
        }

        @Override
        public void forget(AppNode node) { }

        @Override
        public int open() {
            return 0;
        }

        @Override
        public int resting() {
            return 0;
        }
    }
}
