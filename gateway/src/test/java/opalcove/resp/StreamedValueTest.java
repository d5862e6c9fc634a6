package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.vertx.core.Vertx;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import opalcove.TestSettings;
import opalcove.backend.ConnectionPool;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.core.AttemptResult;
import opalcove.core.BackendTransport;
import opalcove.core.NoOpBackendTransport;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.core.StreamedValue;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.lifecycle.Lifecycle;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Long values on the platform's server: forwarded while they come, held back for a slow client, cut with their line. */
public class StreamedValueTest {
    private static final int LENGTH = 1 << 20;
    private static final String HEAD = "$" + LENGTH + "\r\n";
    private static final String PARAMETERS = "c=slot-status,t=start,d=4000,units=1,spread=1,first=0";

    private Vertx vertx;
    private HeldConnections held;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
        held = new HeldConnections();
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    @Test
    public void itsFirstBytesArriveBeforeItsBackendHasSentTheRestAndItArrivesWhole() throws Exception {
        byte[] value = new byte[LENGTH];
        for (int i = 0; i < LENGTH; i++) {
            value[i] = (byte) ('a' + i % 23);
        }
        CountDownLatch begunAtClient = new CountDownLatch(1);
        try (ServerSocket backend = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> given = CompletableFuture.runAsync(() -> give(backend, value, begunAtClient));
            DecisionSettings settings = TestSettings.settings();
            int port = front(
                    "127.0.0.1:" + backend.getLocalPort(),
                    new ConnectionPool(vertx, settings, new RespConnector(vertx, settings), 8));
            try (Socket client = request(port)) {
                InputStream in = client.getInputStream();
                assertEquals(text(in, HEAD.length()), HEAD);
                byte[] got = Arrays.copyOf(in.readNBytes(1000), LENGTH);
                begunAtClient.countDown();
                assertEquals(in.readNBytes(got, 1000, LENGTH - 1000), LENGTH - 1000);
                assertTrue(Arrays.equals(got, value), "the value as its node gave it");
                assertEquals(text(in, 2), "\r\n");
                say(client, "*1\r\n$4\r\nPING\r\n");
                assertEquals(text(in, 7), "+PONG\r\n");
            }
            given.get(10, TimeUnit.SECONDS);
        }
    }

    @Test
    public void aSlowClientHoldsItsValueBackAtTheBackendUntilItReads() throws Exception {
        try (Socket client = request(front("127.0.0.1:1", held))) {
            FakeValue value = new FakeValue();
            BackendTransport.AttemptListener attempt = held.startAttempt.get(10, TimeUnit.SECONDS);
            onLoop(() -> {
                assertTrue(attempt.acceptsStreamedValue(value));
                assertTrue(value.setReading);
                // Nothing leaves within this turn: as at a client that does not read.
                value.sink.onPart(Unpooled.wrappedBuffer(new byte[RespBackendConnection.READ_LIMIT_BYTES]));
                assertTrue(value.setReading);
                value.sink.onPart(Unpooled.wrappedBuffer(new byte[2 * RespBackendConnection.READ_LIMIT_BYTES]));
                assertFalse(value.setReading, "no more is read while that much waits to leave");
            });
            InputStream in = client.getInputStream();
            assertEquals(text(in, HEAD.length()), HEAD);
            assertEquals(
                    in.readNBytes(3 * RespBackendConnection.READ_LIMIT_BYTES).length,
                    3 * RespBackendConnection.READ_LIMIT_BYTES);
            value.readOn.get(10, TimeUnit.SECONDS);
        }
    }

    @Test
    public void aValueCutOffByItsBackendEndsTheConnectionAndCountsAsFailed() throws Exception {
        try (Socket client = request(front("127.0.0.1:1", held))) {
            FakeValue value = new FakeValue();
            BackendTransport.AttemptListener attempt = held.startAttempt.get(10, TimeUnit.SECONDS);
            onLoop(() -> {
                attempt.acceptsStreamedValue(value);
                value.sink.onPart(Unpooled.wrappedBuffer(new byte[100]));
                assertTrue(gateway.metrics().statsdLines().contains("gateway.inflight:1|g"), "not ended yet");
                value.sink.onTruncated();
                attempt.onResult(AttemptResult.withoutReport(AttemptStatus.BROKEN));
            });
            assertEquals(client.getInputStream().readAllBytes().length, HEAD.length() + 100);
            assertTrue(gateway.metrics().statsdLines().contains("gateway.failure.slot-status:1|c"));
            assertTrue(gateway.metrics().statsdLines().contains("gateway.inflight:0|g"));
        }
    }

    @Test
    public void aClientThatDisconnectsAmidItsValueAbandonsItsAttempt() throws Exception {
        try (Socket client = request(front("127.0.0.1:1", held))) {
            FakeValue value = new FakeValue();
            BackendTransport.AttemptListener attempt = held.startAttempt.get(10, TimeUnit.SECONDS);
            onLoop(() -> attempt.acceptsStreamedValue(value));
            client.setSoLinger(true, 0);
        }
        held.givenUp.get(10, TimeUnit.SECONDS);
    }

    /** Two requests that were written one behind the other, and the connections that carry them. */
    private record Pipelined(Socket client, RespTestBed.BackendPeer first, RespTestBed.BackendPeer second) {
        /** The first of them waits so long. */
        static Pipelined on(RespTestBed stage, int firstWaitMs) throws Exception {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, firstWaitMs) + RespTestBed.query(2, 4000));
            RespTestBed.BackendPeer first = backend.withCommand();
            RespTestBed.BackendPeer second = backend.withCommand();
            assertTrue(first.command().contains(RespTestBed.id(1)));
            assertTrue(second.command().contains(RespTestBed.id(2)));
            return new Pipelined(client, first, second);
        }
    }

    @Test
    public void aValueThatIsCutLosesNoRequestThatCameBehindIt() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            Pipelined requests = Pipelined.on(stage, 4000);
            requests.first().say("*3\r\n" + HEAD + "v".repeat(100_000));
            requests.second().serve("second");
            stage.until("attempts_served", 1);
            requests.first().reset();
            assertTrue(RespTestBed.answer(requests.client()).startsWith("-ERR"), "the value that was cut has failed");
            assertEquals(RespTestBed.answer(requests.client()), "second");
        }
    }

    @Test
    public void aRequestThatArrivesWhileAValueIsStreamedIsNotReadBeforeItsEnd() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, 4000));
            RespTestBed.BackendPeer line = backend.withCommand();
            line.command();
            line.say("*3\r\n" + HEAD + "v".repeat(100_000));
            assertEquals(text(client.getInputStream(), HEAD.length()), HEAD);
            RespTestBed.say(client, RespTestBed.query(2, 4000));
            // A round trip on another connection: the event loop has been to its sockets since.
            Socket other = stage.client();
            for (int i = 0; i < 10; i++) {
                RespTestBed.say(other, RespTestBed.PING);
                assertEquals(RespTestBed.answer(other), "+PONG");
            }
            assertEquals(stage.figure("taken"), 1, "read behind a value that may still be cut");
            line.say("v".repeat(LENGTH - 100_000) + "\r\n$-1\r\n$-1\r\n");
            assertEquals(client.getInputStream().readNBytes(LENGTH + 2).length, LENGTH + 2);
            backend.withCommand().serve("second");
            assertEquals(RespTestBed.answer(client), "second");
        }
    }

    @Test
    public void aValueWithARequestBehindItComesWhole() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            Pipelined requests = Pipelined.on(stage, 4000);
            String value = "v".repeat(LENGTH);
            requests.first().say("*3\r\n" + HEAD + value.substring(0, 100_000));
            requests.second().serve("second");
            requests.first().say(value.substring(100_000) + "\r\n$-1\r\n$-1\r\n");
            assertEquals(RespTestBed.answer(requests.client()), value);
            assertEquals(RespTestBed.answer(requests.client()), "second");
        }
    }

    @Test
    public void aGatheredValueOfAnyLengthEndsOnce() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            Socket client = stage.client();
            for (int length = 70_000; length < 170_000; length += 5_000) {
                RespTestBed.say(client, RespTestBed.query(length, 4000) + RespTestBed.query(length + 1, 4000));
                RespTestBed.BackendPeer first = backend.withCommand();
                RespTestBed.BackendPeer second = backend.withCommand();
                first.command();
                second.command();
                String value = "v".repeat(length);
                first.say("*3\r\n$" + length + "\r\n" + value + "\r\n$-1\r\n$-1\r\n");
                second.serve("second");
                assertEquals(RespTestBed.answer(client), value);
                assertEquals(RespTestBed.answer(client), "second");
                first.reset();
                second.reset();
            }
        }
    }

    @Test
    public void aGatheredValueThatStandsStillIsAnsweredOtherwiseOnceItsTimeIsOver() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            Pipelined requests = Pipelined.on(stage, 600);
            requests.first().say("*3\r\n" + HEAD + "v".repeat(100_000));
            requests.second().serve("second");
            assertTrue(RespTestBed.answer(requests.client()).startsWith("-ERR"));
            assertEquals(RespTestBed.answer(requests.client()), "second");
            assertTrue(requests.first().ended(), "its node is not read on");
            assertTrue(stage.figure("attempts_cancelled") > 0, "given up by the gateway, not ended as one that broke");
        }
    }

    @Test
    public void aValueTooLongToBeGatheredFailsAloneWhereRequestsAreBehindIt() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            Pipelined requests = Pipelined.on(stage, 4000);
            requests.first().say("*3\r\n$" + (BufferBudget.MAX_BYTES + 1) + "\r\n" + "v".repeat(100_000));
            requests.second().serve("second");
            assertTrue(RespTestBed.answer(requests.client()).startsWith("-ERR"));
            assertEquals(RespTestBed.answer(requests.client()), "second");
            assertTrue(requests.first().ended(), "its node is not read on");
        }
    }

    private RequestDispatcher gateway;

    /** A server whose only backend is at the address; gives the server's port. */
    private int front(String backend, BackendTransport links) throws Exception {
        CompletableFuture<Integer> listening = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            gateway = new RequestDispatcher(vertx, new Clock(), TestSettings.settings(), 1, links);
            gateway.endpointsChanged(
                    true,
                    List.of(new Backend(new Endpoint("n1", "room-a", "app", 0, EndpointState.UP, 1, 0), backend)));
            Lifecycle phases = new Lifecycle();
            phases.enter(Lifecycle.Phase.SERVING);
            new RespServer(vertx, gateway, phases, 64)
                    .listen(new HostAndPort("127.0.0.1", 0))
                    .onSuccess(listening::complete);
        });
        return listening.get(10, TimeUnit.SECONDS);
    }

    private static Socket request(int port) throws Exception {
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(20_000);
        say(
                client,
                "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000000000a1\r\n$16\r\n00000000000000b2\r\n$" + PARAMETERS.length()
                        + "\r\n" + PARAMETERS + "\r\n");
        return client;
    }

    private static void say(Socket client, String bytes) throws Exception {
        client.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }

    private static String text(InputStream in, int length) throws Exception {
        return new String(in.readNBytes(length), StandardCharsets.US_ASCII);
    }

    /** A backend that gives the value's first part, and the rest once the client has some of it. */
    private static void give(ServerSocket backend, byte[] value, CountDownLatch goOn) {
        try (Socket line = backend.accept()) {
            InputStream in = line.getInputStream();
            StringBuilder command = new StringBuilder();
            while (command.indexOf("first=0\r\n") < 0) {
                command.append((char) in.read());
            }
            OutputStream out = line.getOutputStream();
            out.write(("*3\r\n" + HEAD).getBytes(StandardCharsets.US_ASCII));
            out.write(value, 0, 70_000);
            goOn.await();
            out.write(value, 70_000, LENGTH - 70_000);
            out.write("\r\n$13\r\nused=1,cost=1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII));
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private void onLoop(Runnable work) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.runOnContext(run -> {
            try {
                work.run();
                done.complete(null);
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        });
        done.get(10, TimeUnit.SECONDS);
    }

    /** A value of which the test gives the parts. */
    private static final class FakeValue implements StreamedValue {
        final CompletableFuture<Void> readOn = new CompletableFuture<>();
        Sink sink;
        boolean setReading;
        private boolean stopped;

        @Override
        public int length() {
            return LENGTH;
        }

        @Override
        public void deliverTo(Sink taker) {
            sink = taker;
        }

        @Override
        public void setReading(boolean yes) {
            setReading = yes;
            stopped |= !yes;
            if (yes && stopped) {
                readOn.complete(null);
            }
        }

        @Override
        public boolean isComplete() {
            return false;
        }
    }

    /** Connections whose attempt the test ends. */
    private static final class HeldConnections extends NoOpBackendTransport {
        final CompletableFuture<AttemptListener> startAttempt = new CompletableFuture<>();
        final CompletableFuture<Void> givenUp = new CompletableFuture<>();

        @Override
        public Attempt startAttempt(Backend backend, Request request, double waitMs, AttemptListener ended) {
            startAttempt.complete(ended);
            return () -> givenUp.complete(null);
        }
    }
}
