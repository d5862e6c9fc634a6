package opalcove.lifecycle;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import opalcove.lifecycle.StartupTimes.StartPhase;
import org.testng.annotations.Test;

/** Tests the log line with the times of a start. */
public class StartupTimesTest {
    @Test
    public void measuresEachPhaseSincePreviousOneAndOnlyOnce() {
        AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(7));
        StartupTimes times = new StartupTimes(clock::get);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(30));
        times.reached(StartPhase.CONFIGURATION_READ);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(400));
        times.reached(StartPhase.LISTENING);
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
        times.reached(StartPhase.CONFIGURATION_READ);
        assertEquals(times.logLine(), "started in 430 ms: CONFIGURATION_READ 30, FRONT_OPEN 400");
    }
}
