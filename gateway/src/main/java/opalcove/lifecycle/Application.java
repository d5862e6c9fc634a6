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
 * A gateway as a program of its own, whichever front it has: its event loop, its phases, and its end at SIGTERM. Made
 * on the thread that starts the program; what it starts runs on the event loop.
 */
public final class Application {
    /** Vert.x's property for the folder of its file cache. */
    private static final String FILE_CACHE = "vertx.cacheDirBase";
    /** How long the front may go on sending new connections after it was told that this gateway leaves, ms. */
    private static final long LEAVING_MS = 500;

    /**
     * The platform kills a process no sooner than so long after SIGTERM: the longest deadline, of which no more than this
     * counts, and this much more.
     */
    private static final long LONGEST_END_MS = 3000;

    private static final long END_GRACE_MS = 700;
    /** How much earlier the last answers are given, ms: the word to end may have come late, and answers take their way. */
    private static final long END_MARGIN_MS = 200;
    /** How long a start tries to listen where the machine lacks something for it, and how often, ms. */
    private static final long LISTENING_MS = 8000;

    private static final long LISTEN_AGAIN_MS = 50;
    /** Time for the last answer to leave the process, ms. */
    private static final long LAST_WORDS_MS = 50;

    static {
        LibraryLogging.install();
        // Vert.x works a name out for its file cache, which is off, and its first joined text is dear at a start.
        if (System.getProperty(FILE_CACHE) == null) {
            System.setProperty(FILE_CACHE, System.getProperty("java.io.tmpdir"));
        }
    }

    private final Vertx vertx = eventLoop();
    private final Lifecycle phases = new Lifecycle();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** Connections that may come to be open before the limit on them is looked at. */
    public static final int ACCEPTS_AT_ONCE = CoarseWaitTransport.ACCEPTS_AT_ONCE;

    /** One event loop, and no file cache: the file system may be read-only. */
    public static Vertx eventLoop() {
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
     * Up to when the event loop of the caller's context has read its sockets, on the scale of {@link System#nanoTime}; to be
     * asked on that loop alone.
     */
    public static LongSupplier readUpTo(Vertx vertx) {
        return CoarseWaitTransport.readUpTo(vertx);
    }

    /**
     * Since when what the event loop of the caller's context reads in this turn may have lain unread, on the scale of
     * {@link System#nanoTime}; to be asked on that loop alone.
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

    /** Has this told each time that the system refuses to accept a connection, on a thread of its own. */
    public static void whenAcceptRefused(Vertx vertx, Consumer<IOException> action) {
        CoarseWaitTransport.whenAcceptRefused(vertx, action);
    }

    /**
     * Limits the connections of a front's server that are open at once, for servers that listen from now on; the others
     * wait to be accepted.
     */
    public static void limitAccepted(Vertx vertx, int most) {
        CoarseWaitTransport.limitAccepted(vertx, most);
    }

    /**
     * Ends the listening of a front's servers once all that was connected has been taken; what was taken is served. Runs
     * the action then; gives false, and does nothing, on an event loop that is not of this program's kind.
     */
    public static boolean stopListening(Vertx vertx, Runnable then) {
        return CoarseWaitTransport.stopListening(vertx, then);
    }

    /** Runs the wiring on the event loop, and from now on ends well at SIGTERM. */
    public void start(Consumer<Vertx> wiring) {
        vertx.runOnContext(start -> wiring.accept(vertx));
        Runtime.getRuntime().addShutdownHook(new Thread(this::leave, "leave"));
    }

    /** The program's phases. */
    public Lifecycle phases() {
        return phases;
    }

    /** Opens the front and takes asks in once it listens; a program that cannot listen ends with 1. */
    public void open(Supplier<Future<Integer>> listen) {
        if (phases.current() != Phase.STARTING) {
            // It was told to end meanwhile. Guards clients against a front that opens then: what they send is lost.
            return;
        }
        listening(vertx, listen).onSuccess(port -> phases.enter(Phase.SERVING)).onFailure(e -> {
            Logger.error("cannot listen: {}", e.getMessage());
            Runtime.getRuntime().halt(1);
        });
    }

    /**
     * Listens; where this machine lacks something for it now (descriptors, memory, the address), again and again for a while.
     * Guards the start against ending for what the machine lacks for a moment.
     */
    public static <T> Future<T> listening(Vertx vertx, Supplier<Future<T>> listen) {
        return listening(vertx, listen, System.nanoTime());
    }

    private static <T> Future<T> listening(Vertx vertx, Supplier<Future<T>> listen, long since) {
        return listen.get().recover(failure -> {
            boolean over = System.nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(LISTENING_MS);
            if (over || !Errno.of(failure).isOfThisMachine()) {
                return Future.failedFuture(failure);
            }
            Logger.warn("cannot listen yet: {}", failure.getMessage());
            Promise<T> later = Promise.promise();
            vertx.setTimer(
                    LISTEN_AGAIN_MS, due -> listening(vertx, listen, since).onComplete(later));
            return later.future();
        });
    }

    /** What the phases at the end of the program do. */
    public void atEnd(RequestDispatcher gateway, Consumer<Runnable> drain) {
        phases.onChange(phase -> {
            switch (phase) {
                case LEAVING -> vertx.setTimer(LEAVING_MS, due -> phases.enter(Phase.DRAINING));
                case DRAINING -> {
                    gateway.beginShutdown(answersWithinMs(gateway.maxDeadlineMs()));
                    drain.accept(() -> phases.enter(Phase.STOPPED));
                    // Guards the end against a terminal that reads no answer: one that is owed an answer gets it first.
                    vertx.setTimer(
                            gateway.maxDeadlineMs() + LEAVING_MS,
                            due -> gateway.whenIdle(
                                    () -> vertx.setTimer(LAST_WORDS_MS, left -> phases.enter(Phase.STOPPED))));
                }
                case STOPPED -> {
                    Logger.info("counters\n{}", gateway.infoLines());
                    stopped.countDown();
                }
                default -> {}
            }
        });
    }

    /** From the end of leaving on: how long what is taken from there on may wait for its answer. */
    public static long answersWithinMs(long longestDeadlineMs) {
        return Math.max(0, Math.min(longestDeadlineMs, LONGEST_END_MS) + END_GRACE_MS - END_MARGIN_MS - LEAVING_MS);
    }

    /** SIGTERM: what is taken is answered first; then the program has ended well. */
    private void leave() {
        vertx.runOnContext(told -> phases.enter(Phase.LEAVING));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
