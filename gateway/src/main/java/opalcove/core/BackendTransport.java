package opalcove.core;

import java.util.function.Consumer;
import opalcove.config.Backend;

/** The links to app nodes over some wire. */
public interface BackendTransport {
    /** An attempt under way. */
    interface Attempt {
        /** Stops waiting. The end follows once the node can see that it was given up. */
        void giveUp();
    }

    /** Who waits for the end of an attempt. */
    interface Ended {
        /**
         * A long value has begun to come, before the end; tells whether it is taken. Where it is not, the link ends as one
         * that cannot be read.
         */
        default boolean began(StreamedValue value) {
            return false;
        }

        /**
         * Asked when a link has come up, right before anything is written to it: whether the attempt is still to be made.
         * Where it is not, it ends as not sent.
         */
        default boolean stillWanted() {
            return true;
        }

        /**
         * Asked right before the attempt's bytes leave, which tell its node to wait so long: whether they still may. Where
         * not, the link is closed and the attempt ends as not sent.
         */
        default boolean mayLeave(double toldMs) {
            return true;
        }

        /**
         * Comes once, perhaps before the call that starts the attempt has returned. A value is lent: it holds for the
         * time of this call, and who keeps it copies it.
         */
        void ended(AttemptResult end);
    }

    /** Starts an attempt; waitMs is how long this gateway will wait at most. */
    Attempt attempt(Backend backend, Request request, double waitMs, Ended ended);

    /**
     * Looks whether a node can be reached, by opening a link to it on which nothing is sent, and tells the answer once,
     * perhaps before this call returns.
     */
    void probe(Backend backend, Consumer<Boolean> reached);

    /** Has this told each time that no connection could be made for want of something on this machine. */
    default void whenConnectFailsHere(Consumer<Throwable> action) {}

    /** The node takes no new work, or has moved: links to it are closed once they carry nothing. */
    void forget(Backend backend);

    /** How many there are, or are being opened. */
    int open();

    /** How many of them carry nothing and may be used at once. */
    int resting();
}
