package opalcove.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.decision.AdmissionController;
import opalcove.decision.AdmissionRequest;
import opalcove.decision.AttemptOutcome;
import opalcove.decision.AttemptStatus;
import opalcove.decision.CapacityShare;
import opalcove.decision.DecisionActions;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.ProbeStatus;
import opalcove.metrics.ConnectionCloseReason;
import opalcove.metrics.Counters;
import opalcove.metrics.Invariant;
import opalcove.metrics.InvariantMonitor;
import opalcove.metrics.Metrics;
import opalcove.metrics.ShedReason;
import opalcove.metrics.SystemCall;
import opalcove.metrics.SystemCallFailures;
import org.tinylog.Logger;

/**
 * The core: takes asks in from any front, has the decision module choose, makes the attempts over any links and hands
 * back exactly one final answer. It knows no wire. All of it runs on one event loop.
 */
public final class RequestDispatcher {
    /**
     * How much earlier than the terminal the module gives up, ms. Guards against a final answer that is late because
     * the machine was: a pause of the process or a slow wake-up.
     */
    private static final double ANSWER_MARGIN_MS = 25;
    /** The last moment for a final answer should the module give none, ms before the terminal gives up. */
    private static final double GUARD_MARGIN_MS = 5;
    /** Less than so much time before the process is ended is too little to serve an ask in, ms. */
    private static final double LEAST_WAIT_MS = 100;
    /** An ask that may have lain unread for no longer is taken to have come just now, ms. */
    private static final double UNREAD_IGNORED_MS = 10;
    /** An answer that is given so much later than its time has broken the rule, ms: the slack on sockets. */
    private static final double ANSWER_SLACK_MS = 50;
    /** How often the nodes that are avoided are counted at the least, ms: figures may lag by twice that. */
    private static final double AVOIDED_MS = 250;
    /** How often they are counted at the most, ms, however short the drain grace is. */
    private static final double LEAST_BEAT_MS = 25;

    /**
     * The part of the drain grace that a beat may be late before the event loop counts as held up, and that lies
     * between two beats: a drain that lies unread behind an ask for half of its grace is read first.
     */
    private static final double BEAT_PART = 0.25;

    private final Vertx vertx;
    private final Clock clock;
    private final TimerQueue alarms;
    private final BackendTransport links;
    private final EndpointList backends = new EndpointList();
    private final SlowStartTimes starts = new SlowStartTimes();
    private final AttemptGuard guards;
    private final Counters counters = new Counters();
    private final InvariantMonitor invariants = new InvariantMonitor();
    private final SystemCallFailures systemCallFailures = new SystemCallFailures();
    private final Metrics metrics = new Metrics(invariants, systemCallFailures);
    private final Map<String, InFlightRequest> requestsInFlight = new HashMap<>();
    private final ArrayDeque<Runnable> turns = new ArrayDeque<>();
    /** The generations whose modules may still have work: the newest, and older ones with asks open. */
    private final List<ConfigGeneration> generations = new ArrayList<>(2);

    private final long seed;
    private int retunes;
    private ConfigGeneration current;
    private boolean inTurn;
    /** When the event loop last came to its regular count. */
    private double beatAt;
    /** When the process will be ended at the earliest. */
    private double endsAt = Double.MAX_VALUE;

    private Runnable whenIdle;
    private Runnable beforeEachRequest;
    private EndpointSource endpointSource = EndpointSource.ALWAYS_CURRENT;

    /**
     * Hosts a decision module with these settings on the event loop of the caller.
     *
     * @param seed of the module's random numbers
     */
    public RequestDispatcher(Vertx vertx, Clock clock, DecisionSettings settings, long seed, BackendTransport links) {
        this.vertx = vertx;
        this.clock = clock;
        beatAt = clock.now();
        alarms = new TimerQueue(vertx, clock);
        this.links = links;
        links.onLocalConnectFailure(failure -> systemCallFailed(SystemCall.CONNECT, failure));
        this.seed = seed;
        guards = new AttemptGuard(settings, backends);
        current = new ConfigGeneration(settings, seed);
        generations.add(current);
        alarms.schedule(beatMs(), new CountAvoided());
    }

    /**
     * One set of settings, the rules of asks by them and a decision module that decides by them. Each ask stays with the
     * generation that it was taken under, and so keeps its class; new asks go to the newest.
     */
    final class ConfigGeneration {
        final DecisionSettings settings;
        final RequestValidator rules;
        final AdmissionController module;
        private final LongObjectMap<Wake> wakes = new LongObjectHashMap<>();
        /** Asks taken under it and not closed. */
        private int open;

        private ConfigGeneration(DecisionSettings settings, long seed) {
            this.settings = settings;
            rules = new RequestValidator(settings);
            module = new AdmissionController(clock.now(), settings, seed, new Decisions(this));
        }

        private boolean done() {
            return this != current && open == 0;
        }
    }

    /**
     * Takes new settings, which the caller has checked: asks from now on are read and decided by them, asks under way
     * keep theirs, and every ask is held to the new number of attempts. Settings equal to the newest change nothing.
     */
    public void applySettings(DecisionSettings next) {
        if (next.equals(current.settings)) {
            return;
        }
        guards.applyLimits(next);
        current = new ConfigGeneration(next, seed + ++retunes);
        generations.removeIf(ConfigGeneration::done);
        generations.add(current);
        ConfigGeneration told = current;
        List<Endpoint> listed = starts.hosts(backends.all());
        tell(() -> told.module.endpointsChanged(clock.now(), true, listed));
    }

    /** Has this run before each ask is taken: a process that stood still may have settings that hold no more. */
    public void beforeEachRequest(Runnable look) {
        beforeEachRequest = look;
    }

    /** Has attempts wait while this source of the node list is not current. */
    public void endpointSource(EndpointSource source) {
        endpointSource = source;
    }

    /** Who asked: the front's side of one ask. */
    public interface ResponseHandler {
        /** The one final answer. Its value is lent: it holds for the time of this call, and who keeps it copies it. */
        void onResponse(Response answer);

        /**
         * The final answer has begun: a long value, which the asker takes from now on; false where it cannot. No answer
         * follows; the ask is over with the value's end.
         */
        default boolean acceptsStreamedValue(StreamedValue value) {
            return false;
        }

        /**
         * Whether who asked is still connected, having looked now where that is not known anyway. Asked right before an
         * attempt is made: nothing is sent for a client that has left. It may lead to further asks being taken.
         */
        default boolean isConnected() {
            return true;
        }

        /** The ask is over and nothing of it will be written any more: what it holds may be let go. */
        default void onReleased() {}
    }

    /** An ask that is taken and has no answer yet. */
    public interface RequestHandle {
        /** Its terminal has left and is owed nothing any more. */
        void clientLeft();

        /** The long value that answers it cannot be passed on after all, and the front has answered otherwise. */
        default void abortStreamedValue() {}

        /** How much of its time is left, ms; below 0 once it is over. */
        default double remainingMs() {
            return 0;
        }

        /** Another ask's answer waits for its own: it, too, ends before the process is ended. */
        void expedite();
    }

    /**
     * The life of one ask, from top to bottom. It is checked and taken; the module chooses ({@link Decisions}): a final
     * answer ends it, a node gets an attempt ({@link #attempt}), after whose end ({@link #attemptEnded}) the module
     * chooses again. Gives null where the answer was given at once.
     */
    public RequestHandle dispatch(Request request, ResponseHandler responseHandler) {
        return dispatch(request, responseHandler, 0);
    }

    /**
     * The same for an ask that may have lain unread here for so long, ms: its terminal has been waiting since. It is taken off
     * the time that is left, so no node is told more than that.
     */
    public RequestHandle dispatch(Request request, ResponseHandler responseHandler, double unreadMs) {
        counters.received++;
        if (beforeEachRequest != null) {
            beforeEachRequest.run();
        }
        DecisionSettings.RequestClass requestClass;
        try {
            requestClass =
                    current.rules.requestClass(current.rules.validate(request).requestClass());
        } catch (InvalidRequestException e) {
            // Peers count such a failure in the class that the request names, known or not.
            return answerAtOnce(responseHandler, request.requestClass(), new Response.Failed(e.getMessage()));
        }
        if (requestsInFlight.containsKey(request.id())) {
            // Guards an open ask against another terminal that names its id: it is neither joined, answered nor ended.
            return answerAtOnce(responseHandler, requestClass.name(), new Response.Failed("this id is under way"));
        }
        if (requestsInFlight.size() >= current.settings.limits().maxOpen()) {
            // Guards memory and descriptors against more open asks than this machine can hold.
            counters.refused(ShedReason.TOO_MANY_OPEN);
            return answerAtOnce(responseHandler, requestClass.name(), new Response.Refused((long)
                    current.settings.limits().maxRetryAfterMs()));
        }
        double left = endsAt - clock.now();
        if (left < LEAST_WAIT_MS) {
            // Guards an ask that comes late in the end against being taken and never answered.
            counters.refused(ShedReason.ENDING);
            return answerAtOnce(responseHandler, requestClass.name(), new Response.Refused(0));
        }
        double waitMs = unreadMs > UNREAD_IGNORED_MS ? request.timeoutMs() - unreadMs : request.timeoutMs();
        if (waitMs <= 0) {
            // Its time was over before it was read: nothing may be sent for it any more.
            counters.refused(ShedReason.UNREAD_IN_TIME);
            return answerAtOnce(responseHandler, requestClass.name(), new Response.Refused(0));
        }
        InFlightRequest inFlight = take(request.withTimeoutMs(Math.min(waitMs, left)), requestClass, responseHandler);
        submitToModule(inFlight);
        return inFlight.over ? null : inFlight;
    }

    /** The class is null where the ask names none: its end is counted, but in no class. */
    private RequestHandle answerAtOnce(ResponseHandler responseHandler, String requestClass, Response answer) {
        count(requestClass, answer);
        responseHandler.onResponse(answer);
        responseHandler.onReleased();
        return null;
    }

    /** Does what the module chose; what it chooses for a life that is over has no effect. */
    private void follow(InFlightRequest inFlight, InFlightRequest.Step step) {
        if (inFlight.over || inFlight.streaming != null) {
            return;
        }
        if (step instanceof InFlightRequest.Step.Respond end) {
            close(inFlight);
            count(inFlight.requestClass.name(), end.response());
            double late = clock.now() - inFlight.acceptedAtMs - inFlight.request.timeoutMs();
            if (late > ANSWER_SLACK_MS) {
                invariants.violated(
                        Invariant.ANSWER_IN_TIME,
                        inFlight.request.id(),
                        "answered " + (long) late + " ms after its time");
            }
            inFlight.finish(end.response());
        } else {
            attempt(inFlight, (InFlightRequest.Step.Forward) step);
        }
    }

    /** What an ask must be like; a front reads it by these rules before it has it served. */
    public RequestValidator requestValidator() {
        return current.rules;
    }

    private InFlightRequest take(
            Request request, DecisionSettings.RequestClass requestClass, ResponseHandler responseHandler) {
        InFlightRequest inFlight =
                new InFlightRequest(this, current, request, requestClass, responseHandler, clock.now());
        current.open++;
        requestsInFlight.put(request.id(), inFlight);
        metrics.inFlight(requestsInFlight.size());
        alarms.schedule(request.timeoutMs() - GUARD_MARGIN_MS, inFlight.deadline());
        return inFlight;
    }

    private void submitToModule(InFlightRequest inFlight) {
        tell(() -> inFlight.generation.module.requestArrived(clock.now(), request(inFlight.request)));
    }

    private static AdmissionRequest request(Request request) {
        return new AdmissionRequest(
                request.id(),
                request.requestClass(),
                request.plan(),
                request.tenant(),
                request.units(),
                Math.max(1, request.timeoutMs() - ANSWER_MARGIN_MS),
                request.gatewayCount(),
                request.retry());
    }

    /** One attempt: made if the rules allow it and its client is still connected, else ended as not sent. */
    private void attempt(InFlightRequest inFlight, InFlightRequest.Step.Forward step) {
        double now = clock.now();
        AttemptGuard.Veto objection = guards.vetoAttempt(inFlight, step.backend(), now);
        boolean connected = clientIsConnected(inFlight);
        InFlightRequest.Attempt attempt =
                inFlight.new Attempt(objection == null ? backends.available(step.backend()) : null, now);
        inFlight.attempts.add(attempt);
        if (objection != null) {
            counters.vetoed++;
            invariants.prevented(objection.invariant(), inFlight.request.id(), objection.cause());
            tellEnd(inFlight, attempt, step.backend(), AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
            return;
        }
        if (!connected) {
            tellEnd(inFlight, attempt, step.backend(), AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
            return;
        }
        if (now - beatAt > 2 * beatMs() || !endpointSource.isCurrent()) {
            attempt.inProgress = new DeferredAttempt(inFlight, attempt, step);
        } else {
            send(inFlight, attempt, step);
        }
    }

    /** The time between two beats of the event loop, ms. */
    private double beatMs() {
        double part = BEAT_PART * current.settings.obligations().drainGraceMs();
        return Math.max(LEAST_BEAT_MS, Math.min(AVOIDED_MS, part));
    }

    private void send(InFlightRequest inFlight, InFlightRequest.Attempt attempt, InFlightRequest.Step.Forward step) {
        counters.attempts++;
        metrics.backendCall();
        double left = inFlight.acceptedAtMs + inFlight.request.timeoutMs() - clock.now();
        attempt.inProgress = links.startAttempt(
                attempt.backend,
                inFlight.request,
                step.timeoutMs() > 0 ? Math.min(left, step.timeoutMs()) : left,
                attempt);
    }

    /**
     * An attempt that was decided on while the event loop had been held up. Guards a node whose drain lies unread, and may
     * have been told long ago: the attempt is made once all that came meanwhile has been read and the source of the
     * node list was asked for what it has had since, if it still holds then.
     */
    private final class DeferredAttempt implements BackendTransport.Attempt {
        private final InFlightRequest.Attempt attempt;
        private boolean ended;

        DeferredAttempt(InFlightRequest inFlight, InFlightRequest.Attempt attempt, InFlightRequest.Step.Forward step) {
            this.attempt = attempt;
            // By the time that a timer set now is due, the loop has read once more.
            vertx.setTimer(1, read -> endpointSource.whenCurrent(() -> sendIfStillWanted(inFlight, step)));
        }

        private void sendIfStillWanted(InFlightRequest inFlight, InFlightRequest.Step.Forward step) {
            if (ended) {
                return;
            }
            if (stillWanted(inFlight, attempt)) {
                ended = true;
                send(inFlight, attempt, step);
            } else {
                cancel();
            }
        }

        @Override
        public void cancel() {
            if (!ended) {
                ended = true;
                attempt.onResult(AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
            }
        }
    }

    private static final AttemptGuard.Veto LEFT = new AttemptGuard.Veto(Invariant.CLIENT_WAITS, "its client has left");

    /** Whether an answer is still awaited by a client that is there; ends the life of one that has left. */
    boolean clientIsConnected(InFlightRequest inFlight) {
        if (!inFlight.over && !inFlight.clientLeft && !inFlight.isClientConnected()) {
            leave(inFlight);
        }
        return !inFlight.clientLeft;
    }

    /** A link has come up for the attempt: whether what was decided when it was dialled still holds. */
    boolean stillWanted(InFlightRequest inFlight, InFlightRequest.Attempt attempt) {
        return goesOn(
                inFlight,
                !clientIsConnected(inFlight) ? LEFT : guards.vetoAfterConnect(inFlight, attempt, clock.now()));
    }

    /** The attempt's bytes, which tell its node to wait so long, are about to leave: whether they still may. */
    boolean mayLeave(InFlightRequest inFlight, InFlightRequest.Attempt attempt, double toldMs) {
        return goesOn(
                inFlight,
                !clientIsConnected(inFlight) ? LEFT : guards.vetoWrite(inFlight, attempt, toldMs, clock.now()));
    }

    private boolean goesOn(InFlightRequest inFlight, AttemptGuard.Veto lapsed) {
        if (lapsed != null) {
            counters.vetoedLate++;
            invariants.prevented(lapsed.invariant(), inFlight.request.id(), lapsed.cause());
        }
        return lapsed == null;
    }

    /**
     * A long value has begun to come. It is the final answer, for what was passed on cannot be taken back: to the module
     * the attempt is served now, whatever time the terminal takes to read, and its figures follow at the end.
     */
    boolean valueBegan(InFlightRequest inFlight, InFlightRequest.Attempt attempt, StreamedValue value) {
        if (!inFlight.stream(attempt, value)) {
            return false;
        }
        alarms.cancel(inFlight.deadline());
        double now = clock.now();
        tell(() -> inFlight.generation.module.attemptEnded(
                now,
                new AttemptOutcome(
                        inFlight.request.id(),
                        attempt.backend.name(),
                        attempt.number,
                        AttemptStatus.SERVED,
                        now - attempt.startedAtMs,
                        true,
                        -1,
                        0,
                        null)));
        return true;
    }

    /** The attempt whose value was passed on has ended, the value whole or cut. */
    private void passed(InFlightRequest inFlight, AttemptResult end) {
        inFlight.streaming.attempt().result = end.result();
        tell(() -> {
            if (!inFlight.over) {
                close(inFlight);
                count(
                        inFlight.requestClass.name(),
                        inFlight.streaming.value().isComplete()
                                ? new Response.Served(null)
                                : new Response.Failed("cut"));
                inFlight.finish(null);
            }
            if (end.result() == AttemptStatus.SERVED) {
                inFlight.generation.module.usageReported(
                        clock.now(), request(inFlight.request), end.quotaUsedPercent(), end.actualUnits());
            }
        });
    }

    /** An attempt was made and has ended. */
    void attemptEnded(InFlightRequest inFlight, InFlightRequest.Attempt attempt, AttemptResult end) {
        counters.ended(end.result());
        if (inFlight.streaming != null && inFlight.streaming.attempt() == attempt) {
            passed(inFlight, end);
            return;
        }
        // Guards a node against blame for a link that only had no time to come up: its terminal left meanwhile.
        boolean blameless = inFlight.clientLeft && end.result() == AttemptStatus.UNREACHABLE;
        tellEnd(
                inFlight,
                attempt,
                attempt.backend.name(),
                blameless ? AttemptResult.withoutReport(AttemptStatus.NOT_SENT) : end);
    }

    /** Tells the module how an attempt ended. A served value is final; else the module's next step follows. */
    private void tellEnd(InFlightRequest inFlight, InFlightRequest.Attempt attempt, String backend, AttemptResult end) {
        attempt.result = end.result();
        boolean served = end.result() == AttemptStatus.SERVED;
        // Guards a lent value against being looked at when its time is over: this turn may be taken later.
        ByteBuf value = served && inTurn ? Unpooled.copiedBuffer(end.value()) : end.value();
        double now = clock.now();
        tell(() -> {
            boolean first = served && !inFlight.over && inFlight.streaming == null;
            if (first) {
                follow(inFlight, new InFlightRequest.Step.Respond(new Response.Served(value)));
                giveUpCopies(inFlight);
            }
            inFlight.generation.module.attemptEnded(
                    now,
                    new AttemptOutcome(
                            inFlight.request.id(),
                            backend,
                            attempt.number,
                            end.result(),
                            now - attempt.startedAtMs,
                            inFlight.over,
                            end.quotaUsedPercent(),
                            first ? end.actualUnits() : 0,
                            end.loadReport()));
            inFlight.releaseIfDone();
        });
    }

    /**
     * Ends what is still out of a served ask: its second copy, where there is one. The module cannot, for the ask is
     * closed by the time that it hears of the answer.
     */
    private void giveUpCopies(InFlightRequest inFlight) {
        if (!inFlight.generation.settings.limits().mayCancel()) {
            return;
        }
        // By index: an iterator would be an object for each request.
        for (int i = 0; i < inFlight.attempts.size(); i++) {
            InFlightRequest.Attempt copy = inFlight.attempts.get(i);
            if (copy.result == null) {
                counters.cancelled++;
                turns.add(copy.inProgress::cancel);
            }
        }
    }

    /**
     * Guards the promise of one answer in time against a module that holds an ask too long. Also ends the waiting for an
     * attempt that outlasts its ask, where the settings let none be called off: its node may never answer.
     */
    void overdue(InFlightRequest inFlight) {
        if (inFlight.over) {
            List.copyOf(inFlight.attempts).stream()
                    .filter(attempt -> attempt.result == null)
                    .forEach(late -> {
                        counters.cancelled++;
                        late.inProgress.cancel();
                    });
            return;
        }
        if (inFlight.expedited) {
            end(
                    inFlight,
                    () -> follow(
                            inFlight,
                            new InFlightRequest.Step.Respond(
                                    guards.mayRefuse(inFlight)
                                            ? new Response.Refused(0)
                                            : new Response.Failed("the gateway ends"))));
            return;
        }
        counters.deadlineExpired++;
        Logger.error("{} had no answer at its deadline", inFlight.request.id());
        end(inFlight, () -> follow(inFlight, new InFlightRequest.Step.Respond(new Response.Failed("deadline"))));
    }

    double remainingMs(InFlightRequest inFlight) {
        return inFlight.acceptedAtMs + inFlight.request.timeoutMs() - clock.now();
    }

    void giveUpValue(InFlightRequest inFlight) {
        if (!inFlight.over && inFlight.streaming != null) {
            inFlight.streaming.attempt().inProgress.cancel();
        }
    }

    void hurry(InFlightRequest inFlight) {
        if (!inFlight.over
                && inFlight.streaming == null
                && inFlight.acceptedAtMs + inFlight.request.timeoutMs() > endsAt) {
            inFlight.expedited = true;
            alarms.cancel(inFlight.deadline());
            alarms.scheduleAt(endsAt - GUARD_MARGIN_MS, inFlight.deadline());
        }
    }

    void leave(InFlightRequest inFlight) {
        if (inFlight.over || inFlight.clientLeft) {
            return;
        }
        counters.clientsLeft++;
        inFlight.clientLeft = true;
        if (inFlight.streaming != null) {
            inFlight.streaming.attempt().inProgress.cancel();
            return;
        }
        end(inFlight, () -> {
            if (!inFlight.over) {
                close(inFlight);
                inFlight.finish(null);
            }
        });
    }

    /** Has the module give up the life's attempts, which needs its ledger, and only then closes the ledger. */
    private void end(InFlightRequest inFlight, Runnable closing) {
        tell(() -> {
            inFlight.generation.module.requestCancelled(clock.now(), inFlight.request.id());
            turns.add(closing);
        });
    }

    private void close(InFlightRequest inFlight) {
        if (requestsInFlight.remove(inFlight.request.id(), inFlight)) {
            inFlight.generation.open--;
        }
        metrics.inFlight(requestsInFlight.size());
        if (requestsInFlight.isEmpty() && whenIdle != null) {
            // Not within the turn that writes the last answer.
            turns.add(whenIdle);
            whenIdle = null;
        }
    }

    /** Nothing of it is out any more. */
    void settled(InFlightRequest inFlight) {
        alarms.cancel(inFlight.deadline());
    }

    /**
     * The process will be ended so many ms from now: an ask that is taken from here on gets its answer before that, and one
     * for which there is no time left is refused at once.
     */
    public void beginShutdown(double ms) {
        endsAt = clock.now() + ms;
    }

    /** Looks for a sign of life of a node that the module avoids: without an answer it would avoid it for ever. */
    private void probe(ConfigGeneration generation, Backend backend) {
        counters.healthChecks++;
        double began = clock.now();
        links.checkReachable(
                backend,
                reached -> tell(() -> {
                    ProbeStatus result = reached ? ProbeStatus.DONE : ProbeStatus.NOT_DONE;
                    double now = clock.now();
                    generation.module.healthCheckEnded(now, backend.name(), result, now - began, null);
                }));
    }

    /** Runs the action once no ask is open, be it now. */
    public void whenIdle(Runnable action) {
        if (requestsInFlight.isEmpty()) {
            action.run();
        } else {
            whenIdle = action;
        }
    }

    private void count(String requestClass, Response answer) {
        Metrics.RequestOutcome end;
        if (answer instanceof Response.Served) {
            counters.served++;
            end = Metrics.RequestOutcome.SUCCESS;
        } else if (answer instanceof Response.Refused) {
            counters.refused++;
            end = Metrics.RequestOutcome.BUSY;
        } else {
            counters.failed++;
            end = Metrics.RequestOutcome.FAILURE;
        }
        if (requestClass != null) {
            metrics.requestEnded(requestClass, end);
        }
    }

    /** Takes in the node list, whole or its changed lines. */
    public void endpointsChanged(boolean whole, List<Backend> lines) {
        endpointsChanged(whole, lines, 0);
        endpointSourceContacted();
    }

    /**
     * The same by discovery, whose own time was that as it gave the list (0: it is not known); {@link #endpointSourceContacted} follows.
     */
    public void endpointsChanged(boolean whole, List<Backend> lines, double discoveryNow) {
        backends.update(whole, lines).forEach(links::retire);
        int apart = starts.implausibleStarts();
        List<Endpoint> hosts = starts.update(whole, lines, clock.now(), discoveryNow);
        if (starts.implausibleStarts() > apart) {
            counters.implausibleStartTimes += starts.implausibleStarts() - apart;
            Logger.warn(
                    "{} nodes have started at times that cannot be by this machine's clock: taken to have started now",
                    starts.implausibleStarts() - apart);
        }
        generations.removeIf(ConfigGeneration::done);
        for (ConfigGeneration each : generations) {
            tell(() -> each.module.endpointsChanged(clock.now(), whole, hosts));
        }
        tell(this::countAvoided);
    }

    /** Listed nodes that get no new work now, be it by the list's word or by the module's. */
    private void countAvoided() {
        Set<String> used = new HashSet<>();
        for (CapacityShare each : capacityShares()) {
            if (each.share() > 0) {
                used.add(each.backend());
            }
        }
        List<Backend> listed = backends.all();
        metrics.backends(listed.size(), (int) listed.stream()
                .filter(backend -> !used.contains(backend.name()))
                .count());
    }

    private final class CountAvoided extends TimerQueue.Timer {
        @Override
        void onExpiry() {
            beatAt = clock.now();
            tell(RequestDispatcher.this::countAvoided);
            alarms.schedule(beatMs(), this);
        }
    }

    /** What the newest module would give each node now. */
    List<CapacityShare> capacityShares() {
        return current.module.capacityShares(clock.now());
    }

    /** The node list as last told. */
    public List<Backend> backends() {
        return backends.all();
    }

    /** The source of the node list was heard, with or without news. */
    public void endpointSourceContacted() {
        starts.sourceContacted(clock.now());
    }

    /** Discovery was asked and gave no list that can be used: none at all, or one that was refused. */
    public void endpointUpdateFailed(boolean refused) {
        if (refused) {
            counters.endpointListsRejected++;
        } else {
            counters.endpointPollsFailed++;
        }
    }

    /** A front has ended a client's connection. */
    public void clientConnectionClosed(ConnectionCloseReason why) {
        counters.closed(why);
    }

    /** The system has failed a call, as it may for a moment. */
    public void systemCallFailed(SystemCall call, Throwable failure) {
        systemCallFailures.failed(call, failure);
    }

    /** The rules as they are checked here: who closes a connection tells what it breaks. */
    public InvariantMonitor invariants() {
        return invariants;
    }

    /** A front has joined a redelivery to the request under way, or to its answer. */
    public void redeliveryJoined() {
        counters.joined++;
    }

    /** A front has ended a client's connection for want of descriptors: one at rest, or a new one that was not read. */
    public void clientConnectionClosedForDescriptors(boolean isNew) {
        if (isNew) {
            counters.connectionsRefusedForDescriptors++;
        } else {
            counters.connectionsClosedForDescriptors++;
        }
        metrics.connectionEndedForDescriptors(isNew);
    }

    /** The counters, and what is open at this moment; one name and figure a line. */
    public String infoLines() {
        return counters.lines() + invariants.infoLines() + systemCallFailures.lines() + "asks_open="
                + requestsInFlight.size() + "\nlinks_open=" + links.openConnections() + "\nlinks_resting="
                + links.idleConnections() + "\n";
    }

    /** The longest that an ask may wait, under the newest settings and those that open asks were taken under, ms. */
    public long maxDeadlineMs() {
        generations.removeIf(ConfigGeneration::done);
        return (long) generations.stream()
                .flatMap(each -> each.settings.classes().stream())
                .mapToDouble(DecisionSettings.RequestClass::deadlineMs)
                .max()
                .orElse(0);
    }

    /** The newest settings. */
    public DecisionSettings settings() {
        return current.settings;
    }

    /** The figures for operators, which a thread of their own may read. */
    public Metrics metrics() {
        return metrics;
    }

    /**
     * Runs events of the module and the steps that it chose one after another. Guards the module against being
     * called from within one of its own calls.
     */
    private void tell(Runnable event) {
        turns.add(event);
        if (inTurn) {
            return;
        }
        inTurn = true;
        try {
            for (Runnable turn = turns.poll(); turn != null; turn = turns.poll()) {
                try {
                    turn.run();
                } catch (RuntimeException e) {
                    // Guards the other asks against a slip that one of them met; that one ends at its deadline.
                    Logger.error(e, "a decision failed");
                }
            }
        } finally {
            inTurn = false;
        }
    }

    /** Turns the module's actions into steps that the asks' lives wait for. */
    private final class Decisions implements DecisionActions {
        private final ConfigGeneration generation;

        Decisions(ConfigGeneration generation) {
            this.generation = generation;
        }

        /** The ask of that id, where it is one of this generation's: an id may come again under another. */
        private InFlightRequest inFlight(String id) {
            InFlightRequest inFlight = requestsInFlight.get(id);
            return inFlight != null && inFlight.generation == generation ? inFlight : null;
        }

        private void decide(String id, InFlightRequest.Step step) {
            InFlightRequest inFlight = inFlight(id);
            if (inFlight != null) {
                turns.add(() -> RequestDispatcher.this.follow(inFlight, step));
            }
        }

        @Override
        public void startAttempt(String id, String host, double timeoutMs) {
            decide(id, new InFlightRequest.Step.Forward(host, timeoutMs));
        }

        @Override
        public void shed(String id, double retryAfterMs) {
            InFlightRequest inFlight = inFlight(id);
            if (inFlight != null && !guards.mayRefuse(inFlight)) {
                // Guards against promising that a repeat is harmless when an attempt may have had its effect.
                counters.vetoed++;
                invariants.prevented(Invariant.REFUSAL, id, "it may have run");
                fail(id);
                return;
            }
            counters.refused(ShedReason.DECIDED);
            decide(id, new InFlightRequest.Step.Respond(new Response.Refused((long)
                    Math.ceil(Math.max(0, retryAfterMs)))));
        }

        @Override
        public void fail(String id) {
            decide(id, new InFlightRequest.Step.Respond(new Response.Failed("failed")));
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            InFlightRequest inFlight = inFlight(id);
            if (inFlight == null || attempt >= inFlight.attempts.size()) {
                return;
            }
            InFlightRequest.Attempt unwanted = inFlight.attempts.get(attempt);
            // Guards the value that is being passed on; a second copy beside it may go.
            boolean passing = inFlight.streaming != null && inFlight.streaming.attempt() == unwanted;
            if (!passing && unwanted.result == null) {
                counters.cancelled++;
                turns.add(unwanted.inProgress::cancel);
            }
        }

        @Override
        public void setTimer(long token, double afterMs) {
            Wake wake = new Wake(generation, token);
            generation.wakes.put(token, wake);
            alarms.schedule(afterMs, wake);
        }

        @Override
        public void cancelTimer(long token) {
            Wake wake = generation.wakes.remove(token);
            if (wake != null) {
                alarms.cancel(wake);
            }
        }

        @Override
        public void checkHealth(String host) {
            Backend backend = backends.available(host);
            if (backend != null) {
                turns.add(() -> RequestDispatcher.this.probe(generation, backend));
            }
        }

        @Override
        public void subscribeToEndpoints() {
            // The node list is always followed here.
        }

        @Override
        public void log(String line) {
            Logger.info(line);
        }
    }

    /** An alarm of the module. */
    private final class Wake extends TimerQueue.Timer {
        private final ConfigGeneration generation;
        private final long token;

        Wake(ConfigGeneration generation, long token) {
            this.generation = generation;
            this.token = token;
        }

        @Override
        void onExpiry() {
            generation.wakes.remove(token);
            // A generation that is let go has no ask left to decide on, and so no need of its ticks.
            if (!generation.done()) {
                tell(() -> generation.module.timerExpired(clock.now(), token));
            }
        }
    }
}
