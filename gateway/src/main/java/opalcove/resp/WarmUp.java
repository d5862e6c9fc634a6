package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import opalcove.backend.ConnectionPool;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.decision.Idempotency;
import opalcove.lifecycle.Lifecycle;
import opalcove.lifecycle.TimeBudget;
import org.tinylog.Logger;

/**
 * Runs requests through the process before it accepts clients. The warm-up uses its own server, dispatcher and
 * connections and an emulated backend, over UNIX sockets in a private folder. Guards the first clients against a
 * process whose classes are not loaded and whose code is not compiled: with a fraction of a core, their requests waited
 * for up to a second. Called from the starting thread; the rest runs on an event loop that is created for the warm-up.
 */
public final class WarmUp {
    static final int REQUESTS = 500;
    /** The name prefix of the private folder. */
    static final String FOLDER_PREFIX = "warm-up-";
    /** The number of requests in flight at the same time. */
    private static final int MAX_IN_FLIGHT = 2;

    private static final int BACKENDS = 3;
    private static final int MAX_CONNECTIONS = 64;
    private static final int MAX_ITEMS = 5;

    private final DecisionSettings settings;
    private final Promise<Void> done = Promise.promise();
    private int sentCount;
    private volatile int responseCount;
    private volatile int maxRequests = REQUESTS;

    private WarmUp(DecisionSettings settings) {
        this.settings = settings;
    }

    /**
     * Runs the warm-up and closes its Vert.x instance, all within the budget. The instance is created only if the
     * warm-up runs, and continues to close on its own if it has not closed in time. A failure only costs time.
     *
     * @return the number of requests that got a response
     */
    public static int run(Supplier<Vertx> eventLoop, DecisionSettings settings, TimeBudget budget) {
        WarmUp warmUp = new WarmUp(settings);
        try {
            Path folder = createPrivateFolder();
            Path backend = folder.resolve("node");
            Path server = folder.resolve("front");
            if (budget.remainingMs() == 0 || !canConnectAt(backend)) {
                Files.delete(folder);
                Logger.info("warm-up skipped: UNIX sockets cannot be connected to, or no time remains");
                return 0;
            }
            Vertx vertx = eventLoop.get();
            try {
                vertx.runOnContext(start -> warmUp.open(
                                vertx,
                                SocketAddress.domainSocketAddress(backend.toString()),
                                SocketAddress.domainSocketAddress(server.toString()))
                        .onFailure(warmUp.done::tryFail));
                warmUp.awaitEnd(budget);
            } finally {
                Future<Void> closed = vertx.close();
                try {
                    closed.toCompletionStage().toCompletableFuture().get(budget.remainingMs(), TimeUnit.MILLISECONDS);
                } finally {
                    for (Path each : List.of(backend, server, folder)) {
                        Files.deleteIfExists(each);
                    }
                }
            }
        } catch (TimeoutException e) {
            Logger.info("warm-up did not finish within its time budget");
        } catch (IOException | ExecutionException e) {
            Logger.warn("warm-up failed: {}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return warmUp.responseCount;
    }

    /**
     * Creates a new folder that only this user may enter. Files.createTempDirectory is not used, because it draws names
     * from a SecureRandom, whose initialization takes 20 ms of the start on a full core.
     */
    private static Path createPrivateFolder() throws IOException {
        String name = FOLDER_PREFIX + ProcessHandle.current().pid() + "-" + Long.toHexString(System.nanoTime());
        return Files.createDirectory(
                Path.of(System.getProperty("java.io.tmpdir"), name),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
    }

    /**
     * Whether a UNIX socket at this path can be connected to. Guards the start on platforms that allow listening there
     * but not connecting: an event loop, a server and connections were set up for nothing, which took a quarter of the
     * start's processor time.
     */
    static boolean canConnectAt(Path path) throws IOException {
        UnixDomainSocketAddress address = UnixDomainSocketAddress.of(path);
        try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            server.bind(address);
            try (SocketChannel client = SocketChannel.open(address)) {
                return client.isConnected();
            }
        } catch (IOException | UnsupportedOperationException e) {
            return false;
        } finally {
            Files.deleteIfExists(path);
        }
    }

    /**
     * Waits for the warm-up to end. After three quarters of the remaining time no more requests are sent, and only
     * those in flight are awaited. Guards the log and the close against connections that are still being opened to a
     * backend that closes.
     */
    private void awaitEnd(TimeBudget budget) throws ExecutionException, InterruptedException, TimeoutException {
        CompletableFuture<Void> end = done.future().toCompletionStage().toCompletableFuture();
        try {
            end.get(budget.remainingMs() * 3 / 4, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            Logger.debug("warm-up ends early: sending no more requests");
            maxRequests = 0;
            end.get(budget.remainingMs() / 2, TimeUnit.MILLISECONDS);
        }
    }

    private Future<?> open(Vertx vertx, SocketAddress backend, SocketAddress server) {
        MemoryBudget memory = MemoryBudget.ofThisProcess(vertx);
        ConnectionPool connections = new ConnectionPool(
                vertx, settings, new RespConnector(vertx, settings, memory, address -> backend), MAX_CONNECTIONS);
        RequestDispatcher dispatcher = new RequestDispatcher(vertx, new Clock(), settings, 1, connections);
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            backends.add(new Backend(new Endpoint("warm-up-" + i, settings.zone(), "", i, EndpointState.UP, 1, 0), ""));
        }
        dispatcher.endpointsChanged(true, backends);
        return vertx.createNetServer()
                .connectHandler(WarmUp::emulateBackend)
                .listen(backend)
                .compose(listening ->
                        new RespServer(vertx, dispatcher, new Lifecycle(), MAX_IN_FLIGHT, memory).listen(server))
                .compose(listening -> vertx.createNetClient().connect(server))
                .onSuccess(this::sendRequests);
    }

    /** One end of a connection: passes decoded values to a handler, which may write to the socket. */
    private static final class Peer implements RawSocket.Listener, RespListener {
        private final RawSocket socket;
        private final RespDecoder decoder = new RespDecoder(MAX_ITEMS, this);
        private final BiConsumer<RespDecoder, RawSocket> valueHandler;
        private final Consumer<String> errorHandler;

        Peer(NetSocket netSocket, BiConsumer<RespDecoder, RawSocket> valueHandler, Consumer<String> errorHandler) {
            this.valueHandler = valueHandler;
            this.errorHandler = errorHandler;
            socket = new RawSocket(netSocket, false, this);
            // Without this handler, Vert.x logs the failure of a connection at the end of the warm-up as an error that
            // does not mention the warm-up.
            netSocket.exceptionHandler(e -> Logger.debug("warm-up connection failed: {}", e.getMessage()));
            netSocket.closeHandler(closed -> decoder.stop());
        }

        @Override
        public void bytesRead(ByteBuf bytes) {
            decoder.decode(bytes);
        }

        @Override
        public void valueDecoded(RespDecoder value) {
            valueHandler.accept(value, socket);
        }

        @Override
        public void decodingFailed(String reason) {
            errorHandler.accept(reason);
        }
    }

    /** A backend that returns each request's id as its value. */
    private static void emulateBackend(NetSocket netSocket) {
        new Peer(
                netSocket,
                (command, socket) -> {
                    String id = command.text(2);
                    ByteBuf out = socket.reserve(5 * RespWriter.MAX_HEADER_BYTES + id.length());
                    RespWriter.writeHeader(out, '*', 3);
                    RespWriter.writeBulkString(out, id);
                    RespWriter.writeBulkString(out, "used=1,cost=1");
                    RespWriter.writeBulkString(out, "latency_ms=1.5");
                },
                reason -> netSocket.close());
    }

    private void sendRequests(NetSocket netSocket) {
        Peer client = new Peer(
                netSocket,
                (response, socket) -> {
                    responseCount++;
                    if (sentCount < maxRequests) {
                        sendNext(socket);
                    } else if (responseCount == sentCount) {
                        done.tryComplete();
                    }
                },
                done::tryFail);
        while (sentCount < MAX_IN_FLIGHT) {
            sendNext(client.socket);
        }
    }

    /** Sends a request. Each one has another tenant, so that no quota ends the warm-up; classes and plans alternate. */
    private void sendNext(RawSocket socket) {
        DecisionSettings.RequestClass requestClass =
                settings.classes().get(sentCount % settings.classes().size());
        String id = String.format("%016x", sentCount++);
        boolean isKeyed = requestClass.idempotency() == Idempotency.KEYED;
        boolean hasBody = requestClass.idempotency() != Idempotency.SAFE;
        Request request = new Request(
                id,
                id,
                requestClass.name(),
                settings.plans().get(sentCount % settings.plans().size()).name(),
                1,
                requestClass.deadlineMs(),
                isKeyed ? id : null,
                false,
                settings.gateways(),
                0,
                hasBody ? Unpooled.copiedBuffer(id, StandardCharsets.US_ASCII) : null);
        RequestEncoder.encode(request, requestClass.deadlineMs(), socket);
    }
}
