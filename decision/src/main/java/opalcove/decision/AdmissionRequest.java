package opalcove.decision;

/**
 * A client's request.
 *
 * @param units the units that it draws from its tenant's quota
 * @param budgetMs the time until the client gives up
 * @param gateways the number of gateways through which its tenant's requests may come
 * @param retry whether the client marked it as a retry
 */
public record AdmissionRequest(
        String id,
        String requestClass,
        String plan,
        String tenant,
        double units,
        double budgetMs,
        int gateways,
        boolean retry) {}
