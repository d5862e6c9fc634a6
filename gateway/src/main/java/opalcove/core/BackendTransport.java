package opalcove.core;

import java.util.function.Consumer;
import opalcove.config.Backend;

/** Connections to backends over one wire protocol. All methods are called on the event loop. */
public interface BackendTransport {
    /** An attempt in flight. */
    interface Attempt {
        /** Cancels the attempt. Its result is reported once the cancellation is visible to the backend. */
        void cancel();
    }

    /** Receives the events of an attempt. */
    interface AttemptListener {
        /**
         * Called before the result when the first bytes of a value arrive that is too long to be buffered. Returns
         * whether the listener accepts the value; if it does not, the connection is closed as if its input could not be
         * read.
         */
        default boolean acceptsStreamedValue(StreamedValue value) {
            return false;
        }

        /** Whether the response of the request would be written at once. */
        default boolean isNextResponse() {
            return true;
        }

        /**
         * Called when a connection has been established, right before anything is written to it. Returns whether the
         * attempt is still to be made; if not, it ends as not sent.
         */
        default boolean isStillWanted() {
            return true;
        }

        /**
         * Called right before the attempt's bytes are written, which forward this deadline to the backend. Returns
         * whether they may still be written; if not, the connection is closed and the attempt ends as not sent.
         *
         * @param deadlineMs the forwarded deadline: the time that the backend has left, ms
         */
        default boolean maySend(double deadlineMs) {
            return true;
        }

        /**
         * Called once with the result, possibly before the call that starts the attempt has returned. The result's
         * value is valid only during this call; a listener that needs it later copies it.
         */
        void onResult(AttemptResult result);
    }

    /** Starts an attempt; this gateway waits for its result no longer than {@code timeoutMs}. */
    Attempt startAttempt(Backend backend, Request request, double timeoutMs, AttemptListener listener);

    /**
     * Checks whether a backend can be reached, by opening a connection on which nothing is sent. The result is reported
     * once, possibly before this call returns.
     */
    void checkReachable(Backend backend, Consumer<Boolean> reached);

    /**
     * Registers an action that runs each time a connection could not be opened for lack of a resource of this machine.
     */
    default void onLocalConnectFailure(Consumer<Throwable> action) {}

    /**
     * Closes the connections to a backend, each once it carries nothing, because the backend takes no new requests or
     * has a new address.
     */
    void retire(Backend backend);

    /** Returns how many connections are open or being opened. */
    int openConnections();

    /** Returns how many connections carry no attempt and may be used at once. */
    int idleConnections();
}
