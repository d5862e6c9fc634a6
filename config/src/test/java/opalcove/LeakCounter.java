package opalcove;

import io.netty.util.ResourceLeakDetector;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Netty's leak detector, at its strictest in the tests (see the parent pom), which counts what it reports. A buffer that
 * was let go of without a release is reported once it is collected and another one is made.
 */
public final class LeakCounter<T> extends ResourceLeakDetector<T> {
    private static final AtomicInteger REPORTED = new AtomicInteger();

    public LeakCounter(Class<?> resource, int samplingInterval) {
        super(resource, samplingInterval);
    }

    /** Netty's factory looks for this one, too. */
    public LeakCounter(Class<?> resource, int samplingInterval, long maxActive) {
        super(resource, samplingInterval);
    }

    @Override
    protected void reportTracedLeak(String resource, String records) {
        REPORTED.incrementAndGet();
        super.reportTracedLeak(resource, records);
    }

    @Override
    protected void reportUntracedLeak(String resource) {
        REPORTED.incrementAndGet();
        super.reportUntracedLeak(resource);
    }

    /** Has garbage collected and looked through; gives the leaks of this process so far. */
    public static int found() {
        for (int i = 0; i < 3; i++) {
            System.gc();
            for (int k = 0; k < 50; k++) {
                io.netty.buffer.PooledByteBufAllocator.DEFAULT.directBuffer(16).release();
            }
        }
        return REPORTED.get();
    }
}
