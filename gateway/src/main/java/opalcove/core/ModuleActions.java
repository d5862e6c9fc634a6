package opalcove.core;

import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.decision.DecisionActions;
import opalcove.decision.ProbeStatus;
import opalcove.metrics.Counters;
import opalcove.metrics.Invariant;
import opalcove.metrics.InvariantMonitor;
import opalcove.metrics.ShedReason;
import org.tinylog.Logger;

/**
 * Turns the actions of one generation's decision module into steps of its requests, and runs the module's timers. Used
 * on the event loop only.
 */
final class ModuleActions implements DecisionActions {
    private final ConfigGeneration generation;
    private final ConfigGenerations generations;
    private final RequestLifecycle lifecycle;
    private final InFlightRequests requests;
    private final BackendTransport transport;
    private final EndpointList endpoints;
    private final AttemptGuard guard;
    private final SerialTaskQueue tasks;
    private final TimerQueue timers;
    private final Clock clock;
    private final Counters counters;
    private final InvariantMonitor invariants;
    private final LongObjectMap<ModuleTimer> moduleTimers = new LongObjectHashMap<>();

    ModuleActions(ConfigGeneration generation, CoreContext context, RequestLifecycle lifecycle) {
        this.generation = generation;
        this.lifecycle = lifecycle;
        generations = context.generations();
        requests = context.requests();
        transport = context.transport();
        endpoints = context.endpoints();
        guard = context.guard();
        tasks = context.tasks();
        timers = context.timers();
        clock = context.clock();
        counters = context.counters();
        invariants = context.invariants();
    }

    private void appendStep(String id, Step step) {
        InFlightRequest inFlight = requests.find(id, generation);
        if (inFlight != null) {
            tasks.append(() -> lifecycle.execute(inFlight, step));
        }
    }

    @Override
    public void startAttempt(String id, String backend, double timeoutMs) {
        appendStep(id, new Step.Forward(backend, timeoutMs));
    }

    @Override
    public void shed(String id, double retryAfterMs) {
        InFlightRequest inFlight = requests.find(id, generation);
        if (inFlight != null && !guard.mayRefuse(inFlight)) {
            // A refusal would promise that a repeat is harmless although an attempt may already have had its effect.
            counters.vetoed++;
            invariants.prevented(Invariant.REFUSAL, id, "an attempt may have run");
            fail(id);
            return;
        }
        counters.refused(ShedReason.DECIDED);
        appendStep(id, new Step.Respond(new Response.Refused((long) Math.ceil(Math.max(0, retryAfterMs)))));
    }

    @Override
    public void fail(String id) {
        appendStep(id, new Step.Respond(new Response.Failed("failed")));
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        InFlightRequest inFlight = requests.find(id, generation);
        if (inFlight == null || attempt >= inFlight.attempts.size()) {
            return;
        }
        InFlightRequest.Attempt unwanted = inFlight.attempts.get(attempt);
        // The attempt whose value is being streamed is not cancelled, as that would truncate the value; its hedged
        // attempt may be cancelled.
        boolean streaming = inFlight.streaming != null && inFlight.streaming.attempt() == unwanted;
        if (!streaming && unwanted.status == null) {
            counters.cancelled++;
            tasks.append(unwanted.transportAttempt::cancel);
        }
    }

    @Override
    public void setTimer(long token, double afterMs) {
        ModuleTimer timer = new ModuleTimer(token);
        moduleTimers.put(token, timer);
        timers.schedule(afterMs, timer);
    }

    @Override
    public void cancelTimer(long token) {
        ModuleTimer timer = moduleTimers.remove(token);
        if (timer != null) {
            timers.cancel(timer);
        }
    }

    @Override
    public void checkHealth(String name) {
        Backend backend = endpoints.available(name);
        if (backend != null) {
            tasks.append(() -> checkHealth(backend));
        }
    }

    /**
     * Checks whether a backend that the module avoids can be reached. Without this check the module would avoid it
     * forever.
     */
    private void checkHealth(Backend backend) {
        counters.healthChecks++;
        double startedAtMs = clock.now();
        transport.checkReachable(
                backend,
                reached -> tasks.run(() -> {
                    ProbeStatus status = reached ? ProbeStatus.DONE : ProbeStatus.NOT_DONE;
                    double nowMs = clock.now();
                    generation.module.healthCheckEnded(nowMs, backend.name(), status, nowMs - startedAtMs, null);
                }));
    }

    @Override
    public void subscribeToEndpoints() {
        // The gateway always follows the endpoint list.
    }

    @Override
    public void log(String line) {
        Logger.info(line);
    }

    /** A timer of the module. */
    private final class ModuleTimer extends TimerQueue.Timer {
        private final long token;

        ModuleTimer(long token) {
            this.token = token;
        }

        @Override
        void onExpiry() {
            moduleTimers.remove(token);
            // A retired generation has no request left to decide on, so its module needs no timers.
            if (!generations.isRetired(generation)) {
                tasks.run(() -> generation.module.timerExpired(clock.now(), token));
            }
        }
    }
}
