package opalcove.decision;

/** The status with which an attempt ended. */
public enum AttemptStatus {
    SERVED(false),
    ERROR(false),
    REJECTED(true),
    TIMED_OUT(false),
    UNREACHABLE(true),
    BROKEN(false),
    CANCELLED(false),
    NOT_SENT(true);

    /** Whether this status proves that the backend never executed the attempt. */
    public final boolean neverRan;

    AttemptStatus(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
