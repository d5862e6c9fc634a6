package opalcove.backend;

import opalcove.core.AttemptResult;
import opalcove.core.Request;
import opalcove.core.StreamedValue;

/**
 * One connection to a backend over some wire protocol. It carries one attempt at a time. Used on the event loop only.
 */
public interface BackendConnection {
    /** Sets the receiver of the connection's events; called once, before anything is sent. */
    void setListener(Listener listener);

    /**
     * Whether the connection is still usable, after reading the input that has arrived. What the backend did, such as
     * closing the connection or sending more than was requested, may not have been read in this turn of the event loop
     * yet.
     */
    default boolean isAlive() {
        return true;
    }

    /**
     * Sends an attempt with this deadline, by the end of this turn of the event loop.
     *
     * @param deadlineMs the time that the backend has left, ms
     */
    void send(Request request, double deadlineMs);

    /** Closes the connection. An attempt whose bytes still wait for the end of this turn is not sent any more. */
    void close();

    /** Receives the events of a connection. */
    interface Listener {
        /**
         * Called when the first bytes of a value that is too long to be buffered arrive in reply to the attempt.
         * Returns whether the listener accepts the value.
         */
        boolean acceptsStreamedValue(StreamedValue value);

        /** Whether the response that the reply brings would be written to its client at once. */
        default boolean isNextResponse() {
            return true;
        }

        /**
         * Called with the backend's reply to an attempt. A reply that cannot be decoded closes the connection instead;
         * that attempt may have run.
         */
        void onReply(AttemptResult result);

        /**
         * Called after each read that leaves a part of a reply to be completed. If no attempt awaits a reply, the
         * listener closes the connection.
         */
        default void onPartialReply() {}

        /**
         * Called right before the bytes of an attempt are written, at the end of the turn that sent it, by connections
         * that wait for the end of the turn. Returns whether they may still be written; if not, the connection is
         * closed and nothing of the attempt is sent.
         */
        default boolean maySend() {
            return true;
        }

        /**
         * Called when the attempt's last byte was not written and never will be, so that the backend cannot have run
         * the attempt.
         */
        void onWriteFailed();

        /** Called once, as the last event, when the connection has closed. */
        void onClosed();
    }
}
