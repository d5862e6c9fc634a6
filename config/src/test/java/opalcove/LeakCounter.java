package opalcove;

import io.netty.util.ResourceLeakDetector;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Netty's leak detector that counts its reports; the parent pom sets it to its strictest level for the tests. A buffer
 * that was dropped without a release is reported once it has been garbage collected and another buffer is allocated.
 */
public final class LeakCounter<T> extends ResourceLeakDetector<T> {
    private static final AtomicInteger REPORTED = new AtomicInteger();

    public LeakCounter(Class<?> resource, int samplingInterval) {
        super(resource, samplingInterval);
    }

    /** Netty's factory looks up this constructor as well. */
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

    /**
     * Forces garbage collection and allocates buffers, so that pending leaks are reported; returns the number of leaks
     * of this process so far.
     */
    public static int countLeaks() {
        for (int collection = 0; collection < 3; collection++) {
            System.gc();
            for (int allocation = 0; allocation < 50; allocation++) {
                io.netty.buffer.PooledByteBufAllocator.DEFAULT.directBuffer(16).release();
            }
        }
        return REPORTED.get();
    }
}
