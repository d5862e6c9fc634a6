package opalcove.configlease;

/**
 * What a gateway acts on: the version that it holds, and how. untilMs is when a full standing ends unless it is confirmed
 * anew, by the gateway's own clock; 0 where it is not full.
 */
public record LeaseState(long version, Mode mode, long untilMs) {
    /** How far a version may be acted on. */
    public enum Mode {
        /** No version is known yet. */
        NONE,
        /** The version is known, but not confirmed of late: only what cannot contradict another version is kept. */
        STRICT,
        /** The version was the newest within a lease's time: all of it holds. */
        FULL
    }
}
