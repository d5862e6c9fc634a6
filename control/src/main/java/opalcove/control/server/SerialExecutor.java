package opalcove.control.server;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** The one thread that owns streams, snapshots and decisions, and its clock. May be called from any thread. */
final class SerialExecutor implements Executor, AutoCloseable {
    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(task, "control");
        thread.setDaemon(true);
        return thread;
    });
    private final long startedNs = System.nanoTime();

    /** Starts the thread with the first task; cancelled timers leave the queue at once. */
    SerialExecutor() {
        executor.setRemoveOnCancelPolicy(true);
    }

    /** The time in milliseconds since the start, on a monotonic clock. */
    double nowMs() {
        return (System.nanoTime() - startedNs) / 1e6;
    }

    /** Runs a task after those before it. After the close it is dropped: nobody is left whom it concerns. */
    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(() -> run(task));
        } catch (RejectedExecutionException e) {
            Logger.debug("task dropped: the executor is closed");
        }
    }

    /** Runs a task after a delay; a delay below 0 counts as 0, and an infinite one as never. */
    ScheduledFuture<?> schedule(double delayMs, Runnable task) {
        return executor.schedule(() -> run(task), (long) Math.ceil(Math.max(0, delayMs) * 1000), TimeUnit.MICROSECONDS);
    }

    /** Guards all other streams against one whose task fails. */
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
