package opalcove.gateway;

import io.vertx.core.Future;

/** The links to app nodes over some wire. */
public interface NodeLinks {
    /** An attempt under way. */
    interface Attempt {
        /** Succeeds once, with how it ended; never fails. */
        Future<NodeEnd> end();

        /** Stops waiting. The end follows once the node can see that it was given up. */
        void giveUp();
    }

    /** Starts an attempt; waitMs is how long this gateway will wait at most. */
    Attempt attempt(AppNode node, Ask ask, double waitMs);

    /** The node takes no new work, or has moved: links to it are closed once they carry nothing. */
    void forget(AppNode node);

    /** How many there are, or are being opened. */
    int open();

    /** How many of them carry nothing and may be used at once. */
    int resting();
}
