package opalcove.laboratory;

/**
 * The parameters of a load. {@code rate} is the total number of requests per second of an open loop, which sends each
 * request when it is due regardless of outstanding requests, or 0 for a closed loop, in which each connection keeps
 * {@code depth} requests outstanding. The classes alternate such that {@code records} is the share of requests that
 * are swap records with a body of {@code bodyBytes}; the other requests are safe.
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
     * Checks the range of each parameter.
     *
     * @throws IllegalArgumentException if a parameter is out of range; the message names it
     */
    public LoadPlan {
        require(connections >= 1 && connections <= 10_000, "connections must be from 1 to 10,000");
        require(depth >= 1 && depth <= 256, "the depth must be from 1 to 256");
        require(rate >= 0 && rate <= 1e6, "the rate must be from 0 to 1,000,000 requests a second");
        require(requests >= 1, "the number of requests must be at least 1");
        require(tenants >= 1, "the number of tenants must be at least 1");
        require(records >= 0 && records <= 1, "the share of records must be from 0 to 1");
        require(bodyBytes >= 0 && bodyBytes <= 64 * 1024, "a body has 0 to 65,536 bytes");
        require(waitMs >= 100 && waitMs <= 7500, "the time to wait must be from 100 to 7,500 ms");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    LoadPlan withPort(int otherPort) {
        return new LoadPlan(
                mqtt, host, otherPort, connections, depth, rate, requests, tenants, records, bodyBytes, waitMs);
    }
}
