package opalcove.decision;

/** How an attempt ended. */
public enum AttemptStatus {
    SERVED(false),
    ERROR(false),
    REJECTED(true),
    TIMED_OUT(false),
    UNREACHABLE(true),
    BROKEN(false),
    CANCELLED(false),
    NOT_SENT(true);

    /** True where this end proves that the attempt never ran. */
    public final boolean neverRan;

    AttemptStatus(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
