package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import opalcove.decision.EndpointState;
import org.testng.annotations.Test;

/** Checks that a client that stops in the middle of a request soon gets an error, or its connection closed. */
public class StalledClientTest {
    private static final int STALLED_MS = 3500;

    @Test
    public void closesConnectionWhenCommandStallsAfterResponse() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.PING + RespTestBed.PING.substring(0, 8));
            assertEquals(RespTestBed.readReply(client), "+PONG");
            assertEquals(client.getInputStream().read(), -1);
            assertEquals(testBed.counter("connections_ended.stalled"), 1);
        }
    }

    @Test
    public void closesConnectionAfterResponseWhenNextCommandStalls() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(
                    client,
                    RespTestBed.submit(1, 7000, "key")
                            + RespTestBed.query(2, 4000).substring(0, 40));
            RespTestBed.BackendPeer connection = backend.nextConnectionWithCommand();
            connection.readCommand();
            // Well past the time for which half a command may make no progress, and before the request's deadline.
            TimeUnit.MILLISECONDS.sleep(STALLED_MS);
            connection.sendValue("first");
            assertEquals(RespTestBed.readReply(client), "first");
            // The error and the end of the connection, or only its end on a machine so slow that the response was
            // first.
            String rest = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(rest.isEmpty() || rest.equals("-ERR Protocol error: half a command\r\n"), rest);
            assertEquals(testBed.counter("connections_ended.stalled"), 1);
        }
    }
}
