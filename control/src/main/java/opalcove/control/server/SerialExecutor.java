package opalcove.control.server;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** A single thread that owns streams, snapshots and decisions, and its clock. Methods may be called from any thread. */
final class SerialExecutor implements Executor, AutoCloseable {
    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(task, "control");
        thread.setDaemon(true);
        return thread;
    });
    private final long startedNs = System.nanoTime();

    /**
     * Creates the executor; the first task starts the thread, and cancelled timers are removed from the queue at once.
     */
    SerialExecutor() {
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Returns the time since the start on a monotonic clock, ms. */
    double nowMs() {
        return (System.nanoTime() - startedNs) / 1e6;
    }

    /**
     * Runs a task after all earlier tasks. A task submitted after the close is dropped, because the state it acts on is
     * closed.
     */
    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(() -> run(task));
        } catch (RejectedExecutionException e) {
            Logger.debug("task dropped: the executor is closed");
        }
    }

    /** Runs a task after a delay in ms. A negative delay counts as 0; a task with an infinite delay never runs. */
    ScheduledFuture<?> schedule(double delayMs, Runnable task) {
        return executor.schedule(() -> run(task), (long) Math.ceil(Math.max(0, delayMs) * 1000), TimeUnit.MICROSECONDS);
    }

    /** Logs the exception of a failed task, so that a failure on one stream does not affect the others. */
    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "a task of the control service failed");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
