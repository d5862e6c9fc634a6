package opalcove.core;

/** Receives the response to one request, for the front end. All methods are called on the event loop. */
public interface ResponseHandler {
    /**
     * Called once with the final response. Its value is valid only during this call; a handler that needs it later
     * copies it.
     */
    void onResponse(Response response);

    /**
     * Called instead of {@link #onResponse} when the final response is a long value whose first bytes have arrived.
     * Returns whether the handler accepts the value; if it does, the request ends with the value.
     */
    default boolean acceptsStreamedValue(StreamedValue value) {
        return false;
    }

    /** Whether the response would be written at once, because no response of an earlier request is due before it. */
    default boolean isNextResponse() {
        return true;
    }

    /**
     * Returns what is known of the client now. If that is not known without reading, the handler reads the connection.
     * Called right before an attempt is started, so that nothing is sent for a client that may have disconnected.
     * Reading may cause further requests to be accepted.
     */
    default ClientState clientState() {
        return ClientState.CONNECTED;
    }

    /**
     * Called when the request has ended and nothing of it will be written any more, so that its resources may be
     * released.
     */
    default void onReleased() {}
}
