package opalcove.control.server;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** The one thread on which streams, views and decisions live, and its clock. */
public final class SerialExecutor implements Executor, AutoCloseable {
    private final ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1, work -> {
        Thread made = new Thread(work, "control");
        made.setDaemon(true);
        return made;
    });
    private final long startedAt = System.nanoTime();

    /** Cancelled timers leave the queue at once. */
    public SerialExecutor() {
        thread.setRemoveOnCancelPolicy(true);
    }

    /** Milliseconds of a clock that only goes forward. */
    public double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    /** Work that comes after the desk has closed is dropped: there is nobody left whom it concerns. */
    @Override
    public void execute(Runnable work) {
        try {
            thread.execute(() -> run(work));
        } catch (RejectedExecutionException e) {
            Logger.debug("the desk is closed");
        }
    }

    ScheduledFuture<?> in(double ms, Runnable work) {
        return thread.schedule(() -> run(work), (long) Math.ceil(Math.max(0, ms) * 1000), TimeUnit.MICROSECONDS);
    }

    /** Guards all other streams against one whose work fails. */
    private static void run(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            Logger.error(e, "a piece of work failed");
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
