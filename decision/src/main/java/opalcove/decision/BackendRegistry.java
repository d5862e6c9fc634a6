package opalcove.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The backends of the endpoint list, in the order in which they were first listed, and when the list is polled again.
 * Owned by the thread that delivers the instance's events.
 */
final class BackendRegistry {
    /** A response or a sign of pressure counts as recent for this long, ms; longer where few responses come. */
    private static final double RECENT_MS = 2000;

    private final DecisionContext context;
    private final SlowStart slowStart;
    private final Map<String, BackendState> backends = new LinkedHashMap<>();
    private boolean awaitingFirstList = true;
    private double pollAtMs = DecisionContext.UNSCHEDULED_MS;
    private int upCount;
    private int responding;
    private int underPressure;

    BackendRegistry(DecisionContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
    }

    /** All backends that are remembered, listed or not. */
    Collection<BackendState> all() {
        return backends.values();
    }

    /** The backend with this id, or null. */
    BackendState find(String backendId) {
        return backends.get(backendId);
    }

    /** Backends that are listed as up. */
    int upCount() {
        return upCount;
    }

    /** Whether a third or more of the backends that responded recently showed pressure. */
    boolean isUnderPressure() {
        return underPressure * 3 >= responding;
    }

    /** Takes in the endpoint list: the complete one, or its changed entries. */
    void update(boolean complete, List<Endpoint> endpoints) {
        pollAtMs = DecisionContext.UNSCHEDULED_MS;
        for (BackendState backend : complete ? backends.values() : List.<BackendState>of()) {
            backend.up = false;
            backend.removedAtMs = Math.min(backend.removedAtMs, context.nowMs);
        }
        for (Endpoint endpoint : endpoints) {
            update(endpoint);
        }
        awaitingFirstList = false;
    }

    private void update(Endpoint endpoint) {
        double nowMs = context.nowMs;
        BackendState backend = backends.get(endpoint.id());
        boolean isNew = backend == null;
        if (isNew) {
            backend = new BackendState();
            backend.respondedAtMs = nowMs;
            backends.put(endpoint.id(), backend);
        }
        boolean restarted = !isNew && endpoint.startedMs() > 0 && endpoint.startedMs() != backend.endpoint.startedMs();
        boolean startedLately = endpoint.startedMs() > Math.max(0, nowMs - context.obligations.warmAfterMs());
        if (restarted || isNew && (startedLately || !awaitingFirstList)) {
            slowStart.begin(
                    backend, endpoint.startedMs() > 0 ? Math.max(endpoint.startedMs(), backend.startedAtMs) : nowMs);
        }
        backend.endpoint = endpoint;
        backend.zoneGroup = "zone " + endpoint.zone();
        backend.kindGroup = "kind " + endpoint.kind();
        backend.up = endpoint.state() == EndpointState.UP;
        backend.removedAtMs = endpoint.state() == EndpointState.REMOVED
                ? Math.min(backend.removedAtMs, nowMs)
                : DecisionContext.UNSCHEDULED_MS;
    }

    /** Polls the endpoint list again after a failed poll or a subscription that broke off. */
    void schedulePoll() {
        if (context.obligations.listOnRequest()) {
            pollAtMs = context.nowMs + DecisionContext.INTERVAL_MS;
        }
    }

    /** Polls the endpoint list where that is due. */
    void pollIfDue() {
        if (context.nowMs >= pollAtMs) {
            pollAtMs = context.nowMs + 4 * DecisionContext.INTERVAL_MS;
            context.actions.subscribeToEndpoints();
        }
    }

    /**
     * Forgets backends that were removed long ago. Guards memory and each selection against backends replaced for days.
     */
    void forgetRemoved() {
        backends.values()
                .removeIf(backend ->
                        backend.inFlight == 0 && context.nowMs - backend.removedAtMs > DecisionContext.FORGET_AFTER_MS);
    }

    /** Counts the backends that are listed, responded recently, and showed pressure recently. */
    void recount(double evidenceWeight) {
        upCount = 0;
        responding = 0;
        underPressure = 0;
        slowStart.resetWarmCount();
        double recentMs = RECENT_MS / evidenceWeight;
        for (BackendState backend : backends.values()) {
            if (!backend.up) {
                continue;
            }
            upCount++;
            slowStart.countIfWarm(backend);
            responding += context.nowMs - backend.respondedAtMs < recentMs ? 1 : 0;
            underPressure += context.nowMs - backend.pressureAtMs < recentMs ? 1 : 0;
        }
    }
}
