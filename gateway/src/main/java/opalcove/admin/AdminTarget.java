package opalcove.admin;

/**
 * The process that administrators inspect and drain. The methods are called on the admin server's thread and must not
 * block.
 */
public interface AdminTarget {
    /** Returns the reason why this process does not accept clients; null if it accepts them. */
    String notReady();

    /** Returns the metrics, one per line, each ended by a line feed. */
    String metrics();

    /** Returns the members of the cluster, one per line, this gateway first; null if membership is off. */
    default String members() {
        return null;
    }

    /** Starts a drain, or ends it. */
    void setDrainRequested(boolean requested);
}
