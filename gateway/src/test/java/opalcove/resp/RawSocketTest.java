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
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        told.clear();
    }

    @AfterMethod
    public void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
        assertEquals(LeakCounter.countLeaks(), 0);
    }

    /** Connects; at the first byte read the action is run, in that turn, with the raw socket and the Vert.x one. */
    private Socket connect(BiConsumer<RawSocket, NetSocket> action) throws Exception {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        vertx.runOnContext(go -> vertx.createNetServer()
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
                            told.add("unwritten");
                        }
                    });
                    socket.closeHandler(closed -> told.add("closed"));
                })
                .listen(0, "127.0.0.1")
                .onSuccess(server -> port.complete(server.actualPort())));
        Socket socket = new Socket("127.0.0.1", port.get(TIMEOUT_S, TimeUnit.SECONDS));
        socket.setSoTimeout(TIMEOUT_S * 1000);
        return socket;
    }

    private static void text(ByteBuf out, String text) {
        out.writeCharSequence(text, StandardCharsets.US_ASCII);
    }

    @Test
    public void allOfATurnIsSentInOrder() throws Exception {
        String large = "L".repeat(100_000);
        try (Socket socket = connect((raw, all) -> {
            text(raw.reserve(10), "one ");
            raw.write(Unpooled.copiedBuffer("two ", StandardCharsets.US_ASCII));
            text(raw.reserve(10), "three ");
            ByteBuf aside = raw.allocate(large.length());
            text(aside, large);
            raw.write(aside);
            // More than is left of the batch: what is in it goes first.
            text(raw.reserve(600), "s".repeat(600));
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
    public void aCloseBetweenBatchAndFlushSendsNothing() throws Exception {
        ByteBuf buffered = Unpooled.directBuffer(8).writeZero(8);
        try (Socket socket = connect((raw, all) -> {
            text(raw.reserve(10), "never");
            raw.write(buffered.retainedDuplicate());
            text(raw.reserve(10), "never");
            raw.closeAndDiscard();
        })) {
            socket.getOutputStream().write(1);
            assertEquals(rest(socket.getInputStream()), "");
            for (int part = 0; part < 3; part++) {
                assertEquals(told.poll(TIMEOUT_S, TimeUnit.SECONDS), "unwritten");
            }
            assertEquals(told.poll(TIMEOUT_S, TimeUnit.SECONDS), "closed");
        }
        assertTrue(told.isEmpty());
        assertEquals(buffered.refCnt(), 1);
        buffered.release();
    }

    /** A socket that its own side closes in the same turn lets out what was put in before, and takes no more. */
    @Test
    public void theOutputClosesBehindWhatWasWritten() throws Exception {
        try (Socket socket = connect((raw, all) -> {
            text(raw.reserve(10), "last");
            raw.closeOutput();
        })) {
            socket.getOutputStream().write(1);
            assertEquals(rest(socket.getInputStream()), "last");
        }
        assertEquals(told.poll(TIMEOUT_S, TimeUnit.SECONDS), "closed");
    }

    /** The socket has ended by the end of the turn: the batch is let go of, and told as unwritten. */
    @Test
    public void aBatchForAClosedSocketIsReleased() throws Exception {
        try (Socket socket = connect((raw, all) -> all.close().onComplete(closed -> {
            text(raw.reserve(10), "too late");
            told.add("put in");
        }))) {
            socket.getOutputStream().write(1);
            assertEquals(rest(socket.getInputStream()), "");
            Set<String> all = new HashSet<>();
            for (int i = 0; i < 3; i++) {
                all.add(told.poll(TIMEOUT_S, TimeUnit.SECONDS));
            }
            assertEquals(all, Set.of("closed", "put in", "unwritten"));
        }
    }

    private static String rest(InputStream in) throws Exception {
        return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
    }
}
