package opalcove.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The backends of the endpoint list, in the order in which they were first listed, and the schedule of polls of the
 * list. Owned by the thread that delivers the instance's events.
 */
final class BackendRegistry {
    /** The time for which a response or a sign of pressure counts as recent, ms; longer if few responses arrive. */
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

    /** All known backends, including those that are no longer listed. */
    Collection<BackendState> all() {
        return backends.values();
    }

    /** Returns the backend with this id, or null if it is unknown. */
    BackendState find(String backendId) {
        return backends.get(backendId);
    }

    /** The number of backends that the endpoint list shows as up. */
    int upCount() {
        return upCount;
    }

    /** Whether the backends that showed pressure recently are a third or more of those that responded recently. */
    boolean isUnderPressure() {
        return underPressure * 3 >= responding;
    }

    /** Applies the complete endpoint list, or its changed entries. */
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

    /** Schedules the next poll of the endpoint list after a poll or a subscription failed. */
    void schedulePoll() {
        if (context.obligations.listOnRequest()) {
            pollAtMs = context.nowMs + DecisionContext.INTERVAL_MS;
        }
    }

    /** Polls the endpoint list if a poll is due. */
    void pollIfDue() {
        if (context.nowMs >= pollAtMs) {
            pollAtMs = context.nowMs + 4 * DecisionContext.INTERVAL_MS;
            context.actions.subscribeToEndpoints();
        }
    }

    /**
     * Forgets backends that were removed long ago. Without this, backends that are replaced over days would take up
     * memory and slow down each selection.
     */
    void forgetRemoved() {
        backends.values()
                .removeIf(backend ->
                        backend.inFlight == 0 && context.nowMs - backend.removedAtMs > DecisionContext.FORGET_AFTER_MS);
    }

    /** Recounts the backends that are up, and among them those that responded or showed pressure recently. */
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
