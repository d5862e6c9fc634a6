package opalcove.core;

import opalcove.metrics.Counters;
import opalcove.metrics.Metrics;

/** Counts final responses by their kind, and by request class if the request names one. Used on the event loop only. */
final class ResponseCounts {
    private final Counters counters;
    private final Metrics metrics;

    ResponseCounts(Counters counters, Metrics metrics) {
        this.counters = counters;
        this.metrics = metrics;
    }

    /** Counts a response; the class is null if the request names none. */
    void count(String requestClass, Response response) {
        Metrics.RequestOutcome outcome;
        if (response instanceof Response.Served) {
            counters.served++;
            outcome = Metrics.RequestOutcome.SUCCESS;
        } else if (response instanceof Response.Refused) {
            counters.refused++;
            outcome = Metrics.RequestOutcome.BUSY;
        } else {
            counters.failed++;
            outcome = Metrics.RequestOutcome.FAILURE;
        }
        if (requestClass != null) {
            metrics.requestEnded(requestClass, outcome);
        }
    }
}
