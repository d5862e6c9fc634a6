package opalcove.backend;

import opalcove.core.AttemptResult;
import opalcove.core.Request;
import opalcove.core.StreamedValue;

/** One connection to a backend, over some wire. It carries one attempt at a time. Used on the event loop only. */
public interface BackendConnection {
    /** Sets the receiver of what comes of this connection; called once, before anything is sent. */
    void setListener(Listener listener);

    /**
     * Whether the connection is still there, having read what has come of it. What its backend has done (closed it, sent
     * more than it was asked for) may not have been read in this turn yet.
     */
    default boolean isAlive() {
        return true;
    }

    /** Sends an attempt with this deadline, by the end of this turn of the event loop. */
    void send(Request request, double deadlineMs);

    /** Ends the connection; an attempt whose bytes still wait for the end of this turn is not sent any more. */
    void close();

    /** Receives what comes of a connection. */
    interface Listener {
        /** A value too long to be gathered has begun to come in reply to the attempt; true where it is taken. */
        boolean acceptsStreamedValue(StreamedValue value);

        /** The backend's reply to an attempt. What cannot be read ends the connection: that attempt may have run. */
        void onReply(AttemptResult result);

        /**
         * Called right before an attempt that was sent leaves, at the end of its turn, by connections that wait for that:
         * whether it still may. Where not, the connection ends with nothing of the attempt sent.
         */
        default boolean maySend() {
            return true;
        }

        /** The attempt's last byte was not written and never will be: its backend cannot have run it. */
        void onWriteFailed();

        /** The connection has ended; called once, and last. */
        void onClosed();
    }
}
