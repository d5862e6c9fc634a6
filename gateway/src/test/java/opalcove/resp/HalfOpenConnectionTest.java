package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import opalcove.decision.EndpointState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks what happens to responses that a client still reads when the gateway closes its connection. */
public class HalfOpenConnectionTest {
    /** More than the client's kernel takes before the client reads, and less than the gateway's kernel takes. */
    private static final int VALUE_BYTES = 60_000;

    private static final int CLIENT_BUFFER_BYTES = 4096;
    private static final int TIMEOUT_MS = 4_000;
    /** Longer than a connection that is closed for another reason stays half open, ms; a longer sleep does no harm. */
    private static final int HALF_OPEN_MS = 800;

    /** Why the gateway closes the connection, and how many bytes its client sends after that. */
    @DataProvider
    public Object[][] closes() {
        return new Object[][] {{false, 0}, {false, 100}, {false, 100_000}, {true, 0}, {true, 100}};
    }

    /** Guards a response that is still being read against the reset that input after a close causes. */
    @Test(dataProvider = "closes")
    public void deliversWholeResponseToSlowClientWhenConnectionIsClosed(boolean isDrained, int laterBytes)
            throws Exception {
        String value = "v".repeat(VALUE_BYTES);
        try (RespTestBed testBed = new RespTestBed()) {
            Socket client = receiveUnread(testBed, value);
            testBed.onLoop(() -> testBed.server.setDrainRequested(isDrained));
            testBed.awaitCounter(isDrained ? "connections_ended.drained" : "connections_ended.idle", 1);
            TimeUnit.MILLISECONDS.sleep(HALF_OPEN_MS);
            RespTestBed.send(client, "x".repeat(laterBytes));
            TimeUnit.MILLISECONDS.sleep(HALF_OPEN_MS);
            assertEquals(RespTestBed.readReply(client), value);
            assertEquals(client.getInputStream().read(), -1);
            client.close();
            awaitNoneHalfOpen(testBed);
        }
    }

    /** Guards the processor against a client that goes on sending on a closed connection. */
    @Test
    public void closesHalfOpenConnectionWhenItsClientContinuesSending() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            Socket client = receiveUnread(testBed, "value");
            testBed.awaitCounter("connections_ended.idle", 1);
            assertEquals(testBed.onLoop(testBed.server::halfOpenCount), (Integer) 1);
            String commands = RespTestBed.PING.repeat(10_000);
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 100; i++) {
                    RespTestBed.send(client, commands);
                }
            });
            awaitNoneHalfOpen(testBed);
        }
    }

    /** Sends a request of a client that does not read the response, and waits until the response is on its way. */
    private static Socket receiveUnread(RespTestBed testBed, String value) throws Exception {
        RespTestBed.FakeBackend backend = testBed.startBackend("n1");
        testBed.setEndpoints(backend.withState(EndpointState.UP));
        Socket client = testBed.connectClient(CLIENT_BUFFER_BYTES);
        RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
        RespTestBed.BackendPeer connection = backend.accept();
        connection.readCommand();
        connection.sendValue(value);
        testBed.awaitCounter("attempts_served", 1);
        return client;
    }

    private static void awaitNoneHalfOpen(RespTestBed testBed) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RespTestBed.TIMEOUT_S);
        while (testBed.onLoop(testBed.server::halfOpenCount) != 0) {
            assertTrue(System.nanoTime() < end, "the connection is still half open");
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }
}
