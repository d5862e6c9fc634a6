package opalcove.core;

import java.util.function.Consumer;
import opalcove.config.Backend;

/** The links to app nodes over some wire. */
public interface BackendTransport {
    /** An attempt under way. */
    interface Attempt {
        /** Stops waiting. The end follows once the node can see that it was given up. */
        void cancel();
    }

    /** Who waits for the end of an attempt. */
    interface AttemptListener {
        /**
         * A long value has begun to come, before the end; tells whether it is taken. Where it is not, the link ends as one
         * that cannot be read.
         */
        default boolean acceptsStreamedValue(StreamedValue value) {
            return false;
        }

        /**
         * Asked when a link has come up, right before anything is written to it: whether the attempt is still to be made.
         * Where it is not, it ends as not sent.
         */
        default boolean isStillWanted() {
            return true;
        }

        /**
         * Asked right before the attempt's bytes leave, which tell its node to wait so long: whether they still may. Where
         * not, the link is closed and the attempt ends as not sent.
         */
        default boolean maySend(double toldMs) {
            return true;
        }

        /**
         * Comes once, perhaps before the call that starts the attempt has returned. A value is lent: it holds for the
         * time of this call, and who keeps it copies it.
         */
        void onResult(AttemptResult end);
    }

    /** Starts an attempt; waitMs is how long this gateway will wait at most. */
    Attempt startAttempt(Backend backend, Request request, double waitMs, AttemptListener ended);

    /**
     * Looks whether a node can be reached, by opening a link to it on which nothing is sent, and tells the answer once,
     * perhaps before this call returns.
     */
    void checkReachable(Backend backend, Consumer<Boolean> reached);

    /** Has this told each time that no connection could be made for want of something on this machine. */
    default void onLocalConnectFailure(Consumer<Throwable> action) {}

    /** The node takes no new work, or has moved: links to it are closed once they carry nothing. */
    void retire(Backend backend);

    /** How many there are, or are being opened. */
    int openConnections();

    /** How many of them carry nothing and may be used at once. */
    int idleConnections();
}
