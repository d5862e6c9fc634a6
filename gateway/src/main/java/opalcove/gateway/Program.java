package opalcove.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.internal.VertxBootstrap;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import opalcove.decision.Admission;
import opalcove.gateway.Phases.Phase;
import opalcove.loop.PatientTransport;
import org.tinylog.Logger;

/**
 * A gateway as a program of its own, whichever front it has: its event loop, its phases, and its end at SIGTERM. Made
 * on the thread that starts the program; what it starts runs on the event loop.
 */
public final class Program {
    /** How long the front may go on sending new connections after it was told that this gateway leaves, ms. */
    private static final long LEAVING_MS = 500;

    private final Vertx vertx = eventLoop();
    private final Phases phases = new Phases();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** One event loop, and no file cache: the file system may be read-only. */
    public static Vertx eventLoop() {
        return VertxBootstrap.create().options(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(new FileSystemOptions().setFileCachingEnabled(false)
                        .setClassPathResolvingEnabled(false)))
                .transport(new PatientTransport()).init().vertx();
    }

    /**
     * Ends the listening of a front's servers once all that was connected has been taken; what was taken is served. Runs
     * the action then; gives false, and does nothing, on an event loop that is not of this program's kind.
     */
    public static boolean stopListening(Vertx vertx, Runnable then) {
        return PatientTransport.stopListening(vertx, then);
    }

    /** Runs the wiring on the event loop, and from now on ends well at SIGTERM. */
    public void start(Consumer<Vertx> wiring) {
        vertx.runOnContext(start -> wiring.accept(vertx));
        Runtime.getRuntime().addShutdownHook(new Thread(this::leave, "leave"));
    }

    public Phases phases() {
        return phases;
    }

    /** Takes asks in once the front listens; a program that cannot listen ends with 1. */
    public void open(Future<Integer> listening) {
        listening.onSuccess(port -> phases.enter(Phase.SERVING)).onFailure(e -> {
            Logger.error("cannot listen: {}", e.getMessage());
            Runtime.getRuntime().halt(1);
        });
    }

    /** What the phases at the end of the program do. */
    public void atEnd(Gateway gateway, Consumer<Runnable> drain) {
        phases.watch(phase -> {
            switch (phase) {
                case LEAVING -> vertx.setTimer(LEAVING_MS, due -> phases.enter(Phase.DRAINING));
                case DRAINING -> {
                    drain.accept(() -> phases.enter(Phase.STOPPED));
                    // Guards the end against a terminal that reads no answer: by then none is owed any more.
                    vertx.setTimer(longestWait(gateway) + LEAVING_MS, due -> phases.enter(Phase.STOPPED));
                }
                case STOPPED -> {
                    Logger.info("counters\n{}", gateway.figures());
                    stopped.countDown();
                }
                default -> { }
            }
        });
    }

    private static long longestWait(Gateway gateway) {
        return (long) gateway.settings().classes().stream().mapToDouble(Admission.RequestClass::deadlineMs).max()
                .orElse(0);
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
