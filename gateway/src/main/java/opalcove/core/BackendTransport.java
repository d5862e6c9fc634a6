package opalcove.core;

import java.util.function.Consumer;
import opalcove.config.Backend;

/** The connections to backends over some wire. All calls are made on the event loop. */
public interface BackendTransport {
    /** An attempt in flight. */
    interface Attempt {
        /** Stops waiting. The result follows once the backend can see that the attempt was cancelled. */
        void cancel();
    }

    /** Receives what becomes of an attempt. */
    interface AttemptListener {
        /**
         * A value too long to be gathered has begun to come, before the result; true where it is taken. Where it is
         * not, the connection ends as one that cannot be read.
         */
        default boolean acceptsStreamedValue(StreamedValue value) {
            return false;
        }

        /**
         * Called when a connection is up, right before anything is written to it: whether the attempt is still to be
         * made. Where it is not, it ends as not sent.
         */
        default boolean isStillWanted() {
            return true;
        }

        /**
         * Called right before the attempt's bytes leave, which pass on this deadline to the backend: whether they
         * still may. Where not, the connection is closed and the attempt ends as not sent.
         */
        default boolean maySend(double deadlineMs) {
            return true;
        }

        /**
         * Called once, perhaps before the call that starts the attempt has returned. A value is lent: it is valid
         * during this call, and who keeps it copies it.
         */
        void onResult(AttemptResult result);
    }

    /** Starts an attempt; this gateway waits no longer than timeoutMs. */
    Attempt startAttempt(Backend backend, Request request, double timeoutMs, AttemptListener listener);

    /**
     * Checks whether a backend can be reached, by opening a connection on which nothing is sent, and reports it once,
     * perhaps before this call returns.
     */
    void checkReachable(Backend backend, Consumer<Boolean> reached);

    /** Calls the action each time that no connection could be made for lack of something on this machine. */
    default void onLocalConnectFailure(Consumer<Throwable> action) {}

    /** The backend takes no new requests, or has moved: connections to it are closed once they carry nothing. */
    void retire(Backend backend);

    /** How many connections are open or being opened. */
    int openConnections();

    /** How many connections carry nothing and may be used at once. */
    int idleConnections();
}
