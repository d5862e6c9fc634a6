package opalcove.resp;

/** The memory that values gathered whole before they are written may take, of all connections together. */
final class ByteAccumulator {
    static final int MOST = 6 * 1024 * 1024;

    private int taken;

    /** Takes room for so many bytes; false where there is none. */
    boolean take(int bytes) {
        if (bytes > MOST - taken) {
            return false;
        }
        taken += bytes;
        return true;
    }

    void give(int bytes) {
        taken -= bytes;
    }
}
