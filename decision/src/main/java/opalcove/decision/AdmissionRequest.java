package opalcove.decision;

/**
 * A request of a client.
 *
 * @param units the units that it consumes of its tenant's quota
 * @param budgetMs the time until the client stops waiting for a response, ms
 * @param gateways the number of gateways that may receive requests of its tenant
 * @param retry whether the client marked it as a retry
 */
public record AdmissionRequest(
        String requestId,
        String requestClass,
        String plan,
        String tenant,
        double units,
        double budgetMs,
        int gateways,
        boolean retry) {}
