package opalcove.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.Vertx;
import java.util.List;
import opalcove.config.Clock;
import opalcove.decision.AttemptOutcome;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Idempotency;
import opalcove.metrics.Counters;
import opalcove.metrics.Invariant;
import opalcove.metrics.InvariantMonitor;
import opalcove.metrics.Metrics;
import opalcove.metrics.ShedReason;
import org.tinylog.Logger;

/**
 * Handles a request from its arrival to its end; the methods follow the order of its steps. It is validated and
 * accepted, and the decision module chooses the next step ({@link ModuleActions}): either a final response, which ends
 * the request, or an attempt at a backend, after which the module chooses again. Used on the event loop only.
 */
final class RequestLifecycle {
    /** If the module has given no final response this long before the client's deadline, the request is failed, ms. */
    private static final double DEADLINE_MARGIN_MS = 5;
    /** A request is refused if the process ends in less than this time, ms, which is too short to serve it. */
    private static final double MIN_SERVE_TIME_MS = 100;
    /** A request that may have been unread for no longer than this counts as just received, ms. */
    private static final double MAX_IGNORED_UNREAD_MS = 10;
    /**
     * A response that exceeds its deadline by more than this violates the invariant, ms: the lateness that is allowed
     * to a response sent over a socket.
     */
    private static final double RESPONSE_SLACK_MS = 50;

    private static final AttemptGuard.Veto CLIENT_DISCONNECTED =
            new AttemptGuard.Veto(Invariant.CLIENT_WAITS, "its client has disconnected");
    private static final AttemptGuard.Veto CLIENT_UNKNOWN =
            new AttemptGuard.Veto(Invariant.CLIENT_WAITS, "its client may have disconnected");

    private final Vertx vertx;
    private final Clock clock;
    private final TimerQueue timers;
    private final SerialTaskQueue tasks;
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
    private final AbandonedRequests abandoned = new AbandonedRequests();
    private EndpointSource endpointSource = EndpointSource.ALWAYS_CURRENT;
    /** The earliest time at which the process ends, by the clock, ms. */
    private double processEndsAtMs = Double.MAX_VALUE;

    RequestLifecycle(CoreContext context, LoopHeartbeat heartbeat) {
        this.heartbeat = heartbeat;
        vertx = context.vertx();
        clock = context.clock();
        timers = context.timers();
        tasks = context.tasks();
        transport = context.transport();
        endpoints = context.endpoints();
        guard = context.guard();
        generations = context.generations();
        requests = context.requests();
        counters = context.counters();
        invariants = context.invariants();
        metrics = context.metrics();
        responseCounts = new ResponseCounts(counters, metrics);
        streamedResponses = new StreamedResponses(context, responseCounts);
    }

    // Arrival of a request.

    /**
     * Validates a request and accepts it, or responds immediately.
     *
     * @param unreadMs how long the request may have waited unread in this process, ms; its client has been waiting
     *     since
     * @return null if the response was given within this call
     */
    RequestHandle dispatch(Request request, ResponseHandler handler, double unreadMs) {
        ConfigGeneration newest = generations.newest();
        DecisionSettings.RequestClass requestClass;
        try {
            requestClass = newest.validator.requestClass(
                    newest.validator.validate(request).requestClass());
        } catch (InvalidRequestException e) {
            // Counted in the class that the request names, even if that class is unknown, so that this metric can be
            // compared with those of other gateways and proxies.
            return respondImmediately(handler, request.requestClass(), new Response.Failed(e.getMessage()));
        }
        if (requests.contains(request.id())) {
            // Another client that sends the id of an open request must not join that request, receive its response or
            // end it.
            return respondImmediately(handler, requestClass.name(), new Response.Failed("this id is under way"));
        }
        if (requestClass.idempotency() != Idempotency.SAFE && abandoned.contains(request.id(), clock.now())) {
            // Its client disconnected while an attempt was in flight, which may have run.
            return respondImmediately(handler, requestClass.name(), new Response.Failed("this id may have run before"));
        }
        return admit(request, requestClass, handler, unreadMs);
    }

    /** Accepts a valid request and requests a decision from the module, or sheds the request immediately. */
    private RequestHandle admit(
            Request request, DecisionSettings.RequestClass requestClass, ResponseHandler handler, double unreadMs) {
        DecisionSettings.Limits limits = generations.newest().settings.limits();
        if (requests.count() >= limits.maxOpen()) {
            // More open requests than this machine can hold would exhaust its memory and descriptors.
            return shed(handler, requestClass.name(), ShedReason.TOO_MANY_OPEN, (long) limits.maxRetryAfterMs());
        }
        double untilEndMs = processEndsAtMs - clock.now();
        if (untilEndMs < MIN_SERVE_TIME_MS) {
            // A request that arrives late in the shutdown would otherwise be accepted and never get a response.
            return shed(handler, requestClass.name(), ShedReason.ENDING, 0);
        }
        double timeoutMs = unreadMs > MAX_IGNORED_UNREAD_MS ? request.timeoutMs() - unreadMs : request.timeoutMs();
        if (timeoutMs <= 0) {
            // The deadline passed before the request was read, so nothing may be sent to a backend for it.
            return shed(handler, requestClass.name(), ShedReason.UNREAD_IN_TIME, 0);
        }
        InFlightRequest accepted =
                accept(request.withTimeoutMs(Math.min(timeoutMs, untilEndMs)), requestClass, handler);
        requestDecision(accepted);
        return accepted.finished ? null : accepted;
    }

    /** Refuses a request that was never accepted; the class is null if it is not known. */
    void refuse(String requestClass, ResponseHandler handler, ShedReason reason) {
        shed(handler, requestClass, reason, 0);
    }

    private RequestHandle shed(ResponseHandler handler, String requestClass, ShedReason reason, long retryAfterMs) {
        counters.refused(reason);
        return respondImmediately(handler, requestClass, new Response.Refused(retryAfterMs));
    }

    /**
     * Responds within this call. The class is null if the request names none; the response is then counted, but in no
     * class.
     */
    private RequestHandle respondImmediately(ResponseHandler handler, String requestClass, Response response) {
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
        timers.schedule(request.timeoutMs() - DEADLINE_MARGIN_MS, accepted.deadlineTimer());
        return accepted;
    }

    // Decisions of the module.

    private void requestDecision(InFlightRequest inFlight) {
        tasks.run(() -> inFlight.generation.module.requestArrived(clock.now(), inFlight.admissionRequest()));
    }

    /** Executes the step that the module chose. A step for a request that has ended has no effect. */
    void execute(InFlightRequest inFlight, Step step) {
        if (inFlight.finished || inFlight.streaming != null) {
            return;
        }
        if (step instanceof Step.Respond respond) {
            requests.close(inFlight);
            responseCounts.count(inFlight.requestClass.name(), respond.response());
            double lateMs = clock.now() - inFlight.acceptedAtMs - inFlight.request.timeoutMs();
            if (lateMs > RESPONSE_SLACK_MS) {
                invariants.violated(
                        Invariant.ANSWER_IN_TIME,
                        inFlight.request.id(),
                        "responded " + (long) lateMs + " ms after its deadline");
            }
            inFlight.finish(respond.response());
        } else {
            forward(inFlight, (Step.Forward) step);
        }
    }

    // Attempts.

    /**
     * Makes one attempt: it is started if the guard allows it and the client is known to be connected, else it ends as
     * not sent.
     */
    private void forward(InFlightRequest inFlight, Step.Forward step) {
        double nowMs = clock.now();
        AttemptGuard.Veto veto = guard.vetoAttempt(inFlight, step.backend(), nowMs);
        ClientState client = clientState(inFlight);
        if (client == ClientState.UNKNOWN && inFlight.attemptsInFlight() == 0) {
            refuseForUnknownClient(inFlight);
        }
        InFlightRequest.Attempt attempt =
                inFlight.new Attempt(veto == null ? endpoints.available(step.backend()) : null, nowMs);
        inFlight.attempts.add(attempt);
        if (veto != null) {
            counters.vetoed++;
            invariants.prevented(veto.invariant(), inFlight.request.id(), veto.cause());
        }
        if (veto != null || client != ClientState.CONNECTED) {
            reportOutcome(inFlight, attempt, step.backend(), AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
        } else if (heartbeat.isLoopDelayed(nowMs) || !endpointSource.isCurrent()) {
            attempt.transportAttempt = new DeferredAttempt(vertx, this, inFlight, attempt, step);
        } else {
            startAttempt(inFlight, attempt, step);
        }
    }

    void startAttempt(InFlightRequest inFlight, InFlightRequest.Attempt attempt, Step.Forward step) {
        counters.attempts++;
        metrics.backendCall();
        double remainingMs = remainingMs(inFlight);
        attempt.transportAttempt = transport.startAttempt(
                attempt.backend,
                inFlight.request,
                step.timeoutMs() > 0 ? Math.min(remainingMs, step.timeoutMs()) : remainingMs,
                attempt);
    }

    /** Runs the action once the endpoint list is current. */
    void whenEndpointsCurrent(Runnable action) {
        endpointSource.whenCurrent(action);
    }

    /** Returns what is known of the client; ends the request of a client that has disconnected. */
    private ClientState clientState(InFlightRequest inFlight) {
        ClientState client = inFlight.finished ? ClientState.CONNECTED : inFlight.clientState();
        if (client == ClientState.DISCONNECTED) {
            clientDisconnected(inFlight);
        }
        return inFlight.clientDisconnected ? ClientState.DISCONNECTED : client;
    }

    /**
     * Responds to a request for which no attempt may be made, as its client may have disconnected. Its response frees
     * memory, in which the input behind it can be read.
     */
    private void refuseForUnknownClient(InFlightRequest inFlight) {
        counters.refused(ShedReason.CLIENT_UNKNOWN);
        execute(inFlight, new Step.Respond(responseWithoutAttempt(inFlight, "the client may have disconnected")));
    }

    /** Returns the response to a request that gets no further attempt: a refusal if it may be refused. */
    private Response responseWithoutAttempt(InFlightRequest inFlight, String reason) {
        return guard.mayRefuse(inFlight) ? new Response.Refused(0) : new Response.Failed(reason);
    }

    /**
     * Called when a connection for the attempt has been established. Returns whether the earlier decision still holds.
     */
    boolean isStillWanted(InFlightRequest inFlight, InFlightRequest.Attempt attempt) {
        AttemptGuard.Veto clientVeto = vetoForClient(inFlight);
        return isAllowed(
                inFlight, clientVeto == null ? guard.vetoAfterConnect(inFlight, attempt, clock.now()) : clientVeto);
    }

    /**
     * Called right before the attempt's bytes are written, which forward this deadline. Returns whether they may still
     * be written.
     */
    boolean maySend(InFlightRequest inFlight, InFlightRequest.Attempt attempt, double deadlineMs) {
        AttemptGuard.Veto clientVeto = vetoForClient(inFlight);
        return isAllowed(
                inFlight,
                clientVeto == null ? guard.vetoWrite(inFlight, attempt, deadlineMs, clock.now()) : clientVeto);
    }

    /** Returns the reason why the state of the client forbids an attempt, or null if it allows it. */
    private AttemptGuard.Veto vetoForClient(InFlightRequest inFlight) {
        return switch (clientState(inFlight)) {
            case CONNECTED -> null;
            case DISCONNECTED -> CLIENT_DISCONNECTED;
            case UNKNOWN -> CLIENT_UNKNOWN;
        };
    }

    private boolean isAllowed(InFlightRequest inFlight, AttemptGuard.Veto veto) {
        if (veto != null) {
            counters.vetoedLate++;
            invariants.prevented(veto.invariant(), inFlight.request.id(), veto.cause());
        }
        return veto == null;
    }

    // Outcomes.

    /**
     * Called when the first bytes of a value arrive that is too long to be buffered. Returns whether the value is
     * accepted.
     */
    boolean streamedValueStarted(InFlightRequest inFlight, InFlightRequest.Attempt attempt, StreamedValue value) {
        return streamedResponses.valueStarted(inFlight, attempt, value);
    }

    /** Called when an attempt that was started has ended. */
    void attemptEnded(InFlightRequest inFlight, InFlightRequest.Attempt attempt, AttemptResult result) {
        counters.attemptEnded(result.status());
        if (inFlight.streaming != null && inFlight.streaming.attempt() == attempt) {
            streamedResponses.valueEnded(inFlight, result);
            return;
        }
        // The client disconnected while the connection was being opened, and that cancelled it. Reporting this as
        // unreachable would count it as a fault of the backend.
        boolean notBackendFault = inFlight.clientDisconnected && result.status() == AttemptStatus.UNREACHABLE;
        reportOutcome(
                inFlight,
                attempt,
                attempt.backend.name(),
                notBackendFault ? AttemptResult.withoutReport(AttemptStatus.NOT_SENT) : result);
    }

    /**
     * Notifies the module of the end of an attempt. A served value is the final response; otherwise the module chooses
     * the next step.
     */
    private void reportOutcome(
            InFlightRequest inFlight, InFlightRequest.Attempt attempt, String backend, AttemptResult result) {
        attempt.status = result.status();
        if (inFlight.clientDisconnected && inFlight.firstAttemptThatMayHaveRun() == null) {
            // Its last attempt was not sent after all.
            abandoned.remove(inFlight.request.id());
        }
        boolean served = result.status() == AttemptStatus.SERVED;
        // The value is valid only during this call, and the task below may run later, so the value is copied.
        ByteBuf value = served && tasks.isRunning() ? Unpooled.copiedBuffer(result.value()) : result.value();
        double nowMs = clock.now();
        tasks.run(() -> {
            boolean isFinalResponse = served && !inFlight.finished && inFlight.streaming == null;
            if (isFinalResponse) {
                execute(inFlight, new Step.Respond(new Response.Served(value)));
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
                            inFlight.finished,
                            result.quotaUsedPercent(),
                            isFinalResponse ? result.actualUnits() : 0,
                            result.loadReport()));
            inFlight.releaseIfDone();
        });
    }

    /**
     * Cancels the attempts of a served request that are still in flight, such as a hedged attempt. The module cannot
     * cancel them, because the request is closed by the time that the module is notified of the response.
     */
    private void cancelHedges(InFlightRequest inFlight) {
        if (!inFlight.generation.settings.limits().mayCancel()) {
            return;
        }
        // Iterates by index, because an iterator would be allocated for each request.
        for (int i = 0; i < inFlight.attempts.size(); i++) {
            InFlightRequest.Attempt hedge = inFlight.attempts.get(i);
            if (hedge.status == null) {
                counters.cancelled++;
                tasks.append(hedge.transportAttempt::cancel);
            }
        }
    }

    // End without a served value.

    /**
     * Responds to a request that the module has kept too long, so that each request gets one response before its
     * deadline. For a request that has ended, stops waiting for its remaining attempts: if the settings do not allow
     * cancelling them, they are still in flight and their backends may never reply.
     */
    void deadlineExpired(InFlightRequest inFlight) {
        if (inFlight.finished) {
            List.copyOf(inFlight.attempts).stream()
                    .filter(attempt -> attempt.status == null)
                    .forEach(unfinished -> {
                        counters.cancelled++;
                        unfinished.transportAttempt.cancel();
                    });
            return;
        }
        if (inFlight.expedited) {
            cancelAttempts(
                    inFlight,
                    () -> execute(inFlight, new Step.Respond(responseWithoutAttempt(inFlight, "the gateway ends"))));
            return;
        }
        counters.deadlineExpired++;
        Logger.error("{} had no response at its deadline", inFlight.request.id());
        cancelAttempts(inFlight, () -> execute(inFlight, new Step.Respond(new Response.Failed("deadline"))));
    }

    /** Called when the client has disconnected: cancels the attempts and ends the request without a response. */
    void clientDisconnected(InFlightRequest inFlight) {
        if (inFlight.finished || inFlight.clientDisconnected) {
            return;
        }
        counters.clientsDisconnected++;
        inFlight.clientDisconnected = true;
        if (inFlight.firstAttemptThatMayHaveRun() != null) {
            abandoned.add(inFlight.request.id(), clock.now());
        }
        if (inFlight.streaming != null) {
            inFlight.streaming.attempt().transportAttempt.cancel();
            return;
        }
        cancelAttempts(inFlight, () -> {
            if (!inFlight.finished) {
                requests.close(inFlight);
                inFlight.finish(null);
            }
        });
    }

    /**
     * Lets the module cancel the request's attempts and then runs the action that closes the request. The order
     * matters, as the module needs its records of the open request.
     */
    private void cancelAttempts(InFlightRequest inFlight, Runnable closeRequest) {
        tasks.run(() -> {
            inFlight.generation.module.requestCancelled(clock.now(), inFlight.request.id());
            tasks.append(closeRequest);
        });
    }

    double remainingMs(InFlightRequest inFlight) {
        return inFlight.remainingMs(clock.now());
    }

    /**
     * Makes the request end before the process does, because the response of a later request waits for its response.
     */
    void expedite(InFlightRequest inFlight) {
        if (!inFlight.finished
                && inFlight.streaming == null
                && inFlight.acceptedAtMs + inFlight.request.timeoutMs() > processEndsAtMs) {
            inFlight.expedited = true;
            cancelDeadline(inFlight);
            timers.scheduleAt(processEndsAtMs - DEADLINE_MARGIN_MS, inFlight.deadlineTimer());
        }
    }

    void cancelDeadline(InFlightRequest inFlight) {
        timers.cancel(inFlight.deadlineTimer());
    }

    void endpointSource(EndpointSource source) {
        endpointSource = source;
    }

    /** Announces that the process ends in {@code remainingMs}. */
    void processEndsIn(double remainingMs) {
        processEndsAtMs = clock.now() + remainingMs;
    }
}
