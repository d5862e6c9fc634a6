package opalcove.decision;

import java.util.ArrayDeque;

/**
 * The queue and the token bucket of one of the classes among which capacity is split: the requests of a plan and a
 * request class that are within the quota or, for soft plans, beyond it. Owned by the thread that delivers the
 * instance's events.
 */
final class ClassQueue {
    final double weight;
    final boolean withinQuota;
    final ArrayDeque<RequestState> requests = new ArrayDeque<>();

    /** Units that arrived in this interval. */
    double arrivedUnits;

    /** Moving mean of the units that arrive, units per second. */
    double arrivalRate;

    /** Units of all requests in the queue. */
    double queuedUnits;

    /** Units that may still be forwarded while capacity is bounded. */
    double tokens;

    ClassQueue(double weight, boolean withinQuota) {
        this.weight = weight;
        this.withinQuota = withinQuota;
    }

    void add(RequestState state) {
        requests.add(state);
        queuedUnits += state.request.units();
    }
}
