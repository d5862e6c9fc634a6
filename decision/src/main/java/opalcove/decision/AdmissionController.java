package opalcove.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The decision module of one gateway. It admits or sheds each request and creates the objects that make the other
 * decisions. It depends on nothing but its settings and the events that it receives. Owned by the thread that delivers
 * the events.
 */
public final class AdmissionController implements DecisionModule {
    private final DecisionContext context;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> planIndexes = new HashMap<>();
    private final ClientRetryDetector clientRetries = new ClientRetryDetector();
    private final StallDetector stalls = new StallDetector();
    private final PressureMonitor pressure = new PressureMonitor();
    private final SlowStart slowStart;
    private final BackendHealth health;
    private final BackendRegistry registry;
    private final CapacityController capacity;
    private final QuotaController quotas;
    private final RequestTimers timers;
    private final RequestForwarder forwarder;

    /**
     * Creates the module of a gateway and sets its first interval timer.
     *
     * @throws IllegalArgumentException if the settings are invalid
     */
    public AdmissionController(double nowMs, DecisionSettings settings, long seed, DecisionActions actions) {
        settings.check();
        context = new DecisionContext(nowMs, settings, seed, actions);
        for (int i = 0; i < settings.classes().size(); i++) {
            classIndexes.put(settings.classes().get(i).name(), i);
        }
        for (int i = 0; i < settings.plans().size(); i++) {
            planIndexes.put(settings.plans().get(i).name(), i);
        }
        slowStart = new SlowStart(context);
        health = new BackendHealth(context, slowStart);
        registry = new BackendRegistry(context, slowStart);
        capacity = new CapacityController(context, registry, pressure, stalls);
        quotas = new QuotaController(context, capacity, pressure);
        timers = new RequestTimers(context);
        BackendSelector selector = new BackendSelector(context, registry, health, slowStart);
        forwarder = new RequestForwarder(context, quotas, capacity, pressure, stalls, selector, health, timers);
        if (context.obligations.listOnRequest()) {
            actions.subscribeToEndpoints();
        }
        actions.setTimer(RequestTimers.INTERVAL, DecisionContext.INTERVAL_MS);
    }

    @Override
    public void endpointsChanged(double nowMs, boolean complete, List<Endpoint> endpoints) {
        context.nowMs = nowMs;
        registry.update(complete, endpoints);
        capacity.recountBackends();
        forwarder.releaseQueued();
    }

    @Override
    public void endpointListFailed(double nowMs) {
        context.nowMs = nowMs;
        registry.schedulePoll();
    }

    @Override
    public void requestArrived(double nowMs, AdmissionRequest request) {
        context.nowMs = nowMs;
        Integer classIndex = classIndexes.get(request.requestClass());
        Integer planIndex = planIndexes.get(request.plan());
        if (classIndex == null || planIndex == null) {
            context.actions.log("refused: unknown plan or class " + request.plan() + " " + request.requestClass());
            context.actions.shed(request.requestId(), 0);
            return;
        }
        TenantQuota tenant = quotas.tenant(request, planIndex);
        RequestState state = new RequestState(context, request, classIndex, planIndex, tenant, clientRetries);
        forwarder.add(state);
        admitOrShed(state, planIndex);
    }

    private void admitOrShed(RequestState state, int planIndex) {
        TenantQuota tenant = state.tenant;
        double units = state.request.units();
        boolean withinQuota =
                quotas.recordArrival(tenant, units, state.remainingObjectiveMs < state.requestClass.objectiveMs());
        boolean isPastObjective = state.remainingObjectiveMs < context.responseTimes.meanMs(state.classIndex);
        boolean isScarce = tenant.admitProbability < 1 || capacity.isBounded();
        if (isPastObjective && isScarce || !withinQuota && !quotas.mayExceedQuota(tenant)) {
            forwarder.shed(state, state.drawRetryAfterMs());
            return;
        }
        state.queue = capacity.queue(planIndex, state.classIndex, withinQuota);
        state.queue.arrivedUnits += units;
        boolean fits = quotas.fits(state);
        if (!fits && !withinQuota && state.plan.ceilingRate() > 0) {
            forwarder.shed(state, context.limits.maxRetryAfterMs());
        } else if (fits && capacity.tryTake(state, false)) {
            forwarder.forward(state);
        } else {
            forwarder.queue(state);
        }
    }

    @Override
    public void attemptEnded(double nowMs, AttemptOutcome outcome) {
        context.nowMs = nowMs;
        RequestState state = forwarder.find(outcome.requestId());
        if (state == null
                || outcome.attempt() >= state.attempts.size()
                || state.attempts.get(outcome.attempt()).ended) {
            return;
        }
        forwarder.attemptEnded(state, outcome);
        forwarder.releaseQueued();
    }

    @Override
    public void usageReported(double nowMs, AdmissionRequest request, int usedPercent, double trueUnits) {
        context.nowMs = nowMs;
        Integer planIndex = planIndexes.get(request.plan());
        if (planIndex != null) {
            TenantQuota tenant = quotas.tenant(request, planIndex);
            quotas.recordUsage(tenant, request.units(), usedPercent, trueUnits);
        }
    }

    @Override
    public void responseStarted(double nowMs, String requestId, int attempt) {
        context.nowMs = nowMs;
        RequestState state = forwarder.find(requestId);
        if (state != null) {
            state.streaming = true;
        }
    }

    @Override
    public void requestCancelled(double nowMs, String requestId) {
        context.nowMs = nowMs;
        RequestState state = forwarder.find(requestId);
        if (state != null) {
            forwarder.close(state);
        }
    }

    @Override
    public void healthCheckEnded(double nowMs, String backendId, ProbeStatus status, double elapsedMs, double[] load) {
        context.nowMs = nowMs;
        BackendState backend = registry.find(backendId);
        if (backend != null) {
            health.checkEnded(backend, status);
        }
    }

    @Override
    public void timerExpired(double nowMs, long token) {
        context.nowMs = nowMs;
        int kind = RequestTimers.kind(token);
        if (kind == RequestTimers.INTERVAL) {
            intervalEnded();
        }
        if (kind == RequestTimers.QUEUES) {
            forwarder.queueTimerExpired();
        }
        if (kind == RequestTimers.INTERVAL || kind == RequestTimers.QUEUES) {
            forwarder.releaseQueued();
        }
        RequestState state = timers.expire(token);
        if (state == null || state.finished || state.streaming) {
            return;
        }
        if (kind == RequestTimers.DEADLINE) {
            forwarder.endUnserved(state);
        }
        if (kind == RequestTimers.SLOW_ATTEMPT) {
            forwarder.slowAttemptDetected(state);
        }
    }

    private void intervalEnded() {
        if (stalls.recordTick(context.nowMs)) {
            pressure.reset();
        }
        capacity.update();
        registry.pollIfDue();
        slowStart.updatePace();
        health.updateDecaySpeed(registry.upCount());
        registry.forgetRemoved();
        for (BackendState backend : registry.all()) {
            health.decay(backend);
            slowStart.refill(backend);
            health.checkIfDue(backend);
        }
        quotas.forgetIdle();
        context.actions.setTimer(RequestTimers.INTERVAL, DecisionContext.INTERVAL_MS);
    }

    /**
     * Returns the capacity shares of all known backends, listed or not. It serves proxies that balance load themselves
     * and do not submit each request to the module.
     */
    public List<CapacityShare> capacityShares(double nowMs) {
        context.nowMs = nowMs;
        return registry.all().stream().map(health::capacityShare).toList();
    }

    /**
     * Records the load report of such a proxy on requests that a backend completed.
     *
     * @param meanMs the mean response time, ms; negative if it is unknown
     */
    public void loadReported(double nowMs, String backendId, long served, long failed, double meanMs) {
        context.nowMs = nowMs;
        BackendState backend = registry.find(backendId);
        if (backend != null) {
            health.loadReported(backend, served, failed, meanMs);
        }
    }
}
