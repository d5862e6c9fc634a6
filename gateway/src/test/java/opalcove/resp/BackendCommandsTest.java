package opalcove.resp;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.Vertx;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import opalcove.TestSettings;
import opalcove.backend.BackendConnection;
import opalcove.core.AttemptResult;
import opalcove.core.Request;
import opalcove.core.StreamedValue;
import opalcove.lifecycle.Application;
import org.testng.annotations.Test;

/** Checks the commands sent to a backend, byte for byte, for a class of each idempotency. */
public class BackendCommandsTest {
    private static final int TIMEOUT_S = 20;
    private static final String TENANT = "00000000b4d65521";
    private static final String ID = "9b1f03aa5c7e2d41";

    @Test
    public void encodesQueryForSafeClass() throws Exception {
        assertEquals(
                sendAndCapture(new Request(ID, TENANT, "slot-status", "start", 2, 480, null, false, 3, 1, null), 480.9),
                """
                *4
                $9
                SVC.QUERY
                $16
                00000000b4d65521
                $16
                9b1f03aa5c7e2d41
                $52
                c=slot-status,t=start,d=480,units=2,spread=3,first=1
                """
                        .replace("\n", "\r\n"));
    }

    @Test
    public void encodesKeyAndRetryFlagForKeyedClass() throws Exception {
        assertEquals(
                sendAndCapture(
                        new Request(
                                ID,
                                TENANT,
                                "swap-record",
                                "flotte",
                                2,
                                480,
                                "5c0f6e1a2b3d4c59",
                                true,
                                3,
                                1,
                                body("BODY")),
                        7500),
                """
                *5
                $10
                SVC.SUBMIT
                $16
                00000000b4d65521
                $16
                9b1f03aa5c7e2d41
                $77
                c=swap-record,t=flotte,d=7500,k=5c0f6e1a2b3d4c59,r=1,units=2,spread=3,first=1
                $4
                BODY
                """
                        .replace("\n", "\r\n"));
    }

    /** The request has no key, a fraction of a unit, less than a millisecond left and an empty body. */
    @Test
    public void encodesEmptyBodyForUnsafeClass() throws Exception {
        assertEquals(
                sendAndCapture(new Request(ID, TENANT, "lock", "start", 1.25, 480, null, false, 12, 10, body("")), 0.4),
                """
                *5
                $10
                SVC.SUBMIT
                $16
                00000000b4d65521
                $16
                9b1f03aa5c7e2d41
                $48
                c=lock,t=start,d=0,units=1.25,spread=12,first=10
                $0

                """
                        .replace("\n", "\r\n"));
    }

    private static ByteBuf body(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    /** Sends the request on a new connection, closes it after 20 ms and returns all bytes that were received. */
    private static String sendAndCapture(Request request, double timeoutMs) throws Exception {
        Vertx vertx = Application.createEventLoop();
        try (ServerSocket backend = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            backend.setSoTimeout(TIMEOUT_S * 1000);
            vertx.runOnContext(start -> new RespConnector(vertx, TestSettings.settings())
                    .connect("127.0.0.1:" + backend.getLocalPort())
                    .onSuccess(connection -> {
                        connection.setListener(new IgnoringListener());
                        connection.send(request, timeoutMs);
                        vertx.setTimer(20, elapsed -> connection.close());
                    }));
            try (Socket connection = backend.accept()) {
                connection.setSoTimeout(TIMEOUT_S * 1000);
                return new String(connection.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            }
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
            if (request.body() != null) {
                request.body().release();
            }
        }
    }

    /** Ignores the events of a connection on which nothing arrives. */
    private static final class IgnoringListener implements BackendConnection.Listener {
        @Override
        public boolean acceptsStreamedValue(StreamedValue value) {
            return false;
        }

        @Override
        public void onReply(AttemptResult result) {}

        @Override
        public void onWriteFailed() {}

        @Override
        public void onClosed() {}
    }
}
