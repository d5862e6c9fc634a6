package opalcove.decision;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * All decisions of the admission gateway. Its interface is Admission.java. One instance serves one gateway;
 * it knows the settings and its own events alone. Parts: Companion (quotas, ceilings), Split (room among
 * classes), Hosts (choice, health, cold starts) and RequestState (the ledger of one request's attempts).
 */
public final class AdmissionController implements DecisionModule {
    /** How often held requests are looked at when nothing else happens, ms. */
    private static final double PUMP_MS = 20;
    /** Weight of the newest interval in a decayed rate. */
    private static final double DECAY = 0.25;
    /** Part of the backlog that counts as demand (the paper's alpha). */
    private static final double ALPHA = 0.5;

    private final DecisionContext context;
    private final DecisionSettings settings;
    private final DecisionSettings.Limits limits;
    private final DecisionActions actions;
    private final Map<String, Integer> classIndex = new HashMap<>(), planIndex = new HashMap<>();
    private final Map<String, RequestState> flights = new HashMap<>();
    private final RequestTimers timers;
    private final RetryBudget retryBudget = new RetryBudget();
    private final ClientRetryDetector clientRetries = new ClientRetryDetector();
    private final StallDetector stalls = new StallDetector();
    private final PressureMonitor pressure = new PressureMonitor();
    private final CapacityController capacity;
    private final QuotaController quotas;
    private final SlowStart slowStart;
    private final BackendHealth health;
    private final BackendRegistry registry;
    private final BackendSelector selector;
    private boolean pumping;
    /** Starts a gateway's module; settings that contradict themselves are turned away. */
    public AdmissionController(double now, DecisionSettings settings, long seed, DecisionActions actions) {
        settings.check();
        context = new DecisionContext(now, settings, seed, actions);
        this.settings = settings;
        limits = settings.limits();
        this.actions = actions;
        timers = new RequestTimers(context);
        for (int i = 0; i < settings.classes().size(); i++)
            classIndex.put(settings.classes().get(i).name(), i);
        for (int i = 0; i < settings.plans().size(); i++)
            planIndex.put(settings.plans().get(i).name(), i);
        slowStart = new SlowStart(context);
        health = new BackendHealth(context, slowStart);
        registry = new BackendRegistry(context, slowStart);
        selector = new BackendSelector(context, registry, health, slowStart);
        capacity = new CapacityController(context, registry, pressure, stalls);
        quotas = new QuotaController(context, capacity, pressure);
        if (context.obligations.listOnRequest()) actions.subscribeToEndpoints();
        actions.setTimer(RequestTimers.INTERVAL, DecisionContext.INTERVAL_MS);
    }

    @Override
    public void endpointsChanged(double time, boolean whole, List<Endpoint> lines) {
        context.nowMs = time;
        registry.update(whole, lines);
        capacity.countBackends();
        pump();
    }

    @Override
    public void endpointListFailed(double time) {
        context.nowMs = time;
        registry.schedulePoll();
    }

    @Override
    public void requestArrived(double time, AdmissionRequest r) {
        context.nowMs = time;
        Integer cls = classIndex.get(r.requestClass());
        Integer plan = planIndex.get(r.plan());
        if (cls == null || plan == null) {
            actions.log("refused: unknown plan or class " + r.plan() + " " + r.requestClass());
            actions.shed(r.id(), 0);
            return;
        }
        TenantQuota c = quotas.tenant(r, plan);
        RequestState f = new RequestState(context, r, cls, plan, c, clientRetries);
        flights.put(r.id(), f);
        timers.set(RequestTimers.DEADLINE, f, Math.max(0, r.budgetMs() - 2 * settings.tickMs()));
        boolean inside = quotas.recordArrival(c, r.units(), f.objectiveLeftMs < f.requestClass.objectiveMs());
        if (f.objectiveLeftMs < context.sizes.meanMs(cls) && (c.admitChance < 1 || capacity.isBounded())
                || !inside && !quotas.mayExceedQuota(c)) {
            refuse(f, f.drawRetryAfterMs());
            return;
        }
        f.queue = capacity.queue(plan, cls, inside);
        f.queue.arrivedUnits += r.units();
        boolean fits = quotas.fits(f);
        if (!fits && !inside && f.plan.ceilingRate() > 0) refuse(f, limits.maxRetryAfterMs());
        else if (fits && capacity.tryTake(f, false)) dispatch(f);
        else hold(f);
    }

    @Override
    public void attemptEnded(double time, AttemptOutcome o) {
        context.nowMs = time;
        RequestState f = flights.get(o.id());
        if (f == null || o.attempt() >= f.attempts.size() || f.attempts.get(o.attempt()).ended) return;
        AttemptState a = f.attempts.get(o.attempt());
        a.ended = true;
        a.mayHaveRun = !o.status().neverRan;
        f.inFlight--;
        capacity.attemptEnded();
        f.tenant.inFlight--;
        health.attemptEnded(a, o, f);
        quotas.recordUsage(f.tenant, f.request.units(), o.usedPercent(), o.trueUnits());
        if (!f.finished) capacity.recordOutcome(o, f);
        if (o.requestEnded()) finish(f);
        if (!f.finished && f.inFlight == 0) again(f, o.status());
        if (f.finished && f.inFlight == 0) flights.remove(o.id());
        pump();
    }

    @Override
    public void usageReported(double time, AdmissionRequest r, int usedPercent, double trueUnits) {
        context.nowMs = time;
        Integer plan = planIndex.get(r.plan());
        if (plan != null) quotas.recordUsage(quotas.tenant(r, plan), r.units(), usedPercent, trueUnits);
    }

    @Override
    public void responseStarted(double time, String id, int attempt) {
        context.nowMs = time;
        RequestState f = flights.get(id);
        if (f != null) f.streaming = true;
    }

    @Override
    public void requestCancelled(double time, String id) {
        context.nowMs = time;
        RequestState f = flights.get(id);
        if (f != null) close(f);
    }

    @Override
    public void healthCheckEnded(double time, String host, ProbeStatus result, double tookMs, double[] load) {
        context.nowMs = time;
        BackendState m = registry.find(host);
        if (m != null) health.checkEnded(m, result);
    }

    @Override
    public void timerExpired(double time, long token) {
        context.nowMs = time;
        int kind = RequestTimers.kind(token);
        if (kind == RequestTimers.INTERVAL) {
            if (stalls.recordTick(context.nowMs)) pressure.reset();
            capacity.update();
            updateBackends();
            quotas.forgetIdle();
            actions.setTimer(RequestTimers.INTERVAL, DecisionContext.INTERVAL_MS);
        }
        if (kind == RequestTimers.QUEUES) pumping = false;
        if (kind == RequestTimers.INTERVAL || kind == RequestTimers.QUEUES) pump();
        RequestState f = timers.expire(token);
        if (f == null || f.finished || f.streaming) return;
        if (kind == RequestTimers.DEADLINE) end(f);
        if (kind == RequestTimers.SLOW_ATTEMPT) slow(f);
    }

    /** A room for each host that is remembered, for a front that does not ask for each request. */
    public List<CapacityShare> capacityShares(double time) {
        context.nowMs = time;
        return registry.all().stream().map(health::capacityShare).toList();
    }

    /** What such a front was told of work that ended at a host; meanMs: below 0 where no time is known. */
    public void loadReported(double time, String host, long served, long failed, double meanMs) {
        context.nowMs = time;
        BackendState m = registry.find(host);
        if (m != null) health.loadReported(m, served, failed, meanMs);
    }

    /** Once an interval: polls the list where that is due, lets marks fade, fills the budgets of starting backends. */
    private void updateBackends() {
        registry.pollIfDue();
        slowStart.updatePace();
        health.update(registry.listedCount());
        registry.forgetRemoved();
        for (BackendState backend : registry.all()) {
            health.fade(backend);
            slowStart.refill(backend);
            health.checkIfDue(backend);
        }
    }

    /** Sends on, or holds while no host may have it; the first send is charged to quota and ceiling. */
    private void dispatch(RequestState f) {
        if (f.finished) return;
        if (!f.mayStartAttempt()) {
            if (f.inFlight == 0) end(f);
            return;
        }
        BackendState m = selector.select(f);
        if (m == null) {
            hold(f);
            return;
        }
        if (f.attempts.isEmpty()) {
            quotas.charge(f);
            retryBudget.earn();
        }
        f.attempts.add(new AttemptState(m, context.nowMs, f.expectedMs()));
        f.inFlight++;
        capacity.attemptStarted(f.request.units());
        f.tenant.inFlight++;
        health.attemptStarted(m, f);
        actions.startAttempt(f.request.id(), m.endpoint.id(), 0);
        timers.set(RequestTimers.SLOW_ATTEMPT, f, slowMs(f));
    }

    /** From this age on an attempt counts as slow. */
    private double slowMs(RequestState f) {
        return Math.min(f.requestClass.objectiveMs() * 0.5, context.sizes.meanMs(f.classIndex) * 4)
                + Math.max(0, f.expectedMs() - context.sizes.meanMs(f.classIndex));
    }

    /** Holds what may still leave; what is given up gets its final answer at once. */
    private void hold(RequestState f) {
        if (f.finished || f.queued) return;
        if (f.isQueuedTooLong()) {
            if (f.inFlight == 0) end(f);
            return;
        }
        f.queued = true;
        f.queue.add(f);
        wakePump();
    }

    private void wakePump() {
        if (!pumping) actions.setTimer(RequestTimers.QUEUES, PUMP_MS);
        pumping = true;
    }

    /** Releases held requests, dearest class first; past their bound they are refused, cheapest first. */
    private void pump() {
        boolean left = false;
        for (ClassQueue lane : capacity.queuesByWeight()) {
            if (lane.requests.isEmpty()) continue;
            for (Iterator<RequestState> iterator = lane.requests.iterator(); iterator.hasNext(); ) {
                RequestState f = iterator.next();
                boolean late = f.isQueuedTooLong();
                boolean leaves =
                        !f.finished && !late && quotas.fits(f) && (!f.attempts.isEmpty() || capacity.tryTake(f, true));
                if (!f.finished && !late && !leaves) continue;
                iterator.remove();
                f.queued = false;
                lane.queuedUnits -= f.request.units();
                if (leaves) dispatch(f);
                if (late && !f.finished && f.inFlight == 0) end(f);
            }
            left |= !lane.requests.isEmpty();
        }
        if (left) wakePump();
    }

    /** None is out and there is no answer: another attempt if lawful and worth it, else the final answer. */
    private void again(RequestState f, AttemptStatus last) {
        double left = f.budgetLeftMs();
        boolean priced = !last.neverRan && last != AttemptStatus.CANCELLED;
        if (left <= 2 * settings.tickMs()
                || !f.mayStartAttempt()
                || priced && (!retryBudget.hasToken() || capacity.isBounded())) {
            end(f);
            return;
        }
        if (priced) retryBudget.spend();
        if (last == AttemptStatus.REJECTED && f.attempts.size() > 1) hold(f);
        else dispatch(f);
    }

    /** An attempt takes long: a sign of pressure, then a copy or another try where all of them allow it. */
    private void slow(RequestState f) {
        if (stalls.isRecovering(context.nowMs)) return;
        for (AttemptState a : f.attempts)
            if (!a.ended && context.nowMs - a.startedAtMs > 0.9 * slowMs(f)) pressure.recordSign(a, context.nowMs);
        // Guards against copies that add load where all hosts are slow: none while there is another sign.
        if (f.inFlight != 1 || capacity.isBounded() || !retryBudget.hasToken() || pressure.hasSeveralSigns()) return;
        if (f.plan.maxInFlight() > 0 || f.requestClass.idempotency() == Idempotency.UNSAFE) return;
        if (limits.secondCopies()) {
            BackendState m = f.mayStartAttempt() ? selector.select(f) : null;
            if (m != null && selector.expectedWaitMs(m, f) * 2 < selector.longestWaitMs(f)) {
                retryBudget.spend();
                dispatch(f);
            }
            return;
        }
        int last = f.attempts.size() - 1;
        boolean silent = context.nowMs - f.attempts.get(last).backend.respondedAtMs > 250;
        if (!limits.mayCancel() || last + 1 >= limits.maxAttempts() || !silent) return;
        retryBudget.spend();
        actions.cancelAttempt(f.request.id(), last);
    }

    /** The final answer when no host gave one: a refusal where that promise is lawful, else a failure. */
    private void end(RequestState f) {
        if (!f.mayBeShed()) actions.fail(f.request.id());
        else actions.shed(f.request.id(), limits.retryAfter() ? f.drawRetryAfterMs() : 0);
        close(f);
    }

    private void refuse(RequestState f, double retryAfterMs) {
        actions.shed(f.request.id(), limits.retryAfter() ? retryAfterMs : 0);
        close(f);
    }

    private void close(RequestState f) {
        finish(f);
        if (f.inFlight == 0) flights.remove(f.request.id());
    }

    private void finish(RequestState f) {
        if (f.finished) return;
        f.finished = true;
        timers.cancelAll(f);
        if (!limits.mayCancel()) return;
        for (int i = 0; i < f.attempts.size(); i++)
            if (!f.attempts.get(i).ended) actions.cancelAttempt(f.request.id(), i);
    }
}
