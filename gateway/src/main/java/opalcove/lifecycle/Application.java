package opalcove.lifecycle;

import io.netty.util.AttributeMap;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.internal.VertxBootstrap;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import opalcove.core.RequestDispatcher;
import opalcove.lifecycle.Lifecycle.Phase;
import opalcove.metrics.Errno;
import opalcove.transport.CoarseWaitTransport;
import opalcove.transport.LibraryLogging;
import org.tinylog.Logger;

/**
 * The process of a gateway, whichever front end it has: its event loop, its phases, and its end at SIGTERM. Created on
 * the thread that starts the program; what it starts runs on the event loop.
 */
public final class Application {
    /** Vert.x's property for the folder of its file cache. */
    private static final String FILE_CACHE = "vertx.cacheDirBase";
    /**
     * How long a load balancer may go on sending new connections after it was notified that this gateway leaves, ms.
     */
    private static final long LEAVE_NOTICE_MS = 500;

    /**
     * The platform kills a process no sooner than this after SIGTERM: the longest deadline, of which no more than this
     * counts, and the grace, ms.
     */
    private static final long MAX_SHUTDOWN_MS = 3000;

    private static final long SHUTDOWN_GRACE_MS = 700;
    /**
     * How much earlier the last responses are given, ms: the signal may have come late, and responses take their way.
     */
    private static final long SHUTDOWN_MARGIN_MS = 200;
    /** How long a start tries to listen where the machine lacks something for it, and how often, ms. */
    private static final long LISTEN_RETRY_MS = 8000;

    private static final long LISTEN_RETRY_INTERVAL_MS = 50;
    /** Time for the last response to leave the process, ms. */
    private static final long FLUSH_MS = 50;

    static {
        LibraryLogging.install();
        // Vert.x computes a name for its file cache, which is off; its first string concatenation is slow at a start.
        if (System.getProperty(FILE_CACHE) == null) {
            System.setProperty(FILE_CACHE, System.getProperty("java.io.tmpdir"));
        }
    }

    private final Vertx vertx = createEventLoop();
    private final Lifecycle phases = new Lifecycle();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** Connections that may come to be open before the limit on them is checked. */
    public static final int ACCEPTS_AT_ONCE = CoarseWaitTransport.ACCEPTS_AT_ONCE;

    /** Creates one event loop, without a file cache: the file system may be read-only. */
    public static Vertx createEventLoop() {
        return VertxBootstrap.create()
                .options(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setFileSystemOptions(new FileSystemOptions()
                                .setFileCachingEnabled(false)
                                .setClassPathResolvingEnabled(false)))
                .transport(new CoarseWaitTransport())
                .init()
                .vertx();
    }

    /**
     * Up to when the event loop of the caller's context has read its sockets, on the scale of {@link System#nanoTime};
     * to be called on that loop alone.
     */
    public static LongSupplier readUpTo(Vertx vertx) {
        return CoarseWaitTransport.readUpTo(vertx);
    }

    /**
     * Since when what the event loop of the caller's context reads in this turn may have lain unread, on the scale of
     * {@link System#nanoTime}; to be called on that loop alone.
     */
    public static LongSupplier unreadSince(Vertx vertx) {
        return CoarseWaitTransport.unreadSince(vertx);
    }

    /**
     * Since when an accepted connection may have waited to be accepted, on the scale of {@link System#nanoTime}; now, where
     * that is not known.
     */
    public static long waitingSince(Vertx vertx, AttributeMap connection) {
        return CoarseWaitTransport.waitingSince(vertx, connection);
    }

    /** Calls the action each time that the system fails to accept a connection, on a thread of its own. */
    public static void whenAcceptRefused(Vertx vertx, Consumer<IOException> action) {
        CoarseWaitTransport.whenAcceptRefused(vertx, action);
    }

    /**
     * Limits the connections of a front end's server that are open at once, for servers that listen from now on; the
     * others wait to be accepted.
     */
    public static void limitAccepted(Vertx vertx, int maxConnections) {
        CoarseWaitTransport.limitAccepted(vertx, maxConnections);
    }

    /**
     * Stops listening once all connections that the system holds have been accepted; what was accepted is served. Runs
     * the action then; gives false, and does nothing, on an event loop that {@link #createEventLoop} has not made.
     */
    public static boolean stopListening(Vertx vertx, Runnable then) {
        return CoarseWaitTransport.stopListening(vertx, then);
    }

    /** Runs the wiring on the event loop, and shuts down gracefully at SIGTERM from now on. */
    public void start(Consumer<Vertx> wiring) {
        vertx.runOnContext(start -> wiring.accept(vertx));
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "leave"));
    }

    /** The program's phases. */
    public Lifecycle phases() {
        return phases;
    }

    /** Opens the front end and accepts requests once it listens; a program that cannot listen exits with 1. */
    public void open(Supplier<Future<Integer>> listen) {
        if (phases.current() != Phase.STARTING) {
            // SIGTERM came meanwhile. Guards clients against a front end that opens then: what they send is lost.
            return;
        }
        listenWithRetries(vertx, listen)
                .onSuccess(port -> phases.enter(Phase.SERVING))
                .onFailure(e -> {
                    Logger.error("cannot listen: {}", e.getMessage());
                    Runtime.getRuntime().halt(1);
                });
    }

    /**
     * Listens; where this machine lacks something for it now (descriptors, memory, the address), again and again for a
     * while. Guards the start against ending for what the machine lacks for a moment.
     */
    public static <T> Future<T> listenWithRetries(Vertx vertx, Supplier<Future<T>> listen) {
        return listenWithRetries(vertx, listen, System.nanoTime());
    }

    private static <T> Future<T> listenWithRetries(Vertx vertx, Supplier<Future<T>> listen, long sinceNanos) {
        return listen.get().recover(failure -> {
            boolean over = System.nanoTime() - sinceNanos > TimeUnit.MILLISECONDS.toNanos(LISTEN_RETRY_MS);
            if (over || !Errno.of(failure).isOfThisMachine()) {
                return Future.failedFuture(failure);
            }
            Logger.warn("cannot listen yet: {}", failure.getMessage());
            Promise<T> retried = Promise.promise();
            vertx.setTimer(LISTEN_RETRY_INTERVAL_MS, due -> listenWithRetries(vertx, listen, sinceNanos)
                    .onComplete(retried));
            return retried.future();
        });
    }

    /**
     * Sets what the phases at the end of the program do.
     *
     * @param drain stops accepting connections, and runs its argument once all are closed
     */
    public void onShutdown(RequestDispatcher dispatcher, Consumer<Runnable> drain) {
        phases.onChange(phase -> {
            switch (phase) {
                case LEAVING -> vertx.setTimer(LEAVE_NOTICE_MS, due -> phases.enter(Phase.DRAINING));
                case DRAINING -> {
                    dispatcher.beginShutdown(shutdownBudgetMs(dispatcher.maxDeadlineMs()));
                    drain.accept(() -> phases.enter(Phase.STOPPED));
                    // Guards the end against a client that reads no response: one that is owed a response gets it
                    // first.
                    vertx.setTimer(
                            dispatcher.maxDeadlineMs() + LEAVE_NOTICE_MS,
                            due -> dispatcher.whenIdle(
                                    () -> vertx.setTimer(FLUSH_MS, flushed -> phases.enter(Phase.STOPPED))));
                }
                case STOPPED -> {
                    Logger.info("counters\n{}", dispatcher.infoLines());
                    stopped.countDown();
                }
                default -> {}
            }
        });
    }

    /** How long a request that is accepted after the leave notice may wait for its response, ms. */
    public static long shutdownBudgetMs(long maxDeadlineMs) {
        return Math.max(
                0, Math.min(maxDeadlineMs, MAX_SHUTDOWN_MS) + SHUTDOWN_GRACE_MS - SHUTDOWN_MARGIN_MS - LEAVE_NOTICE_MS);
    }

    /** At SIGTERM: what was accepted is answered first; then the process exits with 0. */
    private void shutDown() {
        vertx.runOnContext(notified -> phases.enter(Phase.LEAVING));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
