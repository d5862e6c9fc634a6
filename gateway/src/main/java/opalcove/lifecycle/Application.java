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
 * The process of a gateway, independent of its client protocol: its event loop, its phases, and its graceful shutdown
 * at SIGTERM. It is created on the thread that starts the program, and its work runs on the event loop.
 */
public final class Application {
    /**
     * Lets Netty use a constructor of the JDK, which the manifests of the programs open to it ({@code Add-Opens}).
     */
    private static final String REFLECTION_PROPERTY = "io.netty.tryReflectionSetAccessible";
    /** The system property for the folder of Vert.x's file cache. */
    private static final String FILE_CACHE_PROPERTY = "vertx.cacheDirBase";
    /**
     * How long a load balancer may still send new connections after it was notified that this gateway leaves.
     */
    private static final long LEAVE_NOTICE_MS = 500;

    /**
     * The upper bound of the longest deadline when the time for the shutdown is computed. The platform kills a process
     * no sooner after SIGTERM than the longest deadline, limited to this time, plus {@link #SHUTDOWN_GRACE_MS}.
     */
    private static final long MAX_SHUTDOWN_MS = 3000;

    /** The time that the platform grants a process after SIGTERM in addition to the longest deadline. */
    private static final long SHUTDOWN_GRACE_MS = 700;
    /**
     * How much earlier than at that time the last responses are sent, because the signal may have arrived late and
     * responses take time to reach clients.
     */
    private static final long SHUTDOWN_MARGIN_MS = 200;
    /** How long a start retries to listen while the machine lacks a resource for it. */
    private static final long MAX_LISTEN_RETRY_MS = 8000;

    /** The interval of these retries. */
    private static final long LISTEN_RETRY_INTERVAL_MS = 50;
    /** The time for the last response to leave the process. */
    private static final long FLUSH_MS = 50;

    static {
        LibraryLogging.install();
        if (System.getProperty(REFLECTION_PROPERTY) == null) {
            // Netty then counts direct memory itself, and an allocation over the limit fails at once. One by the JDK
            // first waits for up to half a second for others to release memory, which only this event loop could do.
            System.setProperty(REFLECTION_PROPERTY, "true");
        }
        // Vert.x computes a name for its file cache even if that is off. Setting the property avoids the computation,
        // whose string concatenation, the first one of the process, is slow at a start.
        if (System.getProperty(FILE_CACHE_PROPERTY) == null) {
            System.setProperty(FILE_CACHE_PROPERTY, System.getProperty("java.io.tmpdir"));
        }
    }

    private final Vertx vertx = createEventLoop();
    private final Lifecycle phases = new Lifecycle();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** The number of connections that may be accepted before the limit on them is checked. */
    public static final int ACCEPTS_AT_ONCE = CoarseWaitTransport.ACCEPTS_AT_ONCE;

    /** Creates an event loop without a file cache, because the file system may be read-only. */
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
     * Returns a supplier of the {@link System#nanoTime} up to which the event loop of the caller's context has read its
     * sockets. The supplier must be called on that loop only.
     */
    public static LongSupplier readUpTo(Vertx vertx) {
        return CoarseWaitTransport.readUpTo(vertx);
    }

    /**
     * Returns a supplier of the {@link System#nanoTime} since which data that the event loop of the caller's context
     * reads in this turn may have lain unread. The supplier must be called on that loop only.
     */
    public static LongSupplier unreadSince(Vertx vertx) {
        return CoarseWaitTransport.unreadSince(vertx);
    }

    /**
     * Returns the {@link System#nanoTime} since which an accepted connection may have waited to be accepted, or the
     * current time if that is not known.
     */
    public static long waitingSince(Vertx vertx, AttributeMap connection) {
        return CoarseWaitTransport.waitingSince(vertx, connection);
    }

    /** Calls the action, on the acceptor's thread, each time the system fails to accept a connection. */
    public static void whenAcceptRefused(Vertx vertx, Consumer<IOException> action) {
        CoarseWaitTransport.whenAcceptRefused(vertx, action);
    }

    /**
     * Limits the open connections of each server that listens from now on; further connections wait to be accepted.
     */
    public static void limitAccepted(Vertx vertx, int maxConnections) {
        CoarseWaitTransport.limitAccepted(vertx, maxConnections);
    }

    /**
     * Stops listening once all connections in the system's backlog have been accepted; accepted connections are served.
     *
     * @param then runs once listening has stopped
     * @return false, without any effect, if the event loop was not created by {@link #createEventLoop}
     */
    public static boolean stopListening(Vertx vertx, Runnable then) {
        return CoarseWaitTransport.stopListening(vertx, then);
    }

    /** Runs the wiring on the event loop and installs the graceful shutdown at SIGTERM. */
    public void start(Consumer<Vertx> wiring) {
        vertx.runOnContext(start -> wiring.accept(vertx));
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "leave"));
    }

    /** Returns the phases of this process. */
    public Lifecycle phases() {
        return phases;
    }

    /** Listens for clients and then accepts requests; if listening fails, the process ends with exit code 1. */
    public void open(Supplier<Future<Integer>> listen) {
        if (phases.current() != Phase.STARTING) {
            // SIGTERM arrived during the start. A server that still opened now would lose the requests of its clients.
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
     * Listens and, while this machine lacks a resource for it (descriptors, memory, the address), retries for up to 8
     * s. Without the retries a start would fail because of a resource that is missing only for a moment.
     */
    public static <T> Future<T> listenWithRetries(Vertx vertx, Supplier<Future<T>> listen) {
        return listenWithRetries(vertx, listen, System.nanoTime());
    }

    private static <T> Future<T> listenWithRetries(Vertx vertx, Supplier<Future<T>> listen, long sinceNanos) {
        return listen.get().recover(failure -> {
            boolean isTimedOut = System.nanoTime() - sinceNanos > TimeUnit.MILLISECONDS.toNanos(MAX_LISTEN_RETRY_MS);
            if (isTimedOut || !Errno.of(failure).isOfThisMachine()) {
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
     * Registers the work of the shutdown phases.
     *
     * @param drain stops accepting connections, and runs its argument once all connections are closed
     */
    public void onShutdown(RequestDispatcher dispatcher, Consumer<Runnable> drain) {
        phases.onChange(phase -> {
            switch (phase) {
                case LEAVING -> vertx.setTimer(LEAVE_NOTICE_MS, due -> phases.enter(Phase.DRAINING));
                case DRAINING -> {
                    dispatcher.beginShutdown(shutdownBudgetMs(dispatcher.maxDeadlineMs()));
                    drain.accept(() -> phases.enter(Phase.STOPPED));
                    // A client that does not read its responses must not delay the exit beyond the longest deadline;
                    // pending requests get their responses first.
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

    /** Returns how long a request that is accepted after the leave notice may wait for its response, in ms. */
    public static long shutdownBudgetMs(long maxDeadlineMs) {
        return Math.max(
                0, Math.min(maxDeadlineMs, MAX_SHUTDOWN_MS) + SHUTDOWN_GRACE_MS - SHUTDOWN_MARGIN_MS - LEAVE_NOTICE_MS);
    }

    /** Handles SIGTERM: responds to all accepted requests first and then ends the process with exit code 0. */
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
