package opalcove.resp;

import static org.testng.Assert.assertEquals;
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

/** Each assumption on which bytes wait for the end of a turn: their order, a close before it, whose buffers they are. */
public class RawSocketTest {
    private static final int TIMEOUT_S = 20;

    private Vertx vertx;
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        events.clear();
    }

    @AfterMethod
    public void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
        assertEquals(LeakCounter.found(), 0);
    }

    /** Connects; at the first byte read the action is run, in that turn, with the raw socket and the Vert.x one. */
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
                            events.add("unwritten");
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
            // More than is left of the batch: what is in it goes first.
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

    /** What waits for the end of the turn never leaves, is reported once as unwritten for each part, and is released. */
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
                assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "unwritten");
            }
            assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), "closed");
        }
        assertTrue(events.isEmpty());
        assertEquals(buffered.refCnt(), 1);
        buffered.release();
    }

    /** A socket that its own side closes in the same turn lets out what was put in before, and takes no more. */
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

    /** The socket has ended by the end of the turn: the batch is let go of, and told as unwritten. */
    @Test
    public void releasesBatchWrittenAfterClose() throws Exception {
        try (Socket socket = connect((raw, netSocket) -> netSocket.close().onComplete(closed -> {
            writeText(raw.reserve(10), "too late");
            events.add("put in");
        }))) {
            socket.getOutputStream().write(1);
            assertEquals(readRemaining(socket.getInputStream()), "");
            Set<String> reported = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                reported.add(events.poll(TIMEOUT_S, TimeUnit.SECONDS));
            }
            assertEquals(reported, Set.of("closed", "put in", "unwritten"));
        }
    }

    private static String readRemaining(InputStream in) throws Exception {
        return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
    }
}
