package opalcove.core;

/** A request that was accepted and has no response yet. All methods are called on the event loop. */
public interface RequestHandle {
    /** Called when the client has disconnected; the request then needs no response. */
    void clientDisconnected();

    /**
     * Cancels the streamed value of this request because the front end cannot forward it and has sent another response.
     */
    default void abortStreamedValue() {}

    /** Returns the time left until the request's deadline, ms; below 0 after the deadline. */
    default double remainingMs() {
        return 0;
    }

    /**
     * Makes this request end before the process does, because the response of a later request waits for its response.
     */
    void expedite();
}
