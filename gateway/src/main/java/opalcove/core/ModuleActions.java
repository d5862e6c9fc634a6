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
 * Turns the actions of one generation's decision module into steps of the requests that it decides on, and runs its
 * timers. Used on the event loop only.
 */
final class ModuleActions implements DecisionActions {
    private final ConfigGeneration generation;
    private final ConfigGenerations generations;
    private final RequestLifecycle lifecycle;
    private final InFlightRequests requests;
    private final BackendTransport transport;
    private final EndpointList endpoints;
    private final AttemptGuard guard;
    private final TurnQueue turns;
    private final TimerQueue timers;
    private final Clock clock;
    private final Counters counters;
    private final InvariantMonitor invariants;
    private final LongObjectMap<ModuleTimer> moduleTimers = new LongObjectHashMap<>();

    ModuleActions(ConfigGeneration generation, CoreParts parts, RequestLifecycle lifecycle) {
        this.generation = generation;
        this.lifecycle = lifecycle;
        generations = parts.generations();
        requests = parts.requests();
        transport = parts.transport();
        endpoints = parts.endpoints();
        guard = parts.guard();
        turns = parts.turns();
        timers = parts.timers();
        clock = parts.clock();
        counters = parts.counters();
        invariants = parts.invariants();
    }

    private void decide(String id, Step step) {
        InFlightRequest inFlight = requests.find(id, generation);
        if (inFlight != null) {
            turns.append(() -> lifecycle.follow(inFlight, step));
        }
    }

    @Override
    public void startAttempt(String id, String backend, double timeoutMs) {
        decide(id, new Step.Forward(backend, timeoutMs));
    }

    @Override
    public void shed(String id, double retryAfterMs) {
        InFlightRequest inFlight = requests.find(id, generation);
        if (inFlight != null && !guard.mayRefuse(inFlight)) {
            // Guards against promising that a repeat is harmless when an attempt may have had its effect.
            counters.vetoed++;
            invariants.prevented(Invariant.REFUSAL, id, "it may have run");
            fail(id);
            return;
        }
        counters.refused(ShedReason.DECIDED);
        decide(id, new Step.Respond(new Response.Refused((long) Math.ceil(Math.max(0, retryAfterMs)))));
    }

    @Override
    public void fail(String id) {
        decide(id, new Step.Respond(new Response.Failed("failed")));
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        InFlightRequest inFlight = requests.find(id, generation);
        if (inFlight == null || attempt >= inFlight.attempts.size()) {
            return;
        }
        InFlightRequest.Attempt unwanted = inFlight.attempts.get(attempt);
        // Guards the value that is being streamed; a hedged attempt beside it may be cancelled.
        boolean streaming = inFlight.streaming != null && inFlight.streaming.attempt() == unwanted;
        if (!streaming && unwanted.status == null) {
            counters.cancelled++;
            turns.append(unwanted.inProgress::cancel);
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
            turns.append(() -> checkHealth(backend));
        }
    }

    /** Checks whether a backend that the module avoids can be reached: without that it would avoid it for ever. */
    private void checkHealth(Backend backend) {
        counters.healthChecks++;
        double beganMs = clock.now();
        transport.checkReachable(
                backend,
                reached -> turns.run(() -> {
                    ProbeStatus status = reached ? ProbeStatus.DONE : ProbeStatus.NOT_DONE;
                    double nowMs = clock.now();
                    generation.module.healthCheckEnded(nowMs, backend.name(), status, nowMs - beganMs, null);
                }));
    }

    @Override
    public void subscribeToEndpoints() {
        // The endpoint list is always followed here.
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
            // A retired generation has no request left to decide on, and so no need of its ticks.
            if (!generations.isRetired(generation)) {
                turns.run(() -> generation.module.timerExpired(clock.now(), token));
            }
        }
    }
}
