package opalcove.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * All decisions of the admission gateway. Its interface is Admission.java. One instance serves one gateway;
 * it knows the settings and its own events alone. Parts: Companion (quotas, ceilings), Split (room among
 * classes), Hosts (choice, health, cold starts) and Flight (the ledger of one request's attempts).
 */
public final class AdmissionController implements DecisionModule {
    /** Length of a split interval and depth of its stores, ms: some answers of each class fall into it. */
    static final double INTERVAL_MS = 250;
    /** How often held requests are looked at when nothing else happens, ms. */
    private static final double PUMP_MS = 20;
    /** Weight of the newest interval in a decayed rate. */
    private static final double DECAY = 0.25;
    /** Part of the backlog that counts as demand (the paper's alpha). */
    private static final double ALPHA = 0.5;
    /** A tick that comes later than this shows that the gateway itself was held up, ms. */
    private static final double LATE_MS = 25;
    /** What was not heard of for so long, an operator or a host that left, is forgotten, ms. */
    private static final double FORGET_MS = 60_000;

    private static final int TICK = 0, ANSWER = 1, SLOW = 2, PUMP = 3;

    private final DecisionSettings settings;
    private final DecisionSettings.Obligations duties;
    private final DecisionSettings.Limits limits;
    private final DecisionActions actions;
    private final Map<String, Integer> classIndex = new HashMap<>(), planIndex = new HashMap<>();
    private final Map<String, Flight> flights = new HashMap<>();
    private final Map<Long, Flight> timers = new HashMap<>();
    private final Companion companion;
    private final Split split;
    private final Hosts hosts;
    private final double[] usual;
    private final SizeEffect[] sizeEffects;
    private final double[] budgets = new double[4], votes = new double[4];
    private double now, copies;
    private final SplittableRandom random;
    private long serial;
    private boolean pumping;
    /**
     * Guards against the gateway's own want of processor read as slow hosts: answers that lay unread looked
     * late, and room was bounded at next to nothing for half a minute. Meanwhile ages tell nothing.
     */
    private double tickDue = Double.MAX_VALUE, lateUntil = -1e18;

    /** Starts a gateway's module; settings that contradict themselves are turned away. */
    public AdmissionController(double now, DecisionSettings settings, long seed, DecisionActions actions) {
        settings.check();
        this.now = now;
        this.settings = settings;
        duties = settings.obligations();
        limits = settings.limits();
        this.actions = actions;
        random = new SplittableRandom(seed);
        usual = new double[settings.classes().size()];
        sizeEffects = Stream.generate(SizeEffect::new).limit(usual.length).toArray(SizeEffect[]::new);
        for (int i = 0; i < usual.length; i++) {
            classIndex.put(settings.classes().get(i).name(), i);
            usual[i] = settings.classes().get(i).objectiveMs() / 6;
        }
        for (int i = 0; i < settings.plans().size(); i++)
            planIndex.put(settings.plans().get(i).name(), i);
        companion = new Companion();
        hosts = new Hosts();
        split = new Split();
        if (duties.listOnRequest()) actions.subscribeToEndpoints();
        actions.setTimer(TICK, INTERVAL_MS);
    }

    @Override
    public void endpointsChanged(double time, boolean whole, List<Endpoint> lines) {
        now = time;
        hosts.listed(whole, lines);
        pump();
    }

    @Override
    public void endpointListFailed(double time) {
        now = time;
        if (duties.listOnRequest()) hosts.askAt = now + INTERVAL_MS;
    }

    @Override
    public void requestArrived(double time, AdmissionRequest r) {
        now = time;
        Integer cls = classIndex.get(r.requestClass());
        Integer plan = planIndex.get(r.plan());
        if (cls == null || plan == null) {
            actions.log("refused: unknown plan or class " + r.plan() + " " + r.requestClass());
            actions.shed(r.id(), 0);
            return;
        }
        Customer c = companion.customer(r, plan);
        Flight f = new Flight(r, cls, plan, c);
        flights.put(r.id(), f);
        arm(ANSWER, f, Math.max(0, r.budgetMs() - 2 * settings.tickMs()));
        boolean inside = companion.inside(c, r.units(), f.aimLeft < f.requestClass.objectiveMs());
        if (f.aimLeft < usual[cls] && (c.keep < 1 || split.bounded) || !inside && !companion.paysBeyond(c)) {
            refuse(f, f.comeBackMs());
            return;
        }
        f.lane = split.lane(plan, cls, inside);
        f.lane.arrived += r.units();
        boolean fits = companion.fits(f);
        if (!fits && !inside && f.plan.ceilingRate() > 0) refuse(f, limits.maxRetryAfterMs());
        else if (fits && split.take(f, false)) dispatch(f);
        else hold(f);
    }

    @Override
    public void attemptEnded(double time, AttemptOutcome o) {
        now = time;
        Flight f = flights.get(o.id());
        if (f == null || o.attempt() >= f.attempts.size() || f.attempts.get(o.attempt()).ended) return;
        Attempt a = f.attempts.get(o.attempt());
        a.ended = true;
        a.ranMaybe = !o.status().neverRan;
        f.out--;
        split.out--;
        f.customer.open--;
        hosts.ended(a, o, f);
        settle(f.customer, f.request, o.usedPercent(), o.trueUnits());
        if (!f.done) split.seen(o, f);
        if (o.requestEnded()) finish(f);
        if (!f.done && f.out == 0) again(f, o.status());
        if (f.done && f.out == 0) flights.remove(o.id());
        pump();
    }

    @Override
    public void usageReported(double time, AdmissionRequest r, int usedPercent, double trueUnits) {
        now = time;
        Integer plan = planIndex.get(r.plan());
        if (plan != null) settle(companion.customer(r, plan), r, usedPercent, trueUnits);
    }

    private void settle(Customer c, AdmissionRequest r, int usedPercent, double trueUnits) {
        companion.told(c, usedPercent);
        if (trueUnits > 0 && settings.unitsAreEstimates()) c.level += r.units() - trueUnits;
    }

    @Override
    public void responseStarted(double time, String id, int attempt) {
        now = time;
        Flight f = flights.get(id);
        if (f != null) f.streaming = true;
    }

    @Override
    public void requestCancelled(double time, String id) {
        now = time;
        Flight f = flights.get(id);
        if (f != null) close(f);
    }

    @Override
    public void healthCheckEnded(double time, String host, ProbeStatus result, double tookMs, double[] load) {
        now = time;
        hosts.probed(host, result, load);
    }

    @Override
    public void timerExpired(double time, long token) {
        now = time;
        int kind = (int) (token & 3);
        if (kind == TICK) {
            if (now - tickDue > LATE_MS) {
                lateUntil = now + 2 * INTERVAL_MS;
                split.answers = split.signs = split.ratios = 0;
            }
            tickDue = now + INTERVAL_MS;
            split.update();
            hosts.tick();
            companion.age();
            actions.setTimer(TICK, INTERVAL_MS);
        }
        if (kind == PUMP) pumping = false;
        if (kind == TICK || kind == PUMP) pump();
        Flight f = timers.remove(token);
        if (f == null || f.done || f.streaming) return;
        if (kind == ANSWER) end(f);
        if (kind == SLOW) slow(f);
    }

    /** A room for each host that is remembered, for a front that does not ask for each request. */
    public List<CapacityShare> capacityShares(double time) {
        now = time;
        return hosts.machines.values().stream().map(hosts::room).toList();
    }

    /** What such a front was told of work that ended at a host; meanMs: below 0 where no time is known. */
    public void loadReported(double time, String host, long served, long failed, double meanMs) {
        now = time;
        Machine m = hosts.machines.get(host);
        if (m == null || served + failed <= 0) return;
        m.heardAt = now;
        hosts.sends += served + failed;
        double part = 1 - Math.pow(0.8, served + failed);
        m.errors += part * ((double) failed / (served + failed) - m.errors);
        if (served <= 0 || meanMs < 0) return;
        hosts.slower(m, meanMs / usual[0]);
        usual[0] += 0.02 * (Math.min(meanMs, 5 * usual[0]) - usual[0]);
    }

    /** Whether this part of the deadline is a first try's: the one most often seen, not the longest. */
    private boolean firstTry(double part) {
        int match = -1, most = 0, least = 0;
        for (int i = 0; i < votes.length; i++) {
            if (Math.abs(budgets[i] - part) < 0.002) match = i;
            if (votes[i] > votes[most]) most = i;
            if (votes[i] < votes[least]) least = i;
        }
        if (match < 0 && votes[least] < 1) budgets[match = least] = part;
        int more = match < 0 ? -1 : 0;
        for (int i = 0; i < 4; i++) votes[i] = Math.max(0, Math.min(50, votes[i] + (i == match ? 1 : more)));
        return votes[most] < 2 || Math.abs(budgets[most] - part) < 0.002;
    }

    private void arm(int kind, Flight f, double afterMs) {
        serial += 4;
        Long token = serial | kind;
        timers.put(token, f);
        f.armed.add(token);
        actions.setTimer(token, afterMs);
    }

    /** Sends on, or holds while no host may have it; the first send is charged to quota and ceiling. */
    private void dispatch(Flight f) {
        if (f.done) return;
        if (!f.maySendMore()) {
            if (f.out == 0) end(f);
            return;
        }
        Machine m = hosts.choose(f);
        if (m == null) {
            hold(f);
            return;
        }
        if (f.attempts.isEmpty()) {
            companion.charge(f);
            copies = Math.min(10, copies + 0.1);
        }
        f.attempts.add(new Attempt(m, f.usualMs()));
        f.out++;
        split.out++;
        split.peak = Math.max(split.peak, split.out);
        split.meanUnits += Math.max(0.02, 1 / ++split.sized) * (f.request.units() - split.meanUnits);
        f.customer.open++;
        hosts.sent(m, f);
        actions.startAttempt(f.request.id(), m.host.id(), 0);
        arm(SLOW, f, slowMs(f));
    }

    /** From this age on an attempt counts as slow. */
    private double slowMs(Flight f) {
        return Math.min(f.requestClass.objectiveMs() * 0.5, usual[f.cls] * 4) + Math.max(0, f.usualMs() - usual[f.cls]);
    }

    /** Holds what may still leave; what is given up gets its final answer at once. */
    private void hold(Flight f) {
        if (f.done || f.held) return;
        if (now - f.arrived >= f.waitBound()) {
            if (f.out == 0) end(f);
            return;
        }
        f.held = true;
        f.lane.queue.add(f);
        f.lane.waiting += f.request.units();
        wakePump();
    }

    private void wakePump() {
        if (!pumping) actions.setTimer(PUMP, PUMP_MS);
        pumping = true;
    }

    /** Releases held requests, dearest class first; past their bound they are refused, cheapest first. */
    private void pump() {
        boolean left = false;
        for (Lane lane : split.order) {
            if (lane.queue.isEmpty()) continue;
            for (Iterator<Flight> it = lane.queue.iterator(); it.hasNext(); ) {
                Flight f = it.next();
                boolean late = now - f.arrived >= f.waitBound();
                boolean leaves =
                        !f.done && !late && companion.fits(f) && (!f.attempts.isEmpty() || split.take(f, true));
                if (!f.done && !late && !leaves) continue;
                it.remove();
                f.held = false;
                lane.waiting -= f.request.units();
                if (leaves) dispatch(f);
                if (late && !f.done && f.out == 0) end(f);
            }
            left |= !lane.queue.isEmpty();
        }
        if (left) wakePump();
    }

    /** None is out and there is no answer: another attempt if lawful and worth it, else the final answer. */
    private void again(Flight f, AttemptStatus last) {
        double left = f.arrived + f.request.budgetMs() - now;
        boolean priced = !last.neverRan && last != AttemptStatus.CANCELLED;
        if (left <= 2 * settings.tickMs() || !f.maySendMore() || priced && (copies < 1 || split.bounded)) {
            end(f);
            return;
        }
        if (priced) copies -= 1;
        if (last == AttemptStatus.REJECTED && f.attempts.size() > 1) hold(f);
        else dispatch(f);
    }

    /** An attempt takes long: a sign of pressure, then a copy or another try where all of them allow it. */
    private void slow(Flight f) {
        if (now < lateUntil) return;
        for (Attempt a : f.attempts) if (!a.ended && now - a.sentAt > 0.9 * slowMs(f)) split.sign(a);
        // Guards against copies that add load where all hosts are slow: none while there is another sign.
        if (f.out != 1 || split.bounded || copies < 1 || split.signs > 1) return;
        if (f.plan.maxInFlight() > 0 || f.requestClass.idempotency() == Idempotency.UNSAFE) return;
        if (limits.secondCopies()) {
            Machine m = f.maySendMore() ? hosts.choose(f) : null;
            if (m != null && hosts.expected(m, f) * 2 < hosts.worst(f)) {
                copies -= 1;
                dispatch(f);
            }
            return;
        }
        int last = f.attempts.size() - 1;
        boolean silent = now - f.attempts.get(last).machine.heardAt > 250;
        if (!limits.mayCancel() || last + 1 >= limits.maxAttempts() || !silent) return;
        copies -= 1;
        actions.cancelAttempt(f.request.id(), last);
    }

    /** The final answer when no host gave one: a refusal where that promise is lawful, else a failure. */
    private void end(Flight f) {
        if (!f.mayRefuse()) actions.fail(f.request.id());
        else actions.shed(f.request.id(), limits.retryAfter() ? f.comeBackMs() : 0);
        close(f);
    }

    private void refuse(Flight f, double retryAfterMs) {
        actions.shed(f.request.id(), limits.retryAfter() ? retryAfterMs : 0);
        close(f);
    }

    private void close(Flight f) {
        finish(f);
        if (f.out == 0) flights.remove(f.request.id());
    }

    private void finish(Flight f) {
        if (f.done) return;
        f.done = true;
        for (Long token : f.armed) if (timers.remove(token) != null) actions.cancelTimer(token);
        if (!limits.mayCancel()) return;
        for (int i = 0; i < f.attempts.size(); i++)
            if (!f.attempts.get(i).ended) actions.cancelAttempt(f.request.id(), i);
    }

    /** How the time to an answer goes with a request's units, for one class: a regression on the latest answers. */
    private static final class SizeEffect {
        private double mean, variance = 0.01, covariance;

        void learn(double units, double aboveUsualMs) {
            if (mean == 0) mean = units;
            double off = units - mean;
            mean += 0.02 * off;
            variance += 0.02 * (off * off - variance);
            covariance += 0.02 * (off * aboveUsualMs - covariance);
        }
    }

    /** One attempt. */
    private final class Attempt {
        final Machine machine;
        final double sentAt = now, work;
        boolean ended, sign, ranMaybe = true;

        Attempt(Machine machine, double work) {
            this.machine = machine;
            this.work = work;
        }
    }

    /** The ledger of one request; it alone says whether another send, a refusal or a failure is lawful. */
    private final class Flight {
        final AdmissionRequest request;
        final DecisionSettings.RequestClass requestClass;
        final DecisionSettings.Plan plan;
        final int cls;
        final Customer customer;
        final double arrived = now;
        final List<Attempt> attempts = new ArrayList<>(2);
        final List<Long> armed = new ArrayList<>(2);
        final double draw = random.nextDouble(); // chance that a part of its units in store is enough
        final double aimLeft; // a later try shows its age by a budget that is not a first try's
        Lane lane;
        int out;
        boolean done, held, streaming;

        Flight(AdmissionRequest request, int cls, int plan, Customer customer) {
            this.request = request;
            this.cls = cls;
            this.plan = settings.plans().get(plan);
            this.customer = customer;
            requestClass = settings.classes().get(cls);
            double waited = Math.max(0, requestClass.deadlineMs() - request.budgetMs());
            boolean later = request.retry() || !firstTry(request.budgetMs() / requestClass.deadlineMs());
            aimLeft = requestClass.objectiveMs() - (later ? waited : 0);
        }

        /** The usual time to an answer to a request of its class and units, ms. */
        double usualMs() {
            SizeEffect effect = sizeEffects[cls];
            double aboveMs = effect.covariance / effect.variance * (request.units() - effect.mean);
            return Math.max(0.3 * usual[cls], Math.min(5 * usual[cls], usual[cls] + aboveMs));
        }

        /** How long it may be held: what is left of its aim once a usual answer has had its time. */
        double waitBound() {
            return Math.max(0, Math.min(aimLeft, request.budgetMs()) - usual[cls] - usualMs()) * 0.6;
        }

        /** Advice with a refusal: a time, by chance, at which another try may still be answered in time. */
        double comeBackMs() {
            return random.nextDouble() * Math.max(0, arrived + aimLeft - 2 * usual[cls] - now);
        }

        /** The first attempt that may have run, or null. */
        Attempt ranFirst() {
            for (int i = 0; i < attempts.size(); i++) if (attempts.get(i).ranMaybe) return attempts.get(i);
            return null;
        }

        boolean maySendMore() {
            if (done || streaming || attempts.size() >= limits.maxAttempts()) return false;
            if (out > 0 && !limits.secondCopies()) return false;
            Attempt first = ranFirst();
            if (first == null || requestClass.idempotency() == Idempotency.SAFE) return true;
            double windowEnd = first.sentAt + requestClass.windowMs();
            return requestClass.idempotency() == Idempotency.KEYED && now + settings.tickMs() < windowEnd;
        }

        /** Whether the next send may go to this host. */
        boolean mayGoTo(Machine m) {
            Attempt first = ranFirst();
            if (first == null
                    || requestClass.idempotency() == Idempotency.SAFE
                    || requestClass.deduplicationScope() == DeduplicationScope.ALL) return true;
            Endpoint a = first.machine.host;
            return requestClass.deduplicationScope() == DeduplicationScope.ZONE
                    ? a.zone().equals(m.host.zone())
                    : a.cell() == m.host.cell();
        }

        boolean mayRefuse() {
            Idempotency effect = requestClass.idempotency();
            if (ranFirst() == null || effect == Idempotency.SAFE) return true;
            return effect == Idempotency.KEYED && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        }

        boolean tried(Machine m) {
            for (int i = 0; i < attempts.size(); i++) if (attempts.get(i).machine == m) return true;
            return false;
        }
    }

    /** What this gateway knows of a customer. */
    private static final class Customer {
        static final int RING = 8;
        final DecisionSettings.Plan plan;
        final int pool, gateways;
        final double[] sent = new double[RING];
        final long[] period = new long[RING];
        double level, ceiling, at, asks, seen, span;
        double toldAt = -1e18, askedAt = -1e18;
        double keep = 1, kept = 1;
        int told = -1;
        int open;

        Customer(int pool, int gateways, double now, double servingSince, DecisionSettings settings) {
            plan = settings.plans().get(pool);
            this.pool = pool;
            this.gateways = Math.max(1, gateways);
            level = plan.burst() / Math.sqrt(this.gateways);
            fillCeiling((now - servingSince) / 1000);
            at = now;
        }

        /** Guards against a gateway that starts again: the ceiling's store is as it stood, so its part starts empty. */
        void fillCeiling(double seconds) {
            double most = plan.ceilingBurst() / (gateways + 1);
            ceiling = Math.min(most, ceiling + seconds * plan.ceilingRate() / gateways);
        }
    }

    /** The told-use companion: refusal chances by customer, and the local parts of ceilings and open caps. */
    private final class Companion {
        /** Memory of a customer's own arrivals, ms. */
        static final double MEMORY_MS = 1500;
        /** Time over which what is left in a store's copy is spent, ms: told use is about this old. */
        static final double SPEND_MS = 2000;
        /** Told use fades towards its plan's mean over this time, ms. */
        static final double FADE_MS = 10_000;

        private final LinkedHashMap<String, Customer> customers = new LinkedHashMap<>(64, 0.75f, true);
        /** By plan; 0 until a use of that plan is told. */
        private final double[] pool = new double[settings.plans().size()];

        private final double periodMs = Math.max(1, settings.meterPeriodMs());
        private double servingSince = Double.MAX_VALUE;

        Customer customer(AdmissionRequest r, int plan) {
            servingSince = Math.min(servingSince, now);
            Customer c = customers.get(r.tenant());
            if (c == null) customers.put(r.tenant(), c = new Customer(plan, r.gateways(), now, servingSince, settings));
            if (c.span <= 0) fade(c, 1);
            return c;
        }

        /** Forgets customers whose stores have had time to fill since they were last heard of. */
        void age() {
            for (Iterator<Customer> it = customers.values().iterator(); it.hasNext(); it.remove()) {
                Customer eldest = it.next();
                DecisionSettings.Plan p = eldest.plan;
                double fillMs = p.ceilingRate() > 0 ? 1000 * p.ceilingBurst() / p.ceilingRate() : 0;
                if (eldest.open > 0 || now - eldest.at < Math.max(FORGET_MS, fillMs)) return;
            }
        }

        private int slot(Customer c, double time) {
            long p = (long) Math.floor(time / periodMs);
            int i = (int) Math.floorMod(p, (long) Customer.RING);
            if (c.period[i] != p) c.sent[i] = 0;
            c.period[i] = p;
            return i;
        }

        private void advance(Customer c) {
            double s = (now - c.at) / 1000;
            c.at = now;
            double drain = others(c) * c.kept;
            c.asks *= Math.exp(-s * 1000 / MEMORY_MS);
            fade(c, 1 - Math.exp(-s * 1000 / FADE_MS));
            c.level = Math.max(0, Math.min(c.plan.burst(), c.level + s * (c.plan.rate() - drain)));
            c.fillCeiling(s);
        }

        /** Lets what is known of a customer's other gateways go towards its plan's usual use by this part. */
        private void fade(Customer c, double part) {
            double calm = pool[c.pool] > 0 ? pool[c.pool] : 1;
            double mean = c.plan.rate() / calm * (c.gateways - 1) / c.gateways;
            c.seen += part * (split.meanUnits - c.seen);
            c.span += part * (split.meanUnits / Math.max(mean, 0.01) - c.span);
        }

        /**
         * What its other gateways are asked, units a second. Guards against thin evidence: it starts with one
         * usual request at the plan's mean, which gives way to told use and, before that, to own arrivals.
         */
        private double others(Customer c) {
            if (c.gateways < 2 || c.toldAt > 0) return c.gateways < 2 ? 0 : c.seen / c.span;
            return (c.seen + c.asks) / (c.span + MEMORY_MS / 1000 / (c.gateways - 1));
        }

        /** Whether a request passes as inside its customer's quota: while the copy lasts, else by chance. */
        boolean inside(Customer c, double units, boolean later) {
            if (c.plan.rate() <= 0) return true;
            advance(c);
            c.asks += units;
            double room = c.plan.rate() + c.level * 1000 / SPEND_MS;
            double own = c.asks * 1000 / MEMORY_MS / (c.toldAt > 0 ? 1 : c.gateways); // untold: in others
            c.keep = Math.min(1, room / Math.max(own + others(c), 1e-9));
            c.kept += (1 - Math.exp((c.askedAt - now) / SPEND_MS)) * (c.keep - c.kept); // others keep alike
            c.askedAt = now;
            if (c.keep >= 1 && c.level >= units) return true;
            return random.nextDouble() < (later ? c.keep * c.keep : c.keep);
        }

        /** Soft plans pass beyond quota while that earns more than it costs and there is room. */
        boolean paysBeyond(Customer c) {
            return c.plan.overQuotaWeight() > c.plan.overQuotaCost() && !split.bounded && !split.slow();
        }

        void charge(Flight f) {
            Customer c = f.customer;
            advance(c);
            c.sent[slot(c, now)] += f.request.units();
            c.level = Math.max(0, c.level - f.request.units());
            c.ceiling -= f.request.units();
        }

        /** Whether a first attempt fits in the cap on open ones and in this gateway's part of the ceiling. */
        boolean fits(Flight f) {
            if (!f.attempts.isEmpty()) return true;
            advance(f.customer);
            boolean underCeiling = f.plan.ceilingRate() <= 0 || f.customer.ceiling >= f.request.units();
            return underCeiling && (f.plan.maxInFlight() <= 0 || f.customer.open < f.plan.maxInFlight());
        }

        /** Takes in a told use, once a meter period: the others' part is what this gateway did not send. */
        void told(Customer c, int percent) {
            if (percent < 0 || periodMs <= 1 || c.plan.rate() <= 0) return;
            if (percent == c.told && now - c.toldAt < periodMs * 0.9) return;
            advance(c);
            c.told = percent;
            c.toldAt = now;
            double sent = 0;
            for (int back = 1; back <= 3; back++) sent += c.sent[slot(c, now - (back - 0.3) * periodMs)] / 3;
            double used = c.plan.rate() * percent / 100 * periodMs / 1000;
            c.seen += Math.max(0, used - sent) / Math.max(0.1, c.kept) - 0.35 * c.seen;
            c.span += periodMs / 1000 - 0.35 * c.span;
            // Guards against tellings that come mostly from heavy customers: the harmonic mean of told use,
            // not divided by our own chance. The mean of demand had calm unseen customers refused as heavy.
            double calm = Math.min(4, 100.0 / Math.max(1, percent));
            pool[c.pool] = pool[c.pool] > 0 ? pool[c.pool] + 0.03 * (calm - pool[c.pool]) : calm;
        }
    }

    /** A class of the split: a plan and a request class, inside the quota or (for soft plans) beyond it. */
    static final class Lane {
        final double weight;
        final boolean inside;
        final ArrayDeque<Flight> queue = new ArrayDeque<>();
        double arrived, rate, waiting, store;

        Lane(double weight, boolean inside) {
            this.weight = weight;
            this.inside = inside;
        }
    }

    /**
     * Splits a room among classes, all arrays from the dearest class to the cheapest: floors first (from the
     * top where they pass the room), the rest by sqrt(weight x demand), clamped, the excess dealt again.
     */
    static double[] allot(double room, double[] weight, double[] demand, double[] floor, double[] most) {
        int n = weight.length;
        double[] share = new double[n];
        double rest = room;
        for (int i = 0; i < n; i++) {
            share[i] = Math.min(floor[i], Math.max(0, rest));
            rest -= share[i];
        }
        double[] root = new double[n];
        double steepest = 0;
        for (int i = n - 1; i >= 0; i--) {
            if (demand[i] <= 0) continue;
            steepest = Math.max(steepest, weight[i] / demand[i]);
            root[i] = Math.sqrt(steepest * demand[i] * demand[i]);
        }
        for (int round = 0; round < n && rest > 1e-9; round++) {
            double sum = 0;
            for (int i = 0; i < n; i++) sum += share[i] < most[i] ? root[i] : 0;
            if (sum <= 0) break;
            double dealt = rest;
            for (int i = 0; i < n; i++) {
                if (share[i] >= most[i]) continue;
                double part = Math.min(most[i] - share[i], dealt * root[i] / sum);
                share[i] += part;
                rest -= part;
            }
        }
        return share;
    }

    /** The harmonic split of this gateway's measured room. */
    private final class Split {
        final Lane[] order;
        private final Lane[][] lanes;
        private double served, servedRate, answers, signs, ratios, spare, news, usualNews;
        private double calmSince = now, shortestAim = Double.MAX_VALUE, meanUnits = 1, sized = 1;
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
            lanes = new Lane[settings.plans().size() * classes][2];
            List<Lane> all = new ArrayList<>();
            for (int i = 0; i < lanes.length; i++) {
                DecisionSettings.Plan p = settings.plans().get(i / classes);
                double weight = settings.classes().get(i % classes).weight() * p.price();
                lanes[i][0] = new Lane(weight * Math.max(0, p.overQuotaWeight() - p.overQuotaCost()), false);
                lanes[i][1] = new Lane(weight, true);
                all.addAll(List.of(lanes[i][1], lanes[i][0]));
            }
            all.sort((a, b) -> Double.compare(b.weight, a.weight));
            order = all.toArray(new Lane[0]);
        }

        Lane lane(int plan, int cls, boolean inside) {
            return lanes[plan * settings.classes().size() + cls][inside ? 1 : 0];
        }

        /** Whether a request may leave now: on its class's store or, when held, on what others left. */
        boolean take(Flight f, boolean held) {
            Lane lane = f.lane;
            double units = f.request.units();
            if (full(f) || bounded && !held && !lane.queue.isEmpty()) return false;
            if (!bounded) return true;
            boolean own = lane.store >= units * f.draw;
            if (!own && (!held || spare < units)) return false;
            if (own) lane.store -= units;
            else spare -= units;
            return true;
        }

        /**
         * Guards against stale queues at the hosts (any cause): while room is bounded no more is out than
         * it answers within half the shortest aim, but enough to keep a gateway's part of the hosts busy.
         * While it is not, a surge may pass what was out without a sign by a third: hosts are not overrun.
         */
        private boolean full(Flight f) {
            double part = (double) hosts.usable / settings.gateways();
            double depth = bounded
                    ? Math.max(room / meanUnits * 0.2 * shortestAim / 1000, 2.5 * part)
                    : Math.max(1.3 * proven, 3 * part);
            return hosts.usable > 0 && out + 1 > Math.max(bounded ? 2 : 3, depth) + f.draw;
        }

        /**
         * Whether answers took much of their aims of late, a sign counting as a whole aim. A part of signs
         * took hosts that let one class lie, and serve the rest quickly, for pressed ones.
         */
        boolean slow() {
            return ratios > 0.27 * answers;
        }

        /** Counts served units and the signs of a back end under pressure. */
        void seen(AttemptOutcome o, Flight f) {
            Attempt a = f.attempts.get(o.attempt());
            double ratio = (now - a.sentAt - f.usualMs() + usual[f.cls]) / f.requestClass.objectiveMs();
            boolean answered = o.status() == AttemptStatus.SERVED;
            boolean sign = o.status() == AttemptStatus.REJECTED
                    || o.status() == AttemptStatus.TIMED_OUT
                    || answered && ratio > 0.6;
            served += answered ? f.request.units() : 0;
            news++;
            if (now < lateUntil && o.status() != AttemptStatus.REJECTED) return;
            if (sign) sign(a);
            if (a.sign) return;
            answers++;
            ratios += answered ? ratio : 0;
        }

        /**
         * Guards against silence read as calm: an attempt still out at its slow time is a sign then, however
         * it ends: called off at the end it never told, so the slower the hosts, the fewer the signs.
         * Also for cut links, lost answers, stalled hosts. Could hurt where a tenth of a class's work is that
         * long.
         */
        void sign(Attempt a) {
            if (a.sign) return;
            a.sign = true;
            answers++;
            signs++;
            ratios++;
            a.machine.signAt = now;
        }

        void update() {
            double seconds = INTERVAL_MS / 1000;
            usualNews += 0.1 * (news - usualNews);
            news = 0;
            weight = Math.max(0.2, Math.min(1, usualNews / 1.5));
            servedRate += DECAY * weight * (served / seconds - servedRate);
            served = 0;
            hosts.count();
            boolean pressed = signs >= 1 && slow() && hosts.pressed * 3 >= hosts.heard;
            double demand = 0;
            for (Lane lane : order) {
                lane.rate += DECAY * weight * (lane.arrived / seconds - lane.rate);
                lane.arrived = 0;
                demand += lane.rate + ALPHA * lane.waiting / seconds;
            }
            if (pressed) {
                calmSince = now;
                if (!bounded) {
                    actions.log("room bounded at " + Math.round(servedRate) + " units/s");
                    for (Lane lane : order) lane.store = 1;
                }
                room = bounded ? Math.max(0.93 * room, servedRate) : servedRate;
                bounded = true;
            } else if (bounded) {
                room = Math.max(room, Math.min(servedRate, demand)) * 1.04 + 0.01;
                if (room > 1.3 * demand && now - calmSince > 2000 / weight) {
                    bounded = false;
                    actions.log("room unbounded again");
                }
            }
            proven = signs < 0.5 ? Math.max(0.99 * proven, peak) : 0.97 * proven;
            peak = out;
            answers *= 1 - 0.3 * weight;
            signs *= 1 - 0.3 * weight;
            ratios *= 1 - 0.3 * weight;
            if (bounded) deal(seconds);
        }

        private void deal(double seconds) {
            int n = order.length;
            double[][] a = new double[4][n];
            for (int i = 0; i < n; i++) {
                Lane lane = order[i];
                a[0][i] = lane.weight;
                a[1][i] = lane.rate + ALPHA * lane.waiting / seconds;
                a[2][i] = lane.inside ? lane.rate : 0;
                a[3][i] = Math.max(lane.rate, a[1][i]) * 1.3;
            }
            double[] share = allot(room, a[0], a[1], a[2], a[3]);
            double over = room * seconds;
            for (int i = 0; i < n; i++) {
                double depth = Math.max(share[i] * seconds, share[i] > 0 ? 1 : 0);
                double store = order[i].store + share[i] * seconds;
                order[i].store = Math.min(depth, store);
                over += Math.max(0, store - depth) - share[i] * seconds;
            }
            spare = Math.min(room * seconds, spare + Math.max(0, over));
        }
    }

    /** A host as this gateway sees it. */
    private static final class Machine {
        Endpoint host;
        String zone, kind;
        boolean listed;
        double goneAt = Double.MAX_VALUE;
        double slowness = 1, errors, budget, inHand, heardAt, oldestAt, shunUntil;
        double coldSince = -1e18, signAt = -1e18, metAt = -1e18, downSince = -1;
        int out, fails, unreached, refusals;
    }

    /** The hosts: the list, the choice, health and cold starts. */
    private final class Hosts {
        private final Map<String, Machine> machines = new LinkedHashMap<>();
        /** What a starting host may be given, as a multiple of its ramp: real ramps are seldom the slowest. */
        private final double margin = Math.min(1.2, 0.5 * duties.overloadFactor());

        private boolean first = true;
        private double pace, paced, meanSize = 1, doneWork, sends, visits, whole = largest();
        /** How fast marks fade: slower where a gateway comes back to a host seldom, or none would be used. */
        private double memory = 1;
        /** Guards against hosts failing together (a zone cut, a kind restarting): parts failed by group. */
        private final Map<String, double[]> faults = new HashMap<>();

        private static final double[] NO_FAULTS = new double[1];

        double askAt = Double.MAX_VALUE;
        private int usable, heard, pressed, warm;

        void listed(boolean whole, List<Endpoint> lines) {
            askAt = Double.MAX_VALUE;
            for (Machine m : whole ? machines.values() : List.<Machine>of()) {
                m.listed = false;
                m.goneAt = Math.min(m.goneAt, now);
            }
            for (Endpoint line : lines) {
                Machine m = machines.get(line.id());
                boolean fresh = m == null;
                if (fresh) {
                    m = new Machine();
                    m.heardAt = now;
                    machines.put(line.id(), m);
                }
                boolean restarted = !fresh && line.startedMs() > 0 && line.startedMs() != m.host.startedMs();
                boolean recent = line.startedMs() > Math.max(0, now - duties.warmAfterMs());
                if (restarted || fresh && (recent || !first)) {
                    chill(m, line.startedMs() > 0 ? Math.max(line.startedMs(), m.coldSince) : now);
                }
                m.host = line;
                m.zone = "zone " + line.zone();
                m.kind = "kind " + line.kind();
                m.listed = line.state() == EndpointState.UP;
                m.goneAt = line.state() == EndpointState.REMOVED ? Math.min(m.goneAt, now) : Double.MAX_VALUE;
            }
            count();
            first = false;
        }

        private void chill(Machine m, double since) {
            m.coldSince = since;
            // Guards against gateways in step, and against each saving up a whole request before any sends.
            m.budget = random.nextDouble() * whole;
            m.slowness = 1;
            m.fails = 0;
            m.shunUntil = 0;
        }

        private double largest() {
            return Arrays.stream(usual).max().orElse(1);
        }

        private boolean cold(Machine m) {
            return now - m.coldSince < duties.warmAfterMs();
        }

        /** Counts the hosts that are listed, heard of lately, and seen under pressure lately. */
        void count() {
            usable = heard = pressed = warm = 0;
            for (Machine m : machines.values()) {
                usable += m.listed ? 1 : 0;
                if (m.listed && !cold(m) && m.fails < 2) meanSize += (m.host.size() - meanSize) / ++warm;
                heard += m.listed && now - m.heardAt < 2000 / split.weight ? 1 : 0;
                pressed += m.listed && now - m.signAt < 2000 / split.weight ? 1 : 0;
            }
        }

        /** Once an interval: pace of warm hosts by size, budgets of cold ones; slow marks fade so hosts are tried. */
        void tick() {
            if (now >= askAt) {
                askAt = now + 4 * INTERVAL_MS;
                actions.subscribeToEndpoints();
            }
            double did = warm > 0 ? doneWork / INTERVAL_MS / Math.max(1e-9, warm * meanSize) : pace;
            if (paced > 0 || did > 0) pace += Math.max(0.05, 1 / ++paced) * (did - pace);
            doneWork = 0;
            whole = largest();
            visits += 0.1 * (sends - visits);
            sends = 0;
            memory = Math.max(0.2, Math.min(1, 20 * visits / Math.max(1, usable)));
            // Guards memory and each choice against hosts replaced for days: those that left are forgotten.
            machines.values().removeIf(m -> m.out == 0 && now - m.goneAt > FORGET_MS);
            for (double[] part : faults.values()) part[0] *= 0.97;
            for (Machine m : machines.values()) {
                m.slowness += 0.04 * memory * (1 - m.slowness);
                m.errors *= 1 - 0.04 * memory;
                if (cold(m)) {
                    // Guards against sizes that tell the load of the moment: a bound whatever they say.
                    double part = Math.min(margin * m.host.size(), 0.7 * duties.overloadFactor() * meanSize);
                    double rate = coldShare(m) * pace * part;
                    double depth = Math.max(whole, rate * 1000);
                    m.budget = Math.min(depth, m.budget + rate * INTERVAL_MS);
                }
                if (m.listed && m.fails > 1 && limits.mayProbe() && now >= m.shunUntil) {
                    m.shunUntil = now + 1000;
                    actions.checkHealth(m.host.id());
                }
            }
        }

        /** A starting host's part is bounded by its ramp, a warm one's sinks with errors and lateness. */
        CapacityShare room(Machine m) {
            if (!m.listed || now < m.shunUntil) return new CapacityShare(m.host.id(), 0);
            double ramp = cold(m) ? coldShare(m) * Math.min(0.9, margin) : 1;
            double share = ramp / (Math.max(1, m.slowness) * (1 + 20 * m.errors * m.errors));
            return new CapacityShare(m.host.id(), Math.max(0.02, share));
        }

        private double coldShare(Machine m) {
            double from = duties.initialShare();
            return from + (1 - from) * (now - m.coldSince) / Math.max(1, duties.warmAfterMs());
        }

        /**
         * Guards against connects that fail while standing connections are served (lost packets, full tables,
         * hosts too busy to accept): where connects fail, hosts that answered lately go first. Could hurt by
         * sending much to few hosts; their answers then get slow, and others are tried again.
         */
        private boolean connected(Machine m) {
            return now - m.metAt < limits.idleCloseMs();
        }

        double expected(Machine m, Flight f) {
            double stall = m.out == 0 ? 0 : (now - Math.max(m.heardAt, m.oldestAt)) / 2;
            double wait = m.slowness * (m.inHand * Math.min(2, settings.gateways() / 2.0) + f.usualMs());
            return wait * (1 + 20 * m.errors * m.errors) + Math.max(0, stall - usual[f.cls]);
        }

        double worst(Flight f) {
            double worst = 0;
            for (Attempt a : f.attempts)
                if (!a.ended) worst = Math.max(worst, expected(a.machine, f) + (now - a.sentAt) / 2);
            return worst;
        }

        /** The host with the least expected wait among those that may have this request. */
        Machine choose(Flight f) {
            Machine best = null;
            double least = Double.MAX_VALUE;
            for (Machine m : machines.values()) {
                if (!m.listed || !f.mayGoTo(m) || f.out > 0 && f.tried(m)) continue;
                boolean cold = cold(m);
                double cost = expected(m, f) * (f.tried(m) ? 4 : 1) * (1 + 0.05 * random.nextDouble());
                if (!m.host.zone().equals(settings.zone()))
                    cost *= 1 + 10 * settings.costs().crossZone();
                if (now < m.shunUntil) continue;
                if (cold ? m.budget < whole : m.fails > 1 && m.out > 0) continue;
                cost *= 1 + (connected(m) ? 4 : 20) * (faults(m.zone) + faults(m.kind));
                // Its budget bounds a cold host; warm ones may look idle here while others load them.
                if (cold) cost /= 2 * Math.sqrt(coldShare(m));
                if (cost >= least) continue;
                best = m;
                least = cost;
            }
            return best;
        }

        void sent(Machine m, Flight f) {
            if (m.out == 0) m.oldestAt = now;
            sends++;
            m.out++;
            m.inHand += f.usualMs();
            if (cold(m)) m.budget -= usual[f.cls];
        }

        void ended(Attempt a, AttemptOutcome o, Flight f) {
            Machine m = a.machine;
            m.out--;
            m.inHand = m.out == 0 ? 0 : Math.max(0, m.inHand - a.work);
            switch (o.status()) {
                case SERVED, ERROR -> {
                    doneWork += cold(m) ? 0 : a.work;
                    m.heardAt = now;
                    fault(m, 0);
                    alive(m);
                    m.refusals = 0;
                    m.errors += 0.2 * ((o.status() == AttemptStatus.ERROR ? 1 : 0) - m.errors);
                    if (o.status() == AttemptStatus.ERROR) return; // a quick error must not make a host look fast
                    slower(m, o.elapsedMs() / f.usualMs());
                    double aboveMs = Math.min(o.elapsedMs(), 5 * usual[f.cls]) - usual[f.cls];
                    if (!settings.unitsAreEstimates()) sizeEffects[f.cls].learn(f.request.units(), aboveMs);
                    usual[f.cls] += 0.02 * aboveMs;
                }
                case REJECTED -> {
                    m.heardAt = now;
                    alive(m);
                    m.refusals++;
                    m.shunUntil = now + Math.min(2000, 100 * m.refusals) / memory * (cold(m) ? 10 : 1);
                }
                case UNREACHABLE -> {
                    m.unreached++;
                    failed(m);
                }
                case BROKEN -> failed(m);
                // Guards against hosts that let attempts lie: one called off took at least its time out.
                case CANCELLED, TIMED_OUT -> slower(m, Math.max(m.slowness, (now - a.sentAt) / f.usualMs()));
                default -> {}
            }
        }

        private void slower(Machine m, double ratio) {
            double step = (ratio > m.slowness ? 0.15 : 0.1) / Math.sqrt(memory);
            m.slowness += step * (Math.min(20, ratio) - m.slowness);
        }

        private void fault(Machine m, double part) {
            fault(m.zone, part);
            fault(m.kind, part);
        }

        private void fault(String group, double part) {
            double[] known = faults.computeIfAbsent(group, none -> new double[1]);
            known[0] = 0.7 * known[0] + 0.3 * part;
        }

        private double faults(String group) {
            return faults.getOrDefault(group, NO_FAULTS)[0];
        }

        private void failed(Machine m) {
            fault(m, 1);
            m.metAt = -1e18;
            m.fails++;
            if (m.downSince < 0) m.downSince = now;
            m.shunUntil = now + Math.min(4000, 500 * m.fails) / memory;
        }

        /**
         * Back after failed connects: it may have started anew before the list says so, so it is cold. Guards
         * also against links that break now and then: two such in a row had warm hosts paced as cold ones.
         */
        private void alive(Machine m) {
            if (m.unreached > 2 && m.downSince >= 0 && now - m.downSince > 1000 && !cold(m)) chill(m, now);
            m.metAt = now;
            m.fails = m.unreached = 0;
            m.downSince = -1;
        }

        void probed(String id, ProbeStatus result, double[] load) {
            Machine m = machines.get(id);
            if (m == null) return;
            m.shunUntil = 0;
            if (result == ProbeStatus.DONE) alive(m);
            else failed(m);
        }
    }
}
