package opalcove.resp;

/**
 * Limits the memory of values that are fully buffered before they are written, in total over all connections of a
 * server. Owned by the server's event loop.
 */
final class BufferBudget {
    static final int MAX_BYTES = 6 * 1024 * 1024;

    private final int maxBytes;
    private int reservedBytes;

    BufferBudget(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves this many bytes; returns false and reserves nothing if they would exceed the budget. */
    boolean reserve(int bytes) {
        if (bytes > maxBytes - reservedBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }
}
