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
import java.net.InetSocketAddress;
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
import java.util.function.Function;
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
 * Runs a gateway on loopback sockets between the clients and backends of a test. The test can hold back and release
 * bytes, backend connections and the event loop itself, so it determines the order of racing events on every run.
 */
public final class RespTestBed implements Closeable {
    static final int TIMEOUT_S = 20;
    static final String PING = "*1\r\n$4\r\nPING\r\n";

    final Vertx vertx = Application.createEventLoop();
    final Lifecycle lifecycle = new Lifecycle();
    final RequestDispatcher dispatcher;
    final RespServer server;
    final MemoryBudget memory;
    private final int port;
    private final List<Closeable> resources = new ArrayList<>();
    /** Established backend connections that the test holds back; null if connections are not held back. */
    private BlockingQueue<Runnable> heldConnections;

    /**
     * Starts a gateway with the settings of the tests.
     *
     * @param changes pairs of a text in the settings and its replacement
     */
    RespTestBed(String... changes) throws Exception {
        this(MemoryBudget::ofThisProcess, changes);
    }

    /** Starts a gateway that may hold this many bytes of waiting input and output. */
    static RespTestBed withMemory(long maxBytes, String... changes) throws Exception {
        return new RespTestBed(
                vertx -> new MemoryBudget(maxBytes, task -> vertx.runOnContext(run -> task.run())), changes);
    }

    private RespTestBed(Function<Vertx, MemoryBudget> memoryFactory, String... changes) throws Exception {
        String json = TestSettings.JSON.replace("\"max_open\":4", "\"max_open\":1000");
        for (int i = 0; i < changes.length; i += 2) {
            assertTrue(json.contains(changes[i]), changes[i]);
            json = json.replace(changes[i], changes[i + 1]);
        }
        DecisionSettings settings = SettingsReader.read(JsonFields.parse(json));
        CompletableFuture<Integer> listening = new CompletableFuture<>();
        CompletableFuture<Object[]> parts = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            MemoryBudget budget = memoryFactory.apply(vertx);
            Connector connector = new RespConnector(vertx, settings, budget);
            ConnectionPool connections =
                    new ConnectionPool(vertx, settings, address -> holdIfRequested(connector.connect(address)), 64);
            RequestDispatcher requestDispatcher = new RequestDispatcher(vertx, new Clock(), settings, 1, connections);
            lifecycle.enter(Lifecycle.Phase.SERVING);
            RespServer respServer = new RespServer(vertx, requestDispatcher, lifecycle, 64, budget);
            parts.complete(new Object[] {requestDispatcher, respServer, budget});
            respServer.listen(new HostAndPort("127.0.0.1", 0)).onSuccess(listening::complete);
        });
        Object[] started = parts.get(TIMEOUT_S, TimeUnit.SECONDS);
        dispatcher = (RequestDispatcher) started[0];
        server = (RespServer) started[1];
        memory = (MemoryBudget) started[2];
        port = listening.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws IOException {
        for (Closeable each : resources) {
            each.close();
        }
        assertMemoryReleased();
        vertx.close();
        // A test that blocks the event loop can cause late responses, so this invariant is not checked.
        for (Invariant rule : EnumSet.complementOf(EnumSet.of(Invariant.ANSWER_IN_TIME))) {
            assertEquals(dispatcher.invariants().violated(rule), 0, "the gateway has broken " + rule);
        }
    }

    /** Guards the memory of the gateway against being counted, or held, for connections that have closed. */
    private void assertMemoryReleased() {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        try {
            while (onLoop(() -> memory.usedBytes() != 0 || memory.waiterCount() != 0)) {
                assertTrue(System.nanoTime() < end, onLoop(memory::usedBytes) + " bytes are still counted");
                Thread.sleep(1);
            }
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    // Backend connections that are held back.

    private Future<BackendConnection> holdIfRequested(Future<BackendConnection> connecting) {
        if (heldConnections == null) {
            return connecting;
        }
        Promise<BackendConnection> released = Promise.promise();
        BlockingQueue<Runnable> queue = heldConnections;
        connecting.onComplete(up -> queue.add(() -> connecting.onComplete(released)));
        return released.future();
    }

    /** Holds back each backend connection that is opened from now on, until the test releases it. */
    void holdConnections() throws Exception {
        onLoop(() -> heldConnections = new LinkedBlockingQueue<>());
    }

    /** Passes backend connections that are opened from now on to the gateway at once. */
    void stopHoldingConnections() throws Exception {
        onLoop(() -> heldConnections = null);
    }

    /** Waits for a backend connection that is established and held back; {@link #releaseConnection} releases it. */
    Runnable awaitHeldConnection() throws Exception {
        Runnable heldConnection = heldConnections.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(heldConnection, "the gateway opened no connection to a backend");
        return heldConnection;
    }

    /** Passes a held connection to the gateway; what the gateway writes to it is flushed when this returns. */
    void releaseConnection(Runnable heldConnection) throws Exception {
        onLoop(heldConnection);
        onLoop(() -> {});
    }

    // The event loop.

    <T> T onLoop(Supplier<T> work) throws Exception {
        return onLoop(vertx, work);
    }

    void onLoop(Runnable work) throws Exception {
        onLoop(vertx, work);
    }

    /** Runs the work on an event loop and returns its result. */
    static <T> T onLoop(Vertx vertx, Supplier<T> work) throws Exception {
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

    /** Runs the work on an event loop, to its end. */
    static void onLoop(Vertx vertx, Runnable work) throws Exception {
        onLoop(vertx, () -> {
            work.run();
            return null;
        });
    }

    /** An action of a test on its sockets. */
    interface Action {
        void run() throws Exception;
    }

    /**
     * Blocks the event loop while the first action runs, and then runs the second one on the loop before it reads any
     * socket again. The gateway has not read the effects of the first action by then, though the kernel has them.
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

    /** Returns the value of a counter or gauge that the gateway reports in INFO. */
    int counter(String name) throws Exception {
        String lines = onLoop(dispatcher::infoLines);
        return Integer.parseInt(lines.lines()
                .filter(line -> line.startsWith(name + "="))
                .findFirst()
                .orElseThrow()
                .substring(name.length() + 1));
    }

    /** Waits until a counter or gauge has the expected value. */
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

    /** A backend whose connections are read and written by the test. */
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

        /** Returns the next connection on which a command arrives, among those not returned by this method before. */
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
            throw new AssertionError(name + " received no command");
        }

        /**
         * Whether no connection has delivered a byte, among those that wait to be accepted and those that {@link
         * #nextConnectionWithCommand} accepted and did not return. A connection that ends without a byte is ignored.
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

    /** The backend's end of a connection. */
    static final class BackendPeer {
        final Socket socket;
        private final InputStream in;

        BackendPeer(Socket socket) throws Exception {
            this.socket = socket;
            socket.setSoTimeout(TIMEOUT_S * 1000);
            in = socket.getInputStream();
        }

        /** Reads the next command and returns its arguments separated by spaces. */
        String readCommand() throws Exception {
            String header = readLine(in);
            assertTrue(header.startsWith("*"), header);
            StringBuilder arguments = new StringBuilder();
            for (int i = Integer.parseInt(header.substring(1)); i > 0; i--) {
                int length = Integer.parseInt(readLine(in).substring(1));
                arguments
                        .append(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1))
                        .append(' ');
                in.readNBytes(2);
            }
            return arguments.toString().strip();
        }

        void sendValue(String value) throws Exception {
            send("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n");
        }

        void send(String bytes) throws Exception {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Whether the gateway has closed the connection without sending another byte. */
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
        return connectClient(new Socket());
    }

    /** Connects a client whose socket receives this many bytes before the client reads them. */
    Socket connectClient(int receiveBufferBytes) throws Exception {
        Socket client = new Socket();
        client.setReceiveBufferSize(receiveBufferBytes);
        return connectClient(client);
    }

    private Socket connectClient(Socket client) throws Exception {
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        client.setSoTimeout(TIMEOUT_S * 1000);
        resources.add(client);
        return client;
    }

    static void send(Socket client, String bytes) throws Exception {
        client.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads the next reply and returns its line, or the value of a bulk string. */
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

    /** Reads a line, without its end. */
    static String readLine(InputStream in) throws Exception {
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

    /** Encodes a request that is safe to retry. */
    public static String query(int number, int timeoutMs) {
        return encodeCommand(
                "SVC.QUERY",
                "00000000000000b2",
                requestId(number),
                "c=slot-status,t=start,d=" + timeoutMs + ",units=1,spread=1,first=0");
    }

    /** Encodes a request with side effects, and with an idempotency key unless it is null. */
    static String submit(int number, int timeoutMs, String key) {
        return encodeCommand(
                "SVC.SUBMIT",
                "00000000000000b2",
                requestId(number),
                "c=swap-record,t=start,d=" + timeoutMs + (key == null ? "" : ",k=" + key) + ",units=1,spread=1,first=0",
                "body");
    }

    public static String encodeCommand(String... arguments) {
        StringBuilder command = new StringBuilder("*" + arguments.length + "\r\n");
        for (String argument : arguments) {
            command.append('$')
                    .append(argument.length())
                    .append("\r\n")
                    .append(argument)
                    .append("\r\n");
        }
        return command.toString();
    }

    /** Dispatches a request directly, on the event loop; the text of its response is added to the queue. */
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
