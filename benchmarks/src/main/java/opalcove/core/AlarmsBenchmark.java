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

/** Setting an alarm and cancelling the earliest, with so many set: what an ask does three times. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
public class AlarmsBenchmark {
    @Param({"100", "10000"})
    private int set;

    private final Vertx vertx = Vertx.vertx();
    private final TimerQueue alarms = new TimerQueue(vertx, new Clock());
    private TimerQueue.Timer[] ring;
    private int next;

    private static final class Quiet extends TimerQueue.Timer {
        @Override
        void onExpiry() {
            // set for far later than the benchmark lasts
        }
    }

    /** Sets the timers that stay. */
    @Setup
    public void start() {
        ring = new TimerQueue.Timer[set];
        for (int i = 0; i < set; i++) {
            ring[i] = new Quiet();
            alarms.schedule(3_600_000 + i, ring[i]);
        }
    }

    /** Closes Vert.x. */
    @TearDown
    public void stop() {
        vertx.close();
    }

    /** Sets a timer and cancels it. */
    @Benchmark
    public int setAndCancel() {
        TimerQueue.Timer earliest = ring[next];
        alarms.cancel(earliest);
        ring[next] = new Quiet();
        alarms.schedule(3_600_000 + set, ring[next]);
        next = (next + 1) % set;
        return alarms.size();
    }
}
