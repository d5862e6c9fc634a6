package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import opalcove.decision.EndpointState;
import org.testng.annotations.Test;

/** A server that has no room for another connection: which of them are closed, and that they are counted. */
public class FullServerTest {
    /** As many as the stage's server takes. */
    private static final int MAX = 64;

    private static final String CLOSED = "connections_closed_for_descriptors";
    private static final String REFUSED = "connections_refused_for_descriptors";
    /** Half a command, of which a byte follows for each of the other connections. */
    private static final String HALF = "*2\r\n$4\r\nPING\r\n$" + MAX + "\r\n";

    /** A receive buffer that holds a few answers, bytes; and far more answers than that and the gateway's kernel takes. */
    private static final int MIN_BUFFER_BYTES = 1024;

    private static final int UNREAD_ANSWERS = 8000;

    /** Longer than any machine takes for the test, so that no request ends before it is answered, ms. */
    private static final int DEADLINE_MS = 60_000;

    /** Closed are those that carry nothing, the longest at rest first; one with an open request gets its answer. */
    @Test
    public void idleConnectionsGiveWayAndOneWithAnOpenRequestStays() throws Exception {
        try (RespTestBed stage = stage()) {
            RespTestBed.Node backend = stage.backend("h1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            Socket busy = stage.client();
            RespTestBed.say(busy, RespTestBed.query(1, DEADLINE_MS));
            RespTestBed.BackendPeer line = backend.withCommand();
            Socket idle = answered(stage);
            for (int i = 0; i < MAX; i++) {
                answered(stage);
            }
            assertEquals(idle.getInputStream().read(), -1);
            assertTrue(stage.figure(CLOSED) > 0);
            assertEquals(stage.figure(REFUSED), 0);
            assertTrue(stage.gateway
                    .metrics()
                    .statsdLines()
                    .contains("gateway." + CLOSED + ":" + stage.figure(CLOSED) + "|c"));
            line.serve("value");
            assertEquals(RespTestBed.answer(busy), "value");
        }
    }

    /** Where all carry a request the new connection is closed unread. */
    @Test
    public void aNewConnectionIsRefusedWhereAllAreInUse() throws Exception {
        try (RespTestBed stage = stage()) {
            RespTestBed.Node backend = stage.backend("h1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            List<Socket> busy = new ArrayList<>();
            for (int i = 0; i < MAX; i++) {
                busy.add(stage.client());
                RespTestBed.say(busy.get(i), RespTestBed.query(i, DEADLINE_MS));
            }
            stage.until("asks_open", MAX);
            assertEquals(stage.client().getInputStream().read(), -1);
            assertEquals(stage.figure(REFUSED), 1);
            assertEquals(stage.figure(CLOSED), 0);
        }
    }

    /** One that has sent half a command is passed over, and does not keep the others from being looked at. */
    @Test
    public void aConnectionWithHalfACommandDoesNotHideThoseAtRest() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            Socket half = stage.client();
            RespTestBed.say(half, HALF);
            Socket idle = answered(stage);
            List<Socket> others = new ArrayList<>();
            for (int i = 0; i < MAX - 1; i++) {
                others.add(stage.client());
                RespTestBed.say(half, "x");
            }
            assertEquals(RespTestBed.answer(said(others.get(MAX - 2))), "+PONG");
            assertEquals(idle.getInputStream().read(), -1);
            assertEquals(stage.figure(REFUSED), 0);
            RespTestBed.say(half, "x\r\n");
            assertEquals(RespTestBed.answer(half), "x".repeat(MAX));
        }
    }

    /** Connections whose clients read nothing are not kept half open beyond the limit on those. */
    @Test
    public void clientsThatReadNothingHoldNoMoreThanTheHalfOpenShare() throws Exception {
        int maxHalfOpen = MAX / 8;
        List<Socket> silent = new ArrayList<>();
        try (RespTestBed stage = stage()) {
            int port = stage.client().getPort();
            for (int i = 0; i < maxHalfOpen + 4; i++) {
                Socket client = new Socket();
                silent.add(client);
                client.setReceiveBufferSize(MIN_BUFFER_BYTES);
                client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                RespTestBed.say(client, RespTestBed.words("INFO").repeat(UNREAD_ANSWERS));
            }
            until(() -> stage.front.openCount() == silent.size() + 1, stage);
            stage.onLoop(() -> stage.front.setDrainRequested(true));
            until(() -> stage.front.openCount() == 0, stage);
            until(() -> stage.front.halfOpenCount() <= maxHalfOpen, stage);
        } finally {
            for (Socket each : silent) {
                each.close();
            }
        }
    }

    private static void until(BooleanSupplier reached, RespTestBed stage) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RespTestBed.TIMEOUT_S);
        while (!stage.onLoop(reached::getAsBoolean)) {
            assertTrue(
                    System.nanoTime() < end,
                    stage.front.openCount() + " open, " + stage.front.halfOpenCount() + " half open");
            Thread.sleep(5);
        }
    }

    private static RespTestBed stage() throws Exception {
        return new RespTestBed("\"deadline_ms\":4000", "\"deadline_ms\":" + DEADLINE_MS);
    }

    private static Socket answered(RespTestBed stage) throws Exception {
        Socket client = said(stage.client());
        assertEquals(RespTestBed.answer(client), "+PONG");
        return client;
    }

    private static Socket said(Socket client) throws Exception {
        RespTestBed.say(client, RespTestBed.PING);
        return client;
    }
}
