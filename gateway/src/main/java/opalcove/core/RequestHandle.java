package opalcove.core;

/** A request that was accepted and has no response yet. All calls are made on the event loop. */
public interface RequestHandle {
    /** Its client has left and is owed nothing any more. */
    void clientDisconnected();

    /** The streamed value that answers it cannot be passed on after all, and the front end has responded otherwise. */
    default void abortStreamedValue() {}

    /** How much of its time is left, ms; below 0 once it is over. */
    default double remainingMs() {
        return 0;
    }

    /** Another request's response waits for its own: it, too, ends before the process does. */
    void expedite();
}
