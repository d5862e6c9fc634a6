package opalcove.core;

/** The front end's side of one request. All calls are made on the event loop. */
public interface ResponseHandler {
    /**
     * Hands over the one final response. Its value is lent: it is valid during this call, and who keeps it copies it.
     */
    void onResponse(Response response);

    /**
     * The final response has begun: a long value, which the handler takes from now on; false where it cannot. No call of
     * {@link #onResponse} follows; the request is over with the value's end.
     */
    default boolean acceptsStreamedValue(StreamedValue value) {
        return false;
    }

    /**
     * Whether the client is still connected, having looked now where that is not known anyway. Called right before an
     * attempt is started: nothing is sent for a client that has left. It may lead to further requests being accepted.
     */
    default boolean isConnected() {
        return true;
    }

    /** The request is over and nothing of it will be written any more: what it holds may be released. */
    default void onReleased() {}
}
