package opalcove.decision;

/** A client's request: budgetMs is its time to answer, gateways the number through which its customer may come. */
public record AdmissionRequest(
        String id,
        String requestClass,
        String plan,
        String tenant,
        double units,
        double budgetMs,
        int gateways,
        boolean retry) {}
