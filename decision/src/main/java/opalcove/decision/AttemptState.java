package opalcove.decision;

/** One attempt of a request at a backend. Owned by the thread that delivers the instance's events. */
final class AttemptState {
    final BackendState backend;
    final double startedAtMs;

    /** The response time that was expected when the attempt started, ms. */
    final double expectedMs;

    boolean ended;

    /** Whether this attempt has been counted as a sign of pressure. */
    boolean countedAsPressure;

    /** Whether the backend may have executed the attempt: true until an outcome proves that it never ran. */
    boolean mayHaveRun = true;

    AttemptState(BackendState backend, double startedAtMs, double expectedMs) {
        this.backend = backend;
        this.startedAtMs = startedAtMs;
        this.expectedMs = expectedMs;
    }
}
