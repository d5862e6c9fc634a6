package opalcove.resp;

/**
 * The memory that values buffered whole before they are written may take, of all connections of a server together.
 * Owned by the server's event loop.
 */
final class BufferBudget {
    static final int MAX_BYTES = 6 * 1024 * 1024;

    private int reservedBytes;

    /** Reserves so many bytes; false, and nothing reserved, where they would exceed the budget. */
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
