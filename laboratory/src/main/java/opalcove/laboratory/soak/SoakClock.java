package opalcove.laboratory.soak;

/** Milliseconds since the run's start, by the monotonic clock. */
final class SoakClock {
    private final long startedAt = System.nanoTime();

    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }
}
