package opalcove.decision;

/**
 * Selects the backend of each attempt by its expected wait. Owned by the thread that delivers the instance's events.
 */
final class BackendSelector {
    private final DecisionContext context;
    private final BackendRegistry registry;
    private final BackendHealth health;
    private final SlowStart slowStart;

    BackendSelector(DecisionContext context, BackendRegistry registry, BackendHealth health, SlowStart slowStart) {
        this.context = context;
        this.registry = registry;
        this.health = health;
        this.slowStart = slowStart;
    }

    /**
     * Returns the backend with the lowest cost, which is its weighted expected wait, among those that may receive an
     * attempt of this request, or null if there is none.
     */
    BackendState select(RequestState state) {
        BackendState best = null;
        double minCost = Double.MAX_VALUE;
        for (BackendState backend : registry.all()) {
            if (!backend.up || !state.mayUse(backend) || state.inFlight > 0 && state.hasTried(backend)) {
                continue;
            }
            double cost = cost(backend, state);
            if (!isAvailable(backend) || cost >= minCost) {
                continue;
            }
            best = backend;
            minCost = cost;
        }
        return best;
    }

    private boolean isAvailable(BackendState backend) {
        if (context.nowMs < backend.ejectedUntilMs) {
            return false;
        }
        return slowStart.isWarmingUp(backend)
                ? !slowStart.isExhausted(backend)
                : !(backend.isFailing() && backend.inFlight > 0);
    }

    private double cost(BackendState backend, RequestState state) {
        double cost = expectedWaitMs(backend, state)
                * (state.hasTried(backend) ? 4 : 1)
                * (1 + 0.05 * context.random.nextDouble());
        if (!backend.endpoint.zone().equals(context.settings.zone())) {
            cost *= 1 + 10 * context.settings.costs().crossZone();
        }
        cost *= 1 + (isConnected(backend) ? 4 : 20) * health.groupFailureRate(backend);
        // The slow-start budget limits the load of a warming-up backend, whereas a warm backend may look idle to this
        // gateway while other gateways load it.
        if (slowStart.isWarmingUp(backend)) {
            cost /= 2 * Math.sqrt(slowStart.rampShare(backend));
        }
        return cost;
    }

    /** The expected wait for a response from this backend, ms. */
    double expectedWaitMs(BackendState backend, RequestState state) {
        double silentMs =
                backend.inFlight == 0 ? 0 : (context.nowMs - Math.max(backend.respondedAtMs, backend.busySinceMs)) / 2;
        double otherGateways = Math.min(2, context.settings.gateways() / 2.0);
        double waitMs = backend.slowness * (backend.outstandingMs * otherGateways + state.expectedMs());
        return waitMs * BackendHealth.errorPenalty(backend)
                + Math.max(0, silentMs - context.responseTimes.meanMs(state.classIndex));
    }

    /** The longest expected wait for a response among the attempts of a request that are in flight, ms. */
    double longestWaitMs(RequestState state) {
        double longestMs = 0;
        for (AttemptState attempt : state.attempts) {
            if (!attempt.ended) {
                double waitedMs = context.nowMs - attempt.startedAtMs;
                longestMs = Math.max(longestMs, expectedWaitMs(attempt.backend, state) + waitedMs / 2);
            }
        }
        return longestMs;
    }

    /**
     * Whether this gateway may still have an open connection to the backend. Connects may fail while open connections
     * work (lost packets, full tables, backends that are too busy to accept); backends that were reachable recently
     * are then preferred. This may send much traffic to few backends, but their responses then become slow, and other
     * backends are selected again.
     */
    private boolean isConnected(BackendState backend) {
        return context.nowMs - backend.connectedAtMs < context.limits.idleCloseMs();
    }
}
