package opalcove.admin;

/** The process that administrators inspect and drain. Its methods are called on the admin server's thread and must not block. */
public interface AdminTarget {
    /** Why this process takes no clients; null where it takes them. */
    String notReady();

    /** The metrics, one a line, each ended by a line feed. */
    String metrics();

    /** The members of the cluster, one a line, this gateway first; null where membership is off. */
    default String members() {
        return null;
    }

    /** Begins a drain, or ends it. */
    void setDrainRequested(boolean requested);
}
