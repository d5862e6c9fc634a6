package opalcove.decision;

import java.util.ArrayDeque;

/**
 * The queue and the token bucket of one class of the split: a plan and a request class, within the quota or (for soft
 * plans) beyond it. Owned by the thread that delivers the instance's events.
 */
final class ClassQueue {
    final double weight;
    final boolean withinQuota;
    final ArrayDeque<RequestState> requests = new ArrayDeque<>();

    /** Units that arrived in this interval. */
    double arrivedUnits;

    /** Units a second that arrive, decayed over the intervals. */
    double arrivalRate;

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
