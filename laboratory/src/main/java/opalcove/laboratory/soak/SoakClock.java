package opalcove.laboratory.soak;

/** Measures the time since the run's start with the monotonic clock, ms. */
final class SoakClock {
    private final long startedAt = System.nanoTime();

    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }
}
