package opalcove.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.Vertx;
import java.util.List;
import opalcove.config.Clock;
import opalcove.decision.AttemptOutcome;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;
import opalcove.metrics.Counters;
import opalcove.metrics.Invariant;
import opalcove.metrics.InvariantMonitor;
import opalcove.metrics.Metrics;
import opalcove.metrics.ShedReason;
import org.tinylog.Logger;

/**
 * The life of a request, from top to bottom: it is validated and accepted; the decision module chooses
 * ({@link ModuleActions}); a final response ends it, or a backend gets an attempt, after whose end the module chooses
 * again. Used on the event loop only.
 */
final class RequestLifecycle {
    /** The last moment for a final response should the module give none, ms before the client's deadline. */
    private static final double DEADLINE_MARGIN_MS = 5;
    /** Less time than this before the process ends is too little to serve a request in, ms. */
    private static final double MIN_SERVE_TIME_MS = 100;
    /** A request that may have lain unread for no longer counts as just received, ms. */
    private static final double UNREAD_IGNORED_MS = 10;
    /** A response that is later than its deadline by more than this violates the invariant, ms: the slack on sockets. */
    private static final double RESPONSE_SLACK_MS = 50;

    private static final AttemptGuard.Veto CLIENT_DISCONNECTED =
            new AttemptGuard.Veto(Invariant.CLIENT_WAITS, "its client has left");

    private final Vertx vertx;
    private final Clock clock;
    private final TimerQueue timers;
    private final TurnQueue turns;
    private final BackendTransport transport;
    private final EndpointList endpoints;
    private final AttemptGuard guard;
    private final ConfigGenerations generations;
    private final InFlightRequests requests;
    private final Counters counters;
    private final InvariantMonitor invariants;
    private final Metrics metrics;
    private final ResponseCounts responseCounts;
    private final LoopHeartbeat heartbeat;
    private final StreamedResponses streamedResponses;
    private EndpointSource endpointSource = EndpointSource.ALWAYS_CURRENT;
    /** When the process will be ended at the earliest. */
    private double processEndsAtMs = Double.MAX_VALUE;

    RequestLifecycle(CoreParts parts, LoopHeartbeat heartbeat) {
        this.heartbeat = heartbeat;
        vertx = parts.vertx();
        clock = parts.clock();
        timers = parts.timers();
        turns = parts.turns();
        transport = parts.transport();
        endpoints = parts.endpoints();
        guard = parts.guard();
        generations = parts.generations();
        requests = parts.requests();
        counters = parts.counters();
        invariants = parts.invariants();
        metrics = parts.metrics();
        responseCounts = new ResponseCounts(counters, metrics);
        streamedResponses = new StreamedResponses(parts, responseCounts);
    }

    // Intake.

    /**
     * Validates a request and accepts it, or responds at once.
     *
     * @param unreadMs how long it may have lain unread here: its client has been waiting since
     * @return null where the response was given at once
     */
    RequestHandle dispatch(Request request, ResponseHandler handler, double unreadMs) {
        ConfigGeneration newest = generations.newest();
        DecisionSettings.RequestClass requestClass;
        try {
            requestClass = newest.validator.requestClass(
                    newest.validator.validate(request).requestClass());
        } catch (InvalidRequestException e) {
            // Peers count such a failure in the class that the request names, known or not.
            return respondAtOnce(handler, request.requestClass(), new Response.Failed(e.getMessage()));
        }
        if (requests.contains(request.id())) {
            // Guards an open request against another client that names its id: it is not joined, answered or ended.
            return respondAtOnce(handler, requestClass.name(), new Response.Failed("this id is under way"));
        }
        return admit(request, requestClass, handler, unreadMs);
    }

    /** Accepts a valid request and has the module decide on it, or sheds it at once. */
    private RequestHandle admit(
            Request request, DecisionSettings.RequestClass requestClass, ResponseHandler handler, double unreadMs) {
        DecisionSettings.Limits limits = generations.newest().settings.limits();
        if (requests.count() >= limits.maxOpen()) {
            // Guards memory and descriptors against more open requests than this machine can hold.
            return shed(handler, requestClass, ShedReason.TOO_MANY_OPEN, (long) limits.maxRetryAfterMs());
        }
        double untilEndMs = processEndsAtMs - clock.now();
        if (untilEndMs < MIN_SERVE_TIME_MS) {
            // Guards a request that comes late in the shutdown against being accepted and never answered.
            return shed(handler, requestClass, ShedReason.ENDING, 0);
        }
        double timeoutMs = unreadMs > UNREAD_IGNORED_MS ? request.timeoutMs() - unreadMs : request.timeoutMs();
        if (timeoutMs <= 0) {
            // Its deadline was over before it was read: nothing may be sent for it any more.
            return shed(handler, requestClass, ShedReason.UNREAD_IN_TIME, 0);
        }
        InFlightRequest accepted =
                accept(request.withTimeoutMs(Math.min(timeoutMs, untilEndMs)), requestClass, handler);
        consultModule(accepted);
        return accepted.over ? null : accepted;
    }

    private RequestHandle shed(
            ResponseHandler handler, DecisionSettings.RequestClass requestClass, ShedReason reason, long retryAfterMs) {
        counters.refused(reason);
        return respondAtOnce(handler, requestClass.name(), new Response.Refused(retryAfterMs));
    }

    /** The class is null where the request names none: its end is counted, but in no class. */
    private RequestHandle respondAtOnce(ResponseHandler handler, String requestClass, Response response) {
        responseCounts.count(requestClass, response);
        handler.onResponse(response);
        handler.onReleased();
        return null;
    }

    private InFlightRequest accept(
            Request request, DecisionSettings.RequestClass requestClass, ResponseHandler handler) {
        InFlightRequest accepted =
                new InFlightRequest(this, generations.newest(), request, requestClass, handler, clock.now());
        requests.open(accepted);
        timers.schedule(request.timeoutMs() - DEADLINE_MARGIN_MS, accepted.deadline());
        return accepted;
    }

    // Decisions of the module.

    private void consultModule(InFlightRequest inFlight) {
        turns.run(() -> inFlight.generation.module.requestArrived(clock.now(), inFlight.admissionRequest()));
    }

    /** Does what the module chose; what it chooses for a request that is over has no effect. */
    void follow(InFlightRequest inFlight, Step step) {
        if (inFlight.over || inFlight.streaming != null) {
            return;
        }
        if (step instanceof Step.Respond last) {
            requests.close(inFlight);
            responseCounts.count(inFlight.requestClass.name(), last.response());
            double lateMs = clock.now() - inFlight.acceptedAtMs - inFlight.request.timeoutMs();
            if (lateMs > RESPONSE_SLACK_MS) {
                invariants.violated(
                        Invariant.ANSWER_IN_TIME,
                        inFlight.request.id(),
                        "answered " + (long) lateMs + " ms after its time");
            }
            inFlight.finish(last.response());
        } else {
            attempt(inFlight, (Step.Forward) step);
        }
    }

    // Attempts.

    /** One attempt: started if the guard allows it and its client is still connected, else ended as not sent. */
    private void attempt(InFlightRequest inFlight, Step.Forward step) {
        double nowMs = clock.now();
        AttemptGuard.Veto veto = guard.vetoAttempt(inFlight, step.backend(), nowMs);
        boolean connected = isClientConnected(inFlight);
        InFlightRequest.Attempt attempt =
                inFlight.new Attempt(veto == null ? endpoints.available(step.backend()) : null, nowMs);
        inFlight.attempts.add(attempt);
        if (veto != null) {
            counters.vetoed++;
            invariants.prevented(veto.invariant(), inFlight.request.id(), veto.cause());
        }
        if (veto != null || !connected) {
            reportOutcome(inFlight, attempt, step.backend(), AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
        } else if (heartbeat.isLoopHeldUp(nowMs) || !endpointSource.isCurrent()) {
            attempt.inProgress = new DeferredAttempt(vertx, this, inFlight, attempt, step);
        } else {
            start(inFlight, attempt, step);
        }
    }

    void start(InFlightRequest inFlight, InFlightRequest.Attempt attempt, Step.Forward step) {
        counters.attempts++;
        metrics.backendCall();
        double remainingMs = remainingMs(inFlight);
        attempt.inProgress = transport.startAttempt(
                attempt.backend,
                inFlight.request,
                step.timeoutMs() > 0 ? Math.min(remainingMs, step.timeoutMs()) : remainingMs,
                attempt);
    }

    /** Runs the action once the endpoint list is current. */
    void whenEndpointsCurrent(Runnable action) {
        endpointSource.whenCurrent(action);
    }

    /** Whether a response is still awaited by a client that is there; ends the request of one that has left. */
    private boolean isClientConnected(InFlightRequest inFlight) {
        if (!inFlight.over && !inFlight.clientDisconnected && !inFlight.isClientConnected()) {
            clientDisconnected(inFlight);
        }
        return !inFlight.clientDisconnected;
    }

    /** A connection has come up for the attempt: whether what was decided before still holds. */
    boolean isStillWanted(InFlightRequest inFlight, InFlightRequest.Attempt attempt) {
        return isAllowed(
                inFlight,
                isClientConnected(inFlight)
                        ? guard.vetoAfterConnect(inFlight, attempt, clock.now())
                        : CLIENT_DISCONNECTED);
    }

    /** The attempt's bytes, which pass on this deadline, are about to leave: whether they still may. */
    boolean maySend(InFlightRequest inFlight, InFlightRequest.Attempt attempt, double deadlineMs) {
        return isAllowed(
                inFlight,
                isClientConnected(inFlight)
                        ? guard.vetoWrite(inFlight, attempt, deadlineMs, clock.now())
                        : CLIENT_DISCONNECTED);
    }

    private boolean isAllowed(InFlightRequest inFlight, AttemptGuard.Veto veto) {
        if (veto != null) {
            counters.vetoedLate++;
            invariants.prevented(veto.invariant(), inFlight.request.id(), veto.cause());
        }
        return veto == null;
    }

    // Outcomes.

    /** A value too long to be gathered has begun to come. */
    boolean valueBegan(InFlightRequest inFlight, InFlightRequest.Attempt attempt, StreamedValue value) {
        return streamedResponses.began(inFlight, attempt, value);
    }

    /** An attempt was started and has ended. */
    void attemptEnded(InFlightRequest inFlight, InFlightRequest.Attempt attempt, AttemptResult result) {
        counters.attemptEnded(result.status());
        if (inFlight.streaming != null && inFlight.streaming.attempt() == attempt) {
            streamedResponses.ended(inFlight, result);
            return;
        }
        // Guards a backend against blame for a connection that only had no time to come up: its client left meanwhile.
        boolean blameless = inFlight.clientDisconnected && result.status() == AttemptStatus.UNREACHABLE;
        reportOutcome(
                inFlight,
                attempt,
                attempt.backend.name(),
                blameless ? AttemptResult.withoutReport(AttemptStatus.NOT_SENT) : result);
    }

    /** Notifies the module of an attempt's end. A served value is final; else the module's next step follows. */
    private void reportOutcome(
            InFlightRequest inFlight, InFlightRequest.Attempt attempt, String backend, AttemptResult result) {
        attempt.status = result.status();
        boolean served = result.status() == AttemptStatus.SERVED;
        // Guards a lent value against being read when it is no longer valid: this turn may run later.
        ByteBuf value = served && turns.isRunning() ? Unpooled.copiedBuffer(result.value()) : result.value();
        double nowMs = clock.now();
        turns.run(() -> {
            boolean first = served && !inFlight.over && inFlight.streaming == null;
            if (first) {
                follow(inFlight, new Step.Respond(new Response.Served(value)));
                cancelHedges(inFlight);
            }
            inFlight.generation.module.attemptEnded(
                    nowMs,
                    new AttemptOutcome(
                            inFlight.request.id(),
                            backend,
                            attempt.number,
                            result.status(),
                            nowMs - attempt.startedAtMs,
                            inFlight.over,
                            result.quotaUsedPercent(),
                            first ? result.actualUnits() : 0,
                            result.loadReport()));
            inFlight.releaseIfDone();
        });
    }

    /**
     * Cancels what is still out of a served request: its hedged attempt, where there is one. The module cannot, for the
     * request is closed by the time that it is notified of the response.
     */
    private void cancelHedges(InFlightRequest inFlight) {
        if (!inFlight.generation.settings.limits().mayCancel()) {
            return;
        }
        // By index: an iterator would be an object for each request.
        for (int i = 0; i < inFlight.attempts.size(); i++) {
            InFlightRequest.Attempt hedge = inFlight.attempts.get(i);
            if (hedge.status == null) {
                counters.cancelled++;
                turns.append(hedge.inProgress::cancel);
            }
        }
    }

    // The end without a served value.

    /**
     * Guards the promise of one response in time against a module that holds a request too long. Also ends the waiting
     * for an attempt that outlasts its request, where the settings let none be cancelled: its backend may never answer.
     */
    void deadlineExpired(InFlightRequest inFlight) {
        if (inFlight.over) {
            List.copyOf(inFlight.attempts).stream()
                    .filter(attempt -> attempt.status == null)
                    .forEach(late -> {
                        counters.cancelled++;
                        late.inProgress.cancel();
                    });
            return;
        }
        if (inFlight.expedited) {
            endAttempts(
                    inFlight,
                    () -> follow(
                            inFlight,
                            new Step.Respond(
                                    guard.mayRefuse(inFlight)
                                            ? new Response.Refused(0)
                                            : new Response.Failed("the gateway ends"))));
            return;
        }
        counters.deadlineExpired++;
        Logger.error("{} had no response at its deadline", inFlight.request.id());
        endAttempts(inFlight, () -> follow(inFlight, new Step.Respond(new Response.Failed("deadline"))));
    }

    /** The client has left: its attempts are cancelled and nothing is owed any more. */
    void clientDisconnected(InFlightRequest inFlight) {
        if (inFlight.over || inFlight.clientDisconnected) {
            return;
        }
        counters.clientsDisconnected++;
        inFlight.clientDisconnected = true;
        if (inFlight.streaming != null) {
            inFlight.streaming.attempt().inProgress.cancel();
            return;
        }
        endAttempts(inFlight, () -> {
            if (!inFlight.over) {
                requests.close(inFlight);
                inFlight.finish(null);
            }
        });
    }

    /** Has the module cancel the request's attempts, which needs its records, and only then closes the request. */
    private void endAttempts(InFlightRequest inFlight, Runnable closing) {
        turns.run(() -> {
            inFlight.generation.module.requestCancelled(clock.now(), inFlight.request.id());
            turns.append(closing);
        });
    }

    double remainingMs(InFlightRequest inFlight) {
        return inFlight.remainingMs(clock.now());
    }

    /** Has the request end before the process does: the response of a later one waits for its own. */
    void expedite(InFlightRequest inFlight) {
        if (!inFlight.over
                && inFlight.streaming == null
                && inFlight.acceptedAtMs + inFlight.request.timeoutMs() > processEndsAtMs) {
            inFlight.expedited = true;
            cancelDeadline(inFlight);
            timers.scheduleAt(processEndsAtMs - DEADLINE_MARGIN_MS, inFlight.deadline());
        }
    }

    void cancelDeadline(InFlightRequest inFlight) {
        timers.cancel(inFlight.deadline());
    }

    void endpointSource(EndpointSource source) {
        endpointSource = source;
    }

    /** The process will be ended so many ms from now. */
    void processEndsIn(double ms) {
        processEndsAtMs = clock.now() + ms;
    }
}
