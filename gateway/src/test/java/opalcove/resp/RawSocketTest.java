package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetSocket;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import opalcove.LeakCounter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks the guarantees for bytes that are flushed at the end of a turn: their order, the effect of an earlier close,
 * and the release of their buffers.
 */
public class RawSocketTest {
    private static final int TIMEOUT_S = 20;

    private Vertx vertx;
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> writabilityReports = new LinkedBlockingQueue<>();
    /** Set on the event loop only, during the action of a test. */
    private boolean isWriting;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        events.clear();
        writabilityReports.clear();
    }

    @AfterMethod
    public void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
        assertEquals(LeakCounter.countLeaks(), 0);
    }

    /**
     * Connects to a new server, which runs the action with the raw and the Vert.x socket in the turn of its first read.
     */
    private Socket connect(BiConsumer<RawSocket, NetSocket> action) throws Exception {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        vertx.runOnContext(start -> vertx.createNetServer()
                .connectHandler(socket -> {
                    RawSocket[] raw = new RawSocket[1];
                    raw[0] = new RawSocket(socket, true, new RawSocket.Listener() {
                        @Override
                        public void bytesRead(ByteBuf bytes) {
                            bytes.release();
                            action.accept(raw[0], socket);
                        }

                        @Override
                        public void writeFailed() {
                            events.add("write failed");
                        }

                        @Override
                        public void becameWritable() {
                            writabilityReports.add(isWriting ? "from within a write" : "after the write");
                        }
                    });
                    socket.closeHandler(closed -> events.add("closed"));
                })
                .listen(0, "127.0.0.1")
                .onSuccess(server -> port.complete(server.actualPort())));
        Socket socket = new Socket("127.0.0.1", port.get(TIMEOUT_S, TimeUnit.SECONDS));
        socket.setSoTimeout(TIMEOUT_S * 1000);
        return socket;
    }

    private static void writeText(ByteBuf out, String text) {
        out.writeCharSequence(text, StandardCharsets.US_ASCII);
    }

    @Test
    public void sendsBytesOfOneTurnInOrder() throws Exception {
        String large = "L".repeat(100_000);
        try (Socket socket = connect((raw, netSocket) -> {
            writeText(raw.reserve(10), "one ");
            raw.write(Unpooled.copiedBuffer("two ", StandardCharsets.US_ASCII));
            writeText(raw.reserve(10), "three ");
            ByteBuf separateBuffer = raw.allocate(large.length());
            writeText(separateBuffer, large);
            raw.write(separateBuffer);
            // More bytes than remain in the batch, whose contents are sent first.
            writeText(raw.reserve(600), "s".repeat(600));
            raw.writeLineEnd();
        })) {
            socket.getOutputStream().write(1);
            String expected = "one two three " + large + "s".repeat(600) + "\r\n";
            assertEquals(
                    new String(socket.getInputStream().readNBytes(expected.length()), StandardCharsets.US_ASCII),
                    expected);
        }
    }

    /** Guards whoever writes against a call of its own methods before it has updated its state. */
    @Test
    public void doesNotCallListenerFromWithinWrite() throws Exception {
        byte[] part = new byte[100];
        try (Socket socket = connect((raw, netSocket) -> {
            raw.setMaxPendingBytes(part.length);
            isWriting = true;
            raw.write(Unpooled.copiedBuffer(part));
            raw.write(Unpooled.copiedBuffer(part));
            raw.reserve(part.length).writeBytes(part);
            raw.writeLineEnd();
            isWriting = false;
        })) {
            socket.getOutputStream().write(1);
            assertEquals(socket.getInputStream().readNBytes(3 * part.length + 2).length, 3 * part.length + 2);
            assertEquals(writabilityReports.poll(TIMEOUT_S, TimeUnit.SECONDS), "after the write");
            assertFalse(writabilityReports.contains("from within a write"));
        }
    }

    /** Bytes that wait for the end of the turn are never sent, reported as failed once per part, and released. */
    @Test
    public void sendsNothingWhenClosedBeforeFlush() throws Exception {
        ByteBuf buffered = Unpooled.directBuffer(8).writeZero(8);
        try (Socket socket = connect((raw, netSocket) -> {
            writeText(raw.reserve(10), "never");
            raw.write(buffered.retainedDuplicate());
            writeText(raw.reserve(10), "never");
            raw.closeAndDiscard();
        })) {
            socket.getOutputStream().write(1);
            assertEquals(readRemaining(socket.getInputStream()), "");
            for (int part = 0; part < 3; part++) {
                assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "write failed");
            }
            assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "closed");
        }
        assertTrue(events.isEmpty());
        assertEquals(buffered.refCnt(), 1);
        buffered.release();
    }

    /** A socket whose output is closed in the same turn sends what was written before, and nothing after it. */
    @Test
    public void sendsWrittenBytesBeforeClosingOutput() throws Exception {
        try (Socket socket = connect((raw, netSocket) -> {
            writeText(raw.reserve(10), "last");
            raw.closeOutput();
        })) {
            socket.getOutputStream().write(1);
            assertEquals(readRemaining(socket.getInputStream()), "last");
        }
        assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "closed");
    }

    /** The socket is closed before the end of the turn: the batch is released and reported as failed. */
    @Test
    public void releasesBatchWrittenAfterClose() throws Exception {
        try (Socket socket = connect((raw, netSocket) -> netSocket.close().onComplete(closed -> {
            writeText(raw.reserve(10), "too late");
            events.add("written");
        }))) {
            socket.getOutputStream().write(1);
            assertEquals(readRemaining(socket.getInputStream()), "");
            Set<String> reported = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                reported.add(events.poll(TIMEOUT_S, TimeUnit.SECONDS));
            }
            assertEquals(reported, Set.of("closed", "written", "write failed"));
        }
    }

    private static String readRemaining(InputStream in) throws Exception {
        return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
    }
}
