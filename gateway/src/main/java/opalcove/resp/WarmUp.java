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
 * Plays asks through the program before it opens: a front, a core and links of their own, and a stand-in for an app
 * node, over UNIX sockets in a private folder. Guards the first terminals against a program that is still cold, with
 * classes to load and code to compile: on a part of a core their asks waited for up to a second.
 */
public final class WarmUp {
    static final int ASKS = 500;
    /** Asks under way at a time. */
    private static final int WINDOW = 2;

    private static final int NODES = 3;
    private static final int MOST_LINKS = 64;

    private final DecisionSettings settings;
    private final Promise<Void> played = Promise.promise();
    private int sent;
    private volatile int answered;
    private volatile int most = ASKS;

    private WarmUp(DecisionSettings settings) {
        this.settings = settings;
    }

    /**
     * Plays and closes the Vert.x instance, made only if there is a play, all within the budget; what has not closed by
     * then closes by itself. A failure costs nothing but time. Gives the number of asks that were answered.
     */
    public static int play(Supplier<Vertx> loop, DecisionSettings settings, TimeBudget budget) {
        WarmUp rehearsal = new WarmUp(settings);
        try {
            Path folder = privateFolder();
            Path backend = folder.resolve("node");
            Path front = folder.resolve("front");
            if (budget.remainingMs() == 0 || !reached(backend)) {
                Files.delete(folder);
                Logger.info("no rehearsal: nobody is reached at a UNIX socket here, or there is no time");
                return 0;
            }
            Vertx vertx = loop.get();
            try {
                vertx.runOnContext(start -> rehearsal
                        .open(
                                vertx,
                                SocketAddress.domainSocketAddress(backend.toString()),
                                SocketAddress.domainSocketAddress(front.toString()))
                        .onFailure(rehearsal.played::tryFail));
                rehearsal.end(budget);
            } finally {
                Future<Void> closed = vertx.close();
                try {
                    closed.toCompletionStage().toCompletableFuture().get(budget.remainingMs(), TimeUnit.MILLISECONDS);
                } finally {
                    for (Path each : List.of(backend, front, folder)) {
                        Files.deleteIfExists(each);
                    }
                }
            }
        } catch (TimeoutException e) {
            Logger.info("the rehearsal did not end in its time");
        } catch (IOException | ExecutionException e) {
            Logger.warn("no rehearsal: {}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return rehearsal.answered;
    }

    /**
     * Makes a folder that only this user may enter; one of that name must not be there. Not by Files.createTempDirectory,
     * whose names are drawn by a SecureRandom: its setting up took 20 ms of a start on a whole core.
     */
    private static Path privateFolder() throws IOException {
        String name = "rehearsal-" + ProcessHandle.current().pid() + "-" + Long.toHexString(System.nanoTime());
        return Files.createDirectory(
                Path.of(System.getProperty("java.io.tmpdir"), name),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
    }

    /**
     * Whether a UNIX socket in this folder is any good. Guards the start on platforms that let one listen there and
     * nobody come: an event loop, front and links were set up for nothing, a quarter of the start's processor time.
     */
    static boolean reached(Path at) throws IOException {
        UnixDomainSocketAddress address = UnixDomainSocketAddress.of(at);
        try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            server.bind(address);
            try (SocketChannel caller = SocketChannel.open(address)) {
                return caller.isConnected();
            }
        } catch (IOException | UnsupportedOperationException e) {
            return false;
        } finally {
            Files.deleteIfExists(at);
        }
    }

    /**
     * Waits for the end of the play, or ends it when three quarters of what is left are over: asks no more, and waits for
     * what is under way. Guards the log and the close against lines that are still being dialled to a node that closes.
     */
    private void end(TimeBudget budget) throws ExecutionException, InterruptedException, TimeoutException {
        CompletableFuture<Void> over = played.future().toCompletionStage().toCompletableFuture();
        try {
            over.get(budget.remainingMs() * 3 / 4, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            Logger.debug("the rehearsal took its time");
            most = 0;
            over.get(budget.remainingMs() / 2, TimeUnit.MILLISECONDS);
        }
    }

    private Future<?> open(Vertx vertx, SocketAddress backend, SocketAddress at) {
        ConnectionPool links =
                new ConnectionPool(vertx, settings, new RespConnector(vertx, settings, address -> backend), MOST_LINKS);
        RequestDispatcher gateway = new RequestDispatcher(vertx, new Clock(), settings, 1, links);
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            backends.add(
                    new Backend(new Endpoint("rehearsal-" + i, settings.zone(), "", i, EndpointState.UP, 1, 0), ""));
        }
        gateway.endpointsChanged(true, backends);
        return vertx.createNetServer()
                .connectHandler(WarmUp::work)
                .listen(backend)
                .compose(open -> new RespServer(vertx, gateway, new Lifecycle(), WINDOW).listen(at))
                .compose(open -> vertx.createNetClient().connect(at))
                .onSuccess(this::request);
    }

    /** A party of the play: hears values, and writes at the end of each turn. */
    private static final class Party implements RawSocket.User, RespDecoder.User {
        private final RawSocket raw;
        private final RespDecoder reader = new RespDecoder(5, this);
        private final BiConsumer<RespDecoder, RawSocket> values;
        private final Consumer<String> errors;

        Party(NetSocket socket, BiConsumer<RespDecoder, RawSocket> values, Consumer<String> errors) {
            this.values = values;
            this.errors = errors;
            raw = new RawSocket(socket, false, this);
            // Else Vert.x logs a connection that breaks at the end of the play as an error, without a word on which it
            // was.
            socket.exceptionHandler(e -> Logger.debug("a connection of the rehearsal broke: {}", e.getMessage()));
            socket.closeHandler(closed -> reader.stop());
        }

        @Override
        public void read(ByteBuf bytes) {
            reader.take(bytes);
        }

        @Override
        public void value(RespDecoder value) {
            values.accept(value, raw);
        }

        @Override
        public void broken(String reason) {
            errors.accept(reason);
        }
    }

    /** An app node that gives each ask's id as its value. */
    private static void work(NetSocket socket) {
        new Party(
                socket,
                (command, raw) -> {
                    String id = command.text(2);
                    ByteBuf out = raw.room(5 * Resp.HEAD + id.length());
                    Resp.head(out, '*', 3);
                    Resp.string(out, id);
                    Resp.string(out, "used=1,cost=1");
                    Resp.string(out, "latency_ms=1.5");
                },
                reason -> socket.close());
    }

    private void request(NetSocket socket) {
        Party client = new Party(
                socket,
                (answer, raw) -> {
                    answered++;
                    if (sent < most) {
                        next(raw);
                    } else if (answered == sent) {
                        played.tryComplete();
                    }
                },
                played::tryFail);
        while (sent < WINDOW) {
            next(client.raw);
        }
    }

    /** Each ask from another operator, so that no quota ends the play; classes and plans in turn. */
    private void next(RawSocket raw) {
        DecisionSettings.RequestClass c =
                settings.classes().get(sent % settings.classes().size());
        String id = String.format("%016x", sent++);
        RequestDecoder.write(
                new Request(
                        id,
                        id,
                        c.name(),
                        settings.plans().get(sent % settings.plans().size()).name(),
                        1,
                        c.deadlineMs(),
                        c.idempotency() == Idempotency.KEYED ? id : null,
                        false,
                        settings.gateways(),
                        0,
                        c.idempotency() == Idempotency.SAFE
                                ? null
                                : Unpooled.copiedBuffer(id, StandardCharsets.US_ASCII)),
                c.deadlineMs(),
                raw);
    }
}
