package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import opalcove.TestSettings;
import opalcove.backend.BackendConnection;
import opalcove.backend.ConnectionPool;
import opalcove.backend.Connector;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.core.Response;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.lifecycle.Application;
import opalcove.lifecycle.Lifecycle;
import opalcove.metrics.Invariant;

/**
 * A gateway on loopback sockets between clients and backends of a test, which hold and release bytes, connections and the
 * event loop itself on command: so the order in which two events meet is the test's, every time.
 */
public final class RespTestBed implements Closeable {
    static final int TIMEOUT_S = 20;
    static final String PING = "*1\r\n$4\r\nPING\r\n";

    final Vertx vertx = Application.createEventLoop();
    final Lifecycle lifecycle = new Lifecycle();
    final RequestDispatcher dispatcher;
    final RespServer server;
    private final int port;
    private final List<Closeable> resources = new ArrayList<>();
    /** Connections that are up and not handed over yet; null where connections are handed over at once. */
    private BlockingQueue<Runnable> heldConnections;

    /** Starts with the settings of the tests, changed by pairs of a text and what is in its place. */
    RespTestBed(String... changes) throws Exception {
        String json = TestSettings.JSON.replace("\"max_open\":4", "\"max_open\":1000");
        for (int i = 0; i < changes.length; i += 2) {
            assertTrue(json.contains(changes[i]), changes[i]);
            json = json.replace(changes[i], changes[i + 1]);
        }
        DecisionSettings settings = SettingsReader.read(JsonFields.parse(json));
        CompletableFuture<Integer> listening = new CompletableFuture<>();
        CompletableFuture<Object[]> parts = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            Connector connector = new RespConnector(vertx, settings);
            ConnectionPool connections =
                    new ConnectionPool(vertx, settings, address -> holdIfRequested(connector.connect(address)), 64);
            RequestDispatcher requestDispatcher = new RequestDispatcher(vertx, new Clock(), settings, 1, connections);
            lifecycle.enter(Lifecycle.Phase.SERVING);
            RespServer respServer = new RespServer(vertx, requestDispatcher, lifecycle, 64);
            parts.complete(new Object[] {requestDispatcher, respServer});
            respServer.listen(new HostAndPort("127.0.0.1", 0)).onSuccess(listening::complete);
        });
        Object[] started = parts.get(TIMEOUT_S, TimeUnit.SECONDS);
        dispatcher = (RequestDispatcher) started[0];
        server = (RespServer) started[1];
        port = listening.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws IOException {
        for (Closeable each : resources) {
            each.close();
        }
        vertx.close();
        // Late answers are the machine's where a test holds the event loop up.
        for (Invariant rule : EnumSet.complementOf(EnumSet.of(Invariant.ANSWER_IN_TIME))) {
            assertEquals(dispatcher.invariants().violated(rule), 0, "the gateway has broken " + rule);
        }
    }

    // Connections that come up late.

    private Future<BackendConnection> holdIfRequested(Future<BackendConnection> connecting) {
        if (heldConnections == null) {
            return connecting;
        }
        Promise<BackendConnection> released = Promise.promise();
        BlockingQueue<Runnable> queue = heldConnections;
        connecting.onComplete(up -> queue.add(() -> connecting.onComplete(released)));
        return released.future();
    }

    /** From now on connections come up when the test lets them. */
    void holdConnections() throws Exception {
        onLoop(() -> heldConnections = new LinkedBlockingQueue<>());
    }

    /** Connections that are opened from now on are handed over at once. */
    void stopHoldingConnections() throws Exception {
        onLoop(() -> heldConnections = null);
    }

    /** Waits for a connection that is up and was not handed over; it is handed over by {@link #releaseConnection}. */
    Runnable awaitHeldConnection() throws Exception {
        Runnable heldConnection = heldConnections.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(heldConnection, "the gateway opened no connection to a backend");
        return heldConnection;
    }

    /** Hands a link over; what is written to it has left when this returns. */
    void releaseConnection(Runnable heldConnection) throws Exception {
        onLoop(heldConnection);
        onLoop(() -> {});
    }

    // The loop.

    <T> T onLoop(Supplier<T> work) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        vertx.runOnContext(run -> {
            try {
                done.complete(work.get());
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    void onLoop(Runnable work) throws Exception {
        onLoop(() -> {
            work.run();
            return null;
        });
    }

    /** What a test does to sockets. */
    interface Action {
        void run() throws Exception;
    }

    /**
     * Holds the loop up while the test does something to its sockets, and has the loop do the other thing before it reads
     * any socket again: so the second is done by a gateway that has not read the first, though the kernel has it.
     */
    void runWhileLoopBlocked(Action whileBlocked, Runnable beforeNextRead) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.runOnContext(run -> {
            blocked.countDown();
            try {
                unblock.await(TIMEOUT_S, TimeUnit.SECONDS);
                beforeNextRead.run();
                done.complete(null);
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        });
        assertTrue(blocked.await(TIMEOUT_S, TimeUnit.SECONDS));
        whileBlocked.run();
        unblock.countDown();
        done.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** A figure of the gateway's. */
    int counter(String name) throws Exception {
        String lines = onLoop(dispatcher::infoLines);
        return Integer.parseInt(lines.lines()
                .filter(line -> line.startsWith(name + "="))
                .findFirst()
                .orElseThrow()
                .substring(name.length() + 1));
    }

    /** Waits till a figure is this. */
    void awaitCounter(String name, int expected) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        int now = counter(name);
        while (now != expected && System.nanoTime() < end) {
            Thread.sleep(1);
            now = counter(name);
        }
        assertEquals(now, expected, name);
    }

    // Backends.

    FakeBackend startBackend(String name) throws Exception {
        FakeBackend backend = new FakeBackend(name);
        resources.add(backend);
        return backend;
    }

    void setEndpoints(Backend... backends) throws Exception {
        onLoop(() -> dispatcher.endpointsChanged(true, List.of(backends)));
    }

    /** A backend. What its connections bring waits until the test looks; what they send is what the test says. */
    static final class FakeBackend implements Closeable {
        final String name;
        private final List<BackendPeer> connectionsWithoutCommand = new ArrayList<>();
        private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());

        FakeBackend(String name) throws Exception {
            this.name = name;
            server.setSoTimeout(TIMEOUT_S * 1000);
        }

        Backend withState(EndpointState state) {
            return withState(state, 0);
        }

        Backend withState(EndpointState state, int cell) {
            return new Backend(
                    new Endpoint(name, "room-a", "app", cell, state, 1, 0), "127.0.0.1:" + server.getLocalPort());
        }

        BackendPeer accept() throws Exception {
            return new BackendPeer(server.accept());
        }

        /** The line on which a command comes next, of all those that were not told by this call before. */
        BackendPeer nextConnectionWithCommand() throws Exception {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            server.setSoTimeout(1);
            try {
                while (System.nanoTime() < end) {
                    for (BackendPeer each : connectionsWithoutCommand) {
                        if (each.socket.getInputStream().available() > 0) {
                            connectionsWithoutCommand.remove(each);
                            return each;
                        }
                    }
                    try {
                        connectionsWithoutCommand.add(accept());
                    } catch (java.net.SocketTimeoutException none) {
                        continue;
                    }
                }
            } finally {
                server.setSoTimeout(TIMEOUT_S * 1000);
            }
            throw new AssertionError(name + " got no command");
        }

        /**
         * Whether no line brings a byte, of those that wait to be accepted and those that {@link #nextConnectionWithCommand} accepted and
         * did not give; lines that end without one are passed over.
         */
        boolean receivedNothing() throws Exception {
            for (BackendPeer each : connectionsWithoutCommand) {
                if (each.socket.getInputStream().available() > 0) {
                    return false;
                }
            }
            server.setSoTimeout(1);
            try {
                while (true) {
                    try (Socket connection = server.accept()) {
                        connection.setSoTimeout(200);
                        if (connection.getInputStream().read() >= 0) {
                            return false;
                        }
                    }
                }
            } catch (java.net.SocketTimeoutException e) {
                return true;
            } finally {
                server.setSoTimeout(TIMEOUT_S * 1000);
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A backend's end of a connection. */
    static final class BackendPeer {
        final Socket socket;
        private final InputStream in;

        BackendPeer(Socket socket) throws Exception {
            this.socket = socket;
            socket.setSoTimeout(TIMEOUT_S * 1000);
            in = socket.getInputStream();
        }

        /** The next command, its words with spaces between. */
        String readCommand() throws Exception {
            String header = readLine(in);
            assertTrue(header.startsWith("*"), header);
            StringBuilder words = new StringBuilder();
            for (int i = Integer.parseInt(header.substring(1)); i > 0; i--) {
                int length = Integer.parseInt(readLine(in).substring(1));
                words.append(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1))
                        .append(' ');
                in.readNBytes(2);
            }
            return words.toString().strip();
        }

        void sendValue(String value) throws Exception {
            send("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n");
        }

        void send(String bytes) throws Exception {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Whether the gateway has ended the line with nothing more on it. */
        boolean isClosedByGateway() throws Exception {
            try {
                return in.read() < 0;
            } catch (java.net.SocketException reset) {
                return true;
            }
        }

        void reset() throws Exception {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    // Clients.

    Socket connectClient() throws Exception {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        client.setSoTimeout(TIMEOUT_S * 1000);
        resources.add(client);
        return client;
    }

    static void send(Socket client, String bytes) throws Exception {
        client.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next answer: a line, or a string's value. */
    public static String readReply(Socket client) throws Exception {
        String line = readLine(client.getInputStream());
        if (!line.startsWith("$")) {
            return line;
        }
        String value = new String(
                client.getInputStream().readNBytes(Integer.parseInt(line.substring(1))), StandardCharsets.ISO_8859_1);
        client.getInputStream().readNBytes(2);
        return value;
    }

    private static String readLine(InputStream in) throws Exception {
        StringBuilder line = new StringBuilder();
        for (int each = in.read(); each != '\n'; each = in.read()) {
            if (each < 0) {
                throw new java.io.EOFException("the connection ended after " + line);
            }
            line.append((char) each);
        }
        return line.substring(0, line.length() - 1);
    }

    static String requestId(int number) {
        return String.format("%016x", number);
    }

    /** A request that may be repeated. */
    public static String query(int number, int timeoutMs) {
        return encodeCommand(
                "SVC.QUERY",
                "00000000000000b2",
                requestId(number),
                "c=slot-status,t=start,d=" + timeoutMs + ",units=1,spread=1,first=0");
    }

    /** A request with an effect, with a key where its class has one. */
    static String submit(int number, int timeoutMs, String key) {
        return encodeCommand(
                "SVC.SUBMIT",
                "00000000000000b2",
                requestId(number),
                "c=swap-record,t=start,d=" + timeoutMs + (key == null ? "" : ",k=" + key) + ",units=1,spread=1,first=0",
                "body");
    }

    public static String encodeCommand(String... words) {
        StringBuilder command = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            command.append('$')
                    .append(word.length())
                    .append("\r\n")
                    .append(word)
                    .append("\r\n");
        }
        return command.toString();
    }

    /** Has the gateway serve a request from within the loop; the answer's text is added to the list. */
    void dispatch(int number, int timeoutMs, BlockingQueue<String> responses) {
        dispatcher.dispatch(
                new Request(
                        requestId(number),
                        "00000000000000b2",
                        "slot-status",
                        "start",
                        1,
                        timeoutMs,
                        null,
                        false,
                        1,
                        0,
                        null),
                response -> {
                    ByteBuf value = response instanceof Response.Served served ? served.value() : null;
                    responses.add(value == null ? response.toString() : value.toString(StandardCharsets.ISO_8859_1));
                });
    }
}
