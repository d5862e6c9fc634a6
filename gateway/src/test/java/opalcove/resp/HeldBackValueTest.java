package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import opalcove.decision.EndpointState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks long values that have requests behind them on their connection: what their backends still send is passed on,
 * neither cut off nor held back, and the requests behind get their responses.
 */
public class HeldBackValueTest {
    private static final int TIMEOUT_MS = 4000;
    private static final int MB = 1_000_000;

    /** The length of the value, the size of its pieces, the pause between two, ms, and its request's timeout, ms. */
    @DataProvider
    public Object[][] slowValues() {
        return new Object[][] {
            {MB, 20_000, 100, TIMEOUT_MS},
            {MB, 20_000, 100, 600},
            {200_000, 20_000, 400, TIMEOUT_MS},
            {70_000, 1_000, 30, TIMEOUT_MS},
            {BufferBudget.MAX_BYTES + MB, 100_000, 20, TIMEOUT_MS},
        };
    }

    /** Guards a value against being cut off at its deadline, or held back until its end, for the request behind it. */
    @Test(dataProvider = "slowValues")
    public void passesOnValueThatItsBackendStillSends(int length, int pieceBytes, int pauseMs, int timeoutMs)
            throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            SlowValue value = new SlowValue(testBed, startBackend(testBed), 1, length, timeoutMs);
            CompletableFuture<Void> backendDone = value.sendInPieces(pieceBytes, pauseMs);
            value.second.sendValue("second");
            value.assertPassedOnWhileSent();
            assertEquals(RespTestBed.readReply(value.client), "second");
            backendDone.get(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    /** Guards values that together exceed the memory for values that are held back against being given up. */
    @Test
    public void passesOnValuesThatTogetherExceedMemory() throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            List<SlowValue> values = new ArrayList<>();
            List<CompletableFuture<Void>> sending = new ArrayList<>();
            RespTestBed.FakeBackend backend = startBackend(testBed);
            for (int i = 0; i < 4; i++) {
                values.add(new SlowValue(testBed, backend, 1 + 2 * i, 3 * MB, TIMEOUT_MS));
            }
            for (SlowValue each : values) {
                sending.add(each.sendInPieces(100_000, 20));
                each.second.sendValue("second");
            }
            for (SlowValue each : values) {
                each.assertPassedOnWhileSent();
                assertEquals(RespTestBed.readReply(each.client), "second");
            }
            for (CompletableFuture<Void> each : sending) {
                each.get(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS);
            }
        }
    }

    /** Guards against the disconnect of a client that is not read while a long value is written to it. */
    @Test
    public void sendsNothingBehindValueWhenClientDisconnected() throws Exception {
        try (RespTestBed testBed =
                new RespTestBed("\"aim_ms\":2000,\"deadline_ms\":4000", "\"aim_ms\":90000,\"deadline_ms\":90000")) {
            RespTestBed.FakeBackend backend = startBackend(testBed);
            testBed.holdConnections();
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, 90_000) + RespTestBed.query(2, 90_000));
            Runnable firstConnection = testBed.awaitHeldConnection();
            Runnable secondConnection = testBed.awaitHeldConnection();
            testBed.releaseConnection(firstConnection);
            RespTestBed.BackendPeer first = backend.nextConnectionWithCommand();
            first.readCommand();
            AtomicBoolean isOver = new AtomicBoolean();
            first.send("*3\r\n$" + 10 * MB + "\r\n");
            CompletableFuture<Void> sending = run(() -> {
                while (!isOver.get()) {
                    first.send("v".repeat(10_000));
                    Thread.sleep(20);
                }
            });
            client.getInputStream().readNBytes(100_000);
            isOver.set(true);
            sending.get(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS);
            // What was sent is read to the end: with bytes unread, the close would be a reset.
            while (client.getInputStream().available() > 0) {
                client.getInputStream().skipNBytes(client.getInputStream().available());
                Thread.sleep(100);
            }
            testBed.runWhileLoopBlocked(
                    () -> {
                        client.close();
                        Thread.sleep(200);
                    },
                    secondConnection);
            assertTrue(backend.receivedNothing(), "the request of a disconnected client was sent");
            testBed.awaitCounter("terminals_left", 2);
        }
    }

    private static RespTestBed.FakeBackend startBackend(RespTestBed testBed) throws Exception {
        RespTestBed.FakeBackend backend = testBed.startBackend("n1");
        testBed.setEndpoints(backend.withState(EndpointState.UP));
        return backend;
    }

    private static CompletableFuture<Void> run(RespTestBed.Action action) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Thread thread = new Thread(() -> {
            try {
                action.run();
                done.complete(null);
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return done;
    }

    /** A client with two requests, the first of which gets a long value that its backend sends in pieces. */
    private static final class SlowValue {
        final Socket client;
        final RespTestBed.BackendPeer second;
        private final RespTestBed.BackendPeer first;
        private final int length;
        private final AtomicBoolean isPassedOn = new AtomicBoolean();

        SlowValue(RespTestBed testBed, RespTestBed.FakeBackend backend, int firstRequest, int length, int timeoutMs)
                throws Exception {
            this.length = length;
            client = testBed.connectClient();
            RespTestBed.send(client, request(firstRequest, timeoutMs) + request(firstRequest + 1, TIMEOUT_MS));
            // Each is sent on a connection of its own, so they may arrive in either order.
            RespTestBed.BackendPeer one = backend.nextConnectionWithCommand();
            RespTestBed.BackendPeer other = backend.nextConnectionWithCommand();
            boolean isOneFirst = one.readCommand().contains(RespTestBed.requestId(firstRequest));
            boolean isOtherFirst = other.readCommand().contains(RespTestBed.requestId(firstRequest));
            assertTrue(isOneFirst != isOtherFirst);
            first = isOneFirst ? one : other;
            second = isOneFirst ? other : one;
        }

        private static String request(int number, int timeoutMs) {
            return RespTestBed.query(number, timeoutMs).replace("00000000000000b2", RespTestBed.requestId(number));
        }

        /** Sends pieces with pauses until the client has received some of the value, and then the rest at once. */
        CompletableFuture<Void> sendInPieces(int pieceBytes, int pauseMs) {
            return run(() -> {
                first.send("*3\r\n$" + length + "\r\n");
                int sent = 0;
                while (sent + pieceBytes < length) {
                    first.send("v".repeat(pieceBytes));
                    sent += pieceBytes;
                    if (!isPassedOn.get()) {
                        Thread.sleep(pauseMs);
                    }
                }
                // The last piece is sent only when the first ones have been passed on.
                while (!isPassedOn.get()) {
                    Thread.sleep(1);
                    if (sent + 1 < length) {
                        first.send("v");
                        sent++;
                    }
                }
                first.send("v".repeat(length - sent) + "\r\n$-1\r\n$-1\r\n");
            });
        }

        void assertPassedOnWhileSent() throws Exception {
            InputStream in = client.getInputStream();
            String header = "$" + length + "\r\n";
            assertEquals(new String(in.readNBytes(header.length()), StandardCharsets.US_ASCII), header);
            isPassedOn.set(true);
            byte[] rest = in.readNBytes(length + 2);
            assertEquals(rest.length, length + 2);
            for (int i = 0; i < length; i++) {
                if (rest[i] != 'v') {
                    assertEquals((char) rest[i], 'v', "byte " + i);
                }
            }
        }
    }
}
