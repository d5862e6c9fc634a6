package opalcove.core;

import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import opalcove.config.Clock;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/** Measures cancelling the earliest of many timers and scheduling a new one; each request does this three times. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
public class AlarmsBenchmark {
    /** The number of scheduled timers. JMH uses the field name as the name of the parameter. */
    @Param({"100", "10000"})
    private int set;

    private final Vertx vertx = Vertx.vertx();
    private final TimerQueue timerQueue = new TimerQueue(vertx, new Clock());
    private TimerQueue.Timer[] timers;
    private int next;

    private static final class NoOpTimer extends TimerQueue.Timer {
        @Override
        void onExpiry() {
            // Never called: the timers expire an hour from now, long after the benchmark.
        }
    }

    /** Schedules the initial timers. */
    @Setup
    public void start() {
        timers = new TimerQueue.Timer[set];
        for (int i = 0; i < set; i++) {
            timers[i] = new NoOpTimer();
            timerQueue.schedule(3_600_000 + i, timers[i]);
        }
    }

    /** Closes Vert.x. */
    @TearDown
    public void stop() {
        vertx.close();
    }

    /** Cancels the earliest timer and schedules a new one. */
    @Benchmark
    public int setAndCancel() {
        TimerQueue.Timer earliest = timers[next];
        timerQueue.cancel(earliest);
        timers[next] = new NoOpTimer();
        timerQueue.schedule(3_600_000 + set, timers[next]);
        next = (next + 1) % set;
        return timerQueue.size();
    }
}
