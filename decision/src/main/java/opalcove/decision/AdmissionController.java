package opalcove.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
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
    private final Companion companion;
    private final Split split;
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
        companion = new Companion();
        slowStart = new SlowStart(context);
        health = new BackendHealth(context, slowStart);
        registry = new BackendRegistry(context, slowStart);
        selector = new BackendSelector(context, registry, health, slowStart);
        split = new Split();
        if (context.obligations.listOnRequest()) actions.subscribeToEndpoints();
        actions.setTimer(RequestTimers.INTERVAL, DecisionContext.INTERVAL_MS);
    }

    @Override
    public void endpointsChanged(double time, boolean whole, List<Endpoint> lines) {
        context.nowMs = time;
        registry.update(whole, lines);
        registry.count(split.weight);
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
        TenantQuota c = companion.customer(r, plan);
        RequestState f = new RequestState(context, r, cls, plan, c, clientRetries);
        flights.put(r.id(), f);
        timers.set(RequestTimers.DEADLINE, f, Math.max(0, r.budgetMs() - 2 * settings.tickMs()));
        boolean inside = companion.inside(c, r.units(), f.objectiveLeftMs < f.requestClass.objectiveMs());
        if (f.objectiveLeftMs < context.sizes.meanMs(cls) && (c.admitChance < 1 || split.bounded)
                || !inside && !companion.paysBeyond(c)) {
            refuse(f, f.drawRetryAfterMs());
            return;
        }
        f.queue = split.lane(plan, cls, inside);
        f.queue.arrivedUnits += r.units();
        boolean fits = companion.fits(f);
        if (!fits && !inside && f.plan.ceilingRate() > 0) refuse(f, limits.maxRetryAfterMs());
        else if (fits && split.take(f, false)) dispatch(f);
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
        split.out--;
        f.tenant.inFlight--;
        health.attemptEnded(a, o, f);
        settle(f.tenant, f.request, o.usedPercent(), o.trueUnits());
        if (!f.finished) split.seen(o, f);
        if (o.requestEnded()) finish(f);
        if (!f.finished && f.inFlight == 0) again(f, o.status());
        if (f.finished && f.inFlight == 0) flights.remove(o.id());
        pump();
    }

    @Override
    public void usageReported(double time, AdmissionRequest r, int usedPercent, double trueUnits) {
        context.nowMs = time;
        Integer plan = planIndex.get(r.plan());
        if (plan != null) settle(companion.customer(r, plan), r, usedPercent, trueUnits);
    }

    private void settle(TenantQuota c, AdmissionRequest r, int usedPercent, double trueUnits) {
        companion.told(c, usedPercent);
        if (trueUnits > 0 && settings.unitsAreEstimates()) c.level += r.units() - trueUnits;
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
            split.update();
            updateBackends();
            companion.age();
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
            companion.charge(f);
            retryBudget.earn();
        }
        f.attempts.add(new AttemptState(m, context.nowMs, f.expectedMs()));
        f.inFlight++;
        split.out++;
        split.peak = Math.max(split.peak, split.out);
        split.meanUnits += Math.max(0.02, 1 / ++split.sized) * (f.request.units() - split.meanUnits);
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
        for (ClassQueue lane : split.order) {
            if (lane.requests.isEmpty()) continue;
            for (Iterator<RequestState> iterator = lane.requests.iterator(); iterator.hasNext(); ) {
                RequestState f = iterator.next();
                boolean late = f.isQueuedTooLong();
                boolean leaves =
                        !f.finished && !late && companion.fits(f) && (!f.attempts.isEmpty() || split.take(f, true));
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
                || priced && (!retryBudget.hasToken() || split.bounded)) {
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
        if (f.inFlight != 1 || split.bounded || !retryBudget.hasToken() || pressure.hasSeveralSigns()) return;
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

    /** The told-use companion: refusal chances by customer, and the local parts of ceilings and open caps. */
    private final class Companion {
        /** Memory of a customer's own arrivals, ms. */
        static final double MEMORY_MS = 1500;
        /** Time over which what is left in a store's copy is spent, ms: told use is about this old. */
        static final double SPEND_MS = 2000;
        /** Told use fades towards its plan's mean over this time, ms. */
        static final double FADE_MS = 10_000;

        private final LinkedHashMap<String, TenantQuota> customers = new LinkedHashMap<>(64, 0.75f, true);
        /** By plan; 0 until a use of that plan is told. */
        private final double[] pool = new double[settings.plans().size()];

        private final double periodMs = Math.max(1, settings.meterPeriodMs());
        private double servingSince = Double.MAX_VALUE;

        TenantQuota customer(AdmissionRequest r, int plan) {
            servingSince = Math.min(servingSince, context.nowMs);
            TenantQuota c = customers.get(r.tenant());
            if (c == null)
                customers.put(
                        r.tenant(), c = new TenantQuota(plan, r.gateways(), context.nowMs, servingSince, settings));
            if (c.otherSeconds <= 0) fade(c, 1);
            return c;
        }

        /** Forgets customers whose stores have had time to fill since they were last heard of. */
        void age() {
            for (Iterator<TenantQuota> iterator = customers.values().iterator();
                    iterator.hasNext();
                    iterator.remove()) {
                TenantQuota eldest = iterator.next();
                DecisionSettings.Plan p = eldest.plan;
                double fillMs = p.ceilingRate() > 0 ? 1000 * p.ceilingBurst() / p.ceilingRate() : 0;
                if (eldest.inFlight > 0
                        || context.nowMs - eldest.updatedAtMs < Math.max(DecisionContext.FORGET_AFTER_MS, fillMs))
                    return;
            }
        }

        private long period(double timeMs) {
            return (long) Math.floor(timeMs / periodMs);
        }

        private void advance(TenantQuota c) {
            double s = (context.nowMs - c.updatedAtMs) / 1000;
            c.updatedAtMs = context.nowMs;
            double drain = others(c) * c.meanAdmitChance;
            c.arrivedUnits *= Math.exp(-s * 1000 / MEMORY_MS);
            fade(c, 1 - Math.exp(-s * 1000 / FADE_MS));
            c.level = Math.max(0, Math.min(c.plan.burst(), c.level + s * (c.plan.rate() - drain)));
            c.fillCeiling(s);
        }

        /** Lets what is known of a customer's other gateways go towards its plan's usual use by this part. */
        private void fade(TenantQuota c, double part) {
            double calm = pool[c.planIndex] > 0 ? pool[c.planIndex] : 1;
            double mean = c.plan.rate() / calm * (c.gateways - 1) / c.gateways;
            c.otherUnits += part * (split.meanUnits - c.otherUnits);
            c.otherSeconds += part * (split.meanUnits / Math.max(mean, 0.01) - c.otherSeconds);
        }

        /**
         * What its other gateways are asked, units a second. Guards against thin evidence: it starts with one
         * usual request at the plan's mean, which gives way to told use and, before that, to own arrivals.
         */
        private double others(TenantQuota c) {
            if (c.gateways < 2 || c.reportedAtMs > 0) return c.gateways < 2 ? 0 : c.otherUnits / c.otherSeconds;
            return (c.otherUnits + c.arrivedUnits) / (c.otherSeconds + MEMORY_MS / 1000 / (c.gateways - 1));
        }

        /** Whether a request passes as inside its customer's quota: while the copy lasts, else by chance. */
        boolean inside(TenantQuota c, double units, boolean later) {
            if (c.plan.rate() <= 0) return true;
            advance(c);
            c.arrivedUnits += units;
            double room = c.plan.rate() + c.level * 1000 / SPEND_MS;
            double own = c.arrivedUnits * 1000 / MEMORY_MS / (c.reportedAtMs > 0 ? 1 : c.gateways); // untold: in others
            c.admitChance = Math.min(1, room / Math.max(own + others(c), 1e-9));
            c.meanAdmitChance += (1 - Math.exp((c.arrivedAtMs - context.nowMs) / SPEND_MS))
                    * (c.admitChance - c.meanAdmitChance); // others keep alike
            c.arrivedAtMs = context.nowMs;
            if (c.admitChance >= 1 && c.level >= units) return true;
            return context.random.nextDouble() < (later ? c.admitChance * c.admitChance : c.admitChance);
        }

        /** Soft plans pass beyond quota while that earns more than it costs and there is room. */
        boolean paysBeyond(TenantQuota c) {
            return c.plan.overQuotaWeight() > c.plan.overQuotaCost() && !split.bounded && !pressure.isSlow();
        }

        void charge(RequestState f) {
            TenantQuota c = f.tenant;
            advance(c);
            c.addForwarded(period(context.nowMs), f.request.units());
            c.level = Math.max(0, c.level - f.request.units());
            c.ceilingLevel -= f.request.units();
        }

        /** Whether a first attempt fits in the cap on open ones and in this gateway's part of the ceiling. */
        boolean fits(RequestState f) {
            if (!f.attempts.isEmpty()) return true;
            advance(f.tenant);
            boolean underCeiling = f.plan.ceilingRate() <= 0 || f.tenant.ceilingLevel >= f.request.units();
            return underCeiling && (f.plan.maxInFlight() <= 0 || f.tenant.inFlight < f.plan.maxInFlight());
        }

        /** Takes in a told use, once a meter period: the others' part is what this gateway did not send. */
        void told(TenantQuota c, int percent) {
            if (percent < 0 || periodMs <= 1 || c.plan.rate() <= 0) return;
            if (percent == c.reportedPercent && context.nowMs - c.reportedAtMs < periodMs * 0.9) return;
            advance(c);
            c.reportedPercent = percent;
            c.reportedAtMs = context.nowMs;
            double sent = 0;
            for (int back = 1; back <= 3; back++)
                sent += c.forwardedIn(period(context.nowMs - (back - 0.3) * periodMs)) / 3;
            double used = c.plan.rate() * percent / 100 * periodMs / 1000;
            c.otherUnits += Math.max(0, used - sent) / Math.max(0.1, c.meanAdmitChance) - 0.35 * c.otherUnits;
            c.otherSeconds += periodMs / 1000 - 0.35 * c.otherSeconds;
            // Guards against tellings that come mostly from heavy customers: the harmonic mean of told use,
            // not divided by our own chance. The mean of demand had calm unseen customers refused as heavy.
            double calm = Math.min(4, 100.0 / Math.max(1, percent));
            pool[c.planIndex] = pool[c.planIndex] > 0 ? pool[c.planIndex] + 0.03 * (calm - pool[c.planIndex]) : calm;
        }
    }

    /** The harmonic split of this gateway's measured room. */
    private final class Split {
        final ClassQueue[] order;
        private final ClassQueue[][] lanes;
        private double served, servedRate, spare, news, usualNews;
        private double calmSince = context.nowMs, shortestAim = Double.MAX_VALUE, meanUnits = 1, sized = 1;
        /** Guards against thin evidence: what an interval weighs, less where few answers come. */
        private double weight = 1;

        private double proven, peak;
        private int out;
        double room;
        boolean bounded;

        Split() {
            int classes = settings.classes().size();
            for (DecisionSettings.RequestClass c : settings.classes())
                shortestAim = Math.min(shortestAim, c.objectiveMs());
            lanes = new ClassQueue[settings.plans().size() * classes][2];
            List<ClassQueue> all = new ArrayList<>();
            for (int i = 0; i < lanes.length; i++) {
                DecisionSettings.Plan p = settings.plans().get(i / classes);
                double weight = settings.classes().get(i % classes).weight() * p.price();
                lanes[i][0] = new ClassQueue(weight * Math.max(0, p.overQuotaWeight() - p.overQuotaCost()), false);
                lanes[i][1] = new ClassQueue(weight, true);
                all.addAll(List.of(lanes[i][1], lanes[i][0]));
            }
            all.sort((first, second) -> Double.compare(second.weight, first.weight));
            order = all.toArray(new ClassQueue[0]);
        }

        ClassQueue lane(int plan, int cls, boolean inside) {
            return lanes[plan * settings.classes().size() + cls][inside ? 1 : 0];
        }

        /** Whether a request may leave context.nowMs: on its class's store or, when held, on what others left. */
        boolean take(RequestState f, boolean held) {
            ClassQueue lane = f.queue;
            double units = f.request.units();
            if (full(f) || bounded && !held && !lane.requests.isEmpty()) return false;
            if (!bounded) return true;
            boolean own = lane.tokens >= units * f.tokenShare;
            if (!own && (!held || spare < units)) return false;
            if (own) lane.tokens -= units;
            else spare -= units;
            return true;
        }

        /**
         * Guards against stale queues at the hosts (any cause): while room is bounded no more is out than
         * it answers within half the shortest aim, but enough to keep a gateway's part of the hosts busy.
         * While it is not, a surge may pass what was out without a sign by a third: hosts are not overrun.
         */
        private boolean full(RequestState f) {
            double part = (double) registry.listedCount() / settings.gateways();
            double depth = bounded
                    ? Math.max(room / meanUnits * 0.2 * shortestAim / 1000, 2.5 * part)
                    : Math.max(1.3 * proven, 3 * part);
            return registry.listedCount() > 0 && out + 1 > Math.max(bounded ? 2 : 3, depth) + f.tokenShare;
        }

        /** Counts served units and the signs of a back end under pressure. */
        void seen(AttemptOutcome o, RequestState f) {
            AttemptState a = f.attempts.get(o.attempt());
            double ratio = (context.nowMs - a.startedAtMs - f.expectedMs() + context.sizes.meanMs(f.classIndex))
                    / f.requestClass.objectiveMs();
            boolean answered = o.status() == AttemptStatus.SERVED;
            boolean sign = o.status() == AttemptStatus.REJECTED
                    || o.status() == AttemptStatus.TIMED_OUT
                    || answered && ratio > 0.6;
            served += answered ? f.request.units() : 0;
            news++;
            if (stalls.isRecovering(context.nowMs) && o.status() != AttemptStatus.REJECTED) return;
            if (sign) pressure.recordSign(a, context.nowMs);
            if (!a.countedAsPressure) pressure.recordResponse(answered ? ratio : 0);
        }

        void update() {
            double seconds = DecisionContext.INTERVAL_MS / 1000;
            usualNews += 0.1 * (news - usualNews);
            news = 0;
            weight = Math.max(0.2, Math.min(1, usualNews / 1.5));
            servedRate += DECAY * weight * (served / seconds - servedRate);
            served = 0;
            registry.count(weight);
            boolean pressed = pressure.hasSign() && pressure.isSlow() && registry.isPressed();
            double demand = 0;
            for (ClassQueue lane : order) {
                lane.arrivalRate += DECAY * weight * (lane.arrivedUnits / seconds - lane.arrivalRate);
                lane.arrivedUnits = 0;
                demand += lane.arrivalRate + ALPHA * lane.queuedUnits / seconds;
            }
            if (pressed) {
                calmSince = context.nowMs;
                if (!bounded) {
                    actions.log("room bounded at " + Math.round(servedRate) + " units/s");
                    for (ClassQueue lane : order) lane.tokens = 1;
                }
                room = bounded ? Math.max(0.93 * room, servedRate) : servedRate;
                bounded = true;
            } else if (bounded) {
                room = Math.max(room, Math.min(servedRate, demand)) * 1.04 + 0.01;
                if (room > 1.3 * demand && context.nowMs - calmSince > 2000 / weight) {
                    bounded = false;
                    actions.log("room unbounded again");
                }
            }
            proven = pressure.isCalm() ? Math.max(0.99 * proven, peak) : 0.97 * proven;
            peak = out;
            pressure.decay(weight);
            if (bounded) deal(seconds);
        }

        private void deal(double seconds) {
            int n = order.length;
            double[][] a = new double[4][n];
            for (int i = 0; i < n; i++) {
                ClassQueue lane = order[i];
                a[0][i] = lane.weight;
                a[1][i] = lane.arrivalRate + ALPHA * lane.queuedUnits / seconds;
                a[2][i] = lane.withinQuota ? lane.arrivalRate : 0;
                a[3][i] = Math.max(lane.arrivalRate, a[1][i]) * 1.3;
            }
            double[] share = CapacityAllocator.allocate(room, a[0], a[1], a[2], a[3]);
            double over = room * seconds;
            for (int i = 0; i < n; i++) {
                double depth = Math.max(share[i] * seconds, share[i] > 0 ? 1 : 0);
                double store = order[i].tokens + share[i] * seconds;
                order[i].tokens = Math.min(depth, store);
                over += Math.max(0, store - depth) - share[i] * seconds;
            }
            spare = Math.min(room * seconds, spare + Math.max(0, over));
        }
    }
}
