package opalcove.resp;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import io.vertx.core.Vertx;
import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import opalcove.TestSettings;
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
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.lifecycle.Application;
import opalcove.lifecycle.Lifecycle;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that a streamed value of any length, delivered in parts of any size, is followed by exactly one line end. A
 * second one becomes the response to the next command, and shifts all later responses of the connection by one.
 */
public class StreamedValueFramingTest {
    private static final int TIMEOUT_S = 20;
    /** The number of waiting bytes at which the socket of a streamed value becomes unwritable: the sweep's period. */
    private static final int PERIOD_BYTES = 2 * RespBackendConnection.READ_LIMIT_BYTES;

    /** A value of this length is paused at least once, because its client has not read the begin of it yet. */
    private static final int FIRST_LENGTH = 2 * PERIOD_BYTES;

    private static final long SEED = 64;

    private Vertx vertx;
    private PartedValues backend;
    private Socket client;
    private InputStream fromGateway;

    @BeforeMethod
    public void open() throws Exception {
        vertx = Application.createEventLoop();
        backend = new PartedValues();
        CompletableFuture<Integer> listening = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            RequestDispatcher dispatcher =
                    new RequestDispatcher(vertx, new Clock(), TestSettings.settings(), 1, backend);
            Endpoint endpoint = new Endpoint("n1", "room-a", "app", 0, EndpointState.UP, 1, 0);
            dispatcher.endpointsChanged(true, List.of(new Backend(endpoint, "127.0.0.1:1")));
            Lifecycle lifecycle = new Lifecycle();
            lifecycle.enter(Lifecycle.Phase.SERVING);
            new RespServer(vertx, dispatcher, lifecycle, 64)
                    .listen(new HostAndPort("127.0.0.1", 0))
                    .onSuccess(listening::complete);
        });
        client = new Socket("127.0.0.1", listening.get(TIMEOUT_S, TimeUnit.SECONDS));
        client.setSoTimeout(TIMEOUT_S * 1000);
        client.setTcpNoDelay(true);
        fromGateway = new BufferedInputStream(client.getInputStream(), PERIOD_BYTES);
    }

    @AfterMethod
    public void close() throws Exception {
        client.close();
        vertx.close();
    }

    /**
     * The step from one length to the next, and the sizes of the parts that a value is cut into: each is one read of
     * the backend's connection.
     */
    @DataProvider
    public Object[][] partSizes() {
        Random random = new Random(SEED);
        int limit = RespBackendConnection.READ_LIMIT_BYTES;
        return new Object[][] {
            {"full reads", 1, (IntSupplier) () -> limit},
            {"reads one byte short", 13, (IntSupplier) () -> limit - 1},
            {"reads of 1,460 bytes", 13, (IntSupplier) () -> 1460},
            {"reads of any size", 13, (IntSupplier) () -> 1 + random.nextInt(limit)}
        };
    }

    /** Guards against a second line end, written by a call back from within the write of the first one. */
    @Test(dataProvider = "partSizes")
    public void endsValueOfAnyLengthOnce(String name, int step, IntSupplier partSize) throws Exception {
        String check = "";
        for (int length = FIRST_LENGTH; length < FIRST_LENGTH + PERIOD_BYTES; length += step) {
            backend.answerWith(length, partSize);
            String customer = RespTestBed.requestId(length);
            String query = RespTestBed.query(length, 4000).replace("00000000000000b2", customer);
            RespTestBed.send(client, check + query);
            if (!check.isEmpty()) {
                assertEquals(
                        RespTestBed.readLine(fromGateway),
                        "+PONG",
                        name + ", after a value of " + (length - step) + " bytes");
            }
            assertEquals(RespTestBed.readLine(fromGateway), "$" + length, name);
            fromGateway.skipNBytes(length);
            assertEquals(RespTestBed.readLine(fromGateway), "", name);
            check = RespTestBed.PING;
        }
    }

    /** Serves each attempt with a value of the chosen length, cut into parts of the chosen sizes. */
    private final class PartedValues extends NoOpBackendTransport {
        private volatile int length;
        private volatile IntSupplier partSize;

        void answerWith(int newLength, IntSupplier newPartSize) {
            partSize = newPartSize;
            length = newLength;
        }

        @Override
        public Attempt startAttempt(Backend target, Request request, double timeoutMs, AttemptListener listener) {
            vertx.runOnContext(reply -> {
                PartedValue value = new PartedValue(length, partSize, listener);
                listener.acceptsStreamedValue(value);
                value.deliver();
            });
            return () -> {};
        }
    }

    /** A value whose parts are delivered in one turn of the event loop for as long as its sink reads. */
    private final class PartedValue implements StreamedValue {
        private final byte[] bytes;
        private final IntSupplier partSize;
        private final BackendTransport.AttemptListener listener;
        private Sink sink;
        private int deliveredBytes;
        private boolean isReading = true;
        private boolean isDelivering;

        PartedValue(int length, IntSupplier partSize, BackendTransport.AttemptListener listener) {
            bytes = new byte[length];
            this.partSize = partSize;
            this.listener = listener;
        }

        private void deliver() {
            isDelivering = true;
            while (isReading && !isComplete()) {
                int size = Math.min(partSize.getAsInt(), bytes.length - deliveredBytes);
                int from = deliveredBytes;
                deliveredBytes += size;
                sink.onPart(Unpooled.wrappedBuffer(bytes, from, size));
            }
            isDelivering = false;
            if (isComplete()) {
                sink.onComplete();
                listener.onResult(AttemptResult.withoutReport(AttemptStatus.SERVED));
            }
        }

        @Override
        public int length() {
            return bytes.length;
        }

        @Override
        public void deliverTo(Sink newSink) {
            sink = newSink;
        }

        @Override
        public void setReading(boolean enabled) {
            boolean isResumed = enabled && !isReading;
            isReading = enabled;
            if (isResumed && !isDelivering && !isComplete()) {
                vertx.runOnContext(read -> deliver());
            }
        }

        @Override
        public boolean isComplete() {
            return deliveredBytes == bytes.length;
        }
    }
}
