package opalcove.laboratory;

/**
 * What a load asks. {@code rate} is asks a second in all for an open loop, whose asks go out at their times whatever is
 * still out, or 0 for a closed loop, where each connection keeps {@code depth} asks out. Classes take turns as
 * {@code records} says: that share of the asks are swap records with a body of {@code bodyBytes}; the rest are safe.
 */
public record LoadPlan(
        boolean mqtt,
        String host,
        int port,
        int connections,
        int depth,
        double rate,
        int requests,
        int tenants,
        double records,
        int bodyBytes,
        int waitMs) {
    /**
     * Checks that the load can be made.
     *
     * @throws IllegalArgumentException if it cannot, with the reason
     */
    public LoadPlan {
        need(connections >= 1 && connections <= 10_000, "connections must be from 1 to 10,000");
        need(depth >= 1 && depth <= 256, "the depth must be from 1 to 256");
        need(rate >= 0 && rate <= 1e6, "the rate must be from 0 to 1,000,000 asks a second");
        need(requests >= 1, "there must be asks");
        need(tenants >= 1, "there must be operators");
        need(records >= 0 && records <= 1, "the share of records must be from 0 to 1");
        need(bodyBytes >= 0 && bodyBytes <= 64 * 1024, "a body has 0 to 65,536 bytes");
        need(waitMs >= 100 && waitMs <= 7500, "the time to wait must be from 100 to 7,500 ms");
    }

    private static void need(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }

    LoadPlan at(int otherPort) {
        return new LoadPlan(
                mqtt, host, otherPort, connections, depth, rate, requests, tenants, records, bodyBytes, waitMs);
    }
}
