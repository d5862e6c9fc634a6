package opalcove.resp;

/**
 * Limits the memory of values that are fully buffered before they are written, in total over all connections of a
 * server. Owned by the server's event loop.
 */
final class BufferBudget {
    static final int MAX_BYTES = 6 * 1024 * 1024;

    private int reservedBytes;

    /** Reserves this many bytes; returns false and reserves nothing if they would exceed the budget. */
    boolean reserve(int bytes) {
        if (bytes > MAX_BYTES - reservedBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }
}
