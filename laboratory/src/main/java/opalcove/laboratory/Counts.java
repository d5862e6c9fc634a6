package opalcove.laboratory;

/** Counts of the socket operations of one event loop. Only that loop writes them. */
final class Counts {
    /** Calls that read from a connection, including those that found no data. */
    long reads;
    /** Flushes that wrote to a connection; a flush that the socket accepted in several parts counts once. */
    long writes;
    /** Iterations of the loop, each of which calls the selector once (epoll_wait on Linux). */
    long waits;
    /** Tasks that were submitted to the loop, from its own thread or from another. */
    long tasks;

    long bytesRead;
    /** Bytes that were copied once more before they were written, because they were not in direct memory. */
    long bytesCopiedOut;
}
