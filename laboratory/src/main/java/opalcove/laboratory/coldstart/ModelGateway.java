package opalcove.laboratory.coldstart;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import opalcove.decision.AdmissionController;
import opalcove.decision.AdmissionRequest;
import opalcove.decision.AttemptOutcome;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionActions;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;

/** A simulated gateway, which hosts a decision module and carries out its actions. A restart creates a new module. */
final class ModelGateway {
    /** The one-way delay between a gateway and a backend, in ms. */
    private static final double NETWORK_MS = 0.4;
    /** The time after which a connection attempt to a backend that is down fails, in ms. */
    private static final double CONNECT_FAILED_MS = 1;

    /** Is notified of each request that was served, with its latency in ms. */
    interface Listener {
        void served(double latencyMs);
    }

    private static final class OpenRequest {
        final double arrivedMs;
        final double workMs;
        final List<OpenAttempt> attempts = new ArrayList<>();
        boolean completed;

        OpenRequest(double arrivedMs, double workMs) {
            this.arrivedMs = arrivedMs;
            this.workMs = workMs;
        }
    }

    private static final class OpenAttempt {
        final ModelBackend backend;
        final double sentMs;
        ModelBackend.Attempt work;
        boolean ended;

        OpenAttempt(ModelBackend backend, double sentMs) {
            this.backend = backend;
            this.sentMs = sentMs;
        }
    }

    private final VirtualClock clock;
    private final DecisionSettings settings;
    private final Map<String, ModelBackend> backends;
    private final SplittableRandom random;
    private final Listener listener;
    private Incarnation incarnation;

    ModelGateway(
            VirtualClock clock,
            DecisionSettings settings,
            Map<String, ModelBackend> backends,
            SplittableRandom random,
            Listener listener) {
        this.clock = clock;
        this.settings = settings;
        this.backends = backends;
        this.random = random;
        this.listener = listener;
    }

    void start(List<Endpoint> endpoints) {
        incarnation = new Incarnation();
        incarnation.endpointsChanged(true, endpoints);
    }

    /** Ends the process; its open requests are lost, and the attempts that it sent stay at the backends. */
    void kill() {
        incarnation = null;
    }

    boolean isUp() {
        return incarnation != null;
    }

    /** Delivers changed entries of the endpoint list; a process that is down does not receive them. */
    void endpointsChanged(List<Endpoint> endpoints) {
        if (isUp()) {
            incarnation.endpointsChanged(false, endpoints);
        }
    }

    void request(AdmissionRequest request, double workMs) {
        incarnation.requests.put(request.requestId(), new OpenRequest(clock.nowMs(), workMs));
        incarnation.controller.requestArrived(clock.nowMs(), request);
    }

    /** The state of the process from one start to its end. */
    private final class Incarnation implements DecisionActions {
        final Map<String, OpenRequest> requests = new HashMap<>();
        final Map<String, Double> knownStartsMs = new HashMap<>();
        final Set<Long> cancelledTimers = new HashSet<>();
        final AdmissionController controller =
                new AdmissionController(clock.nowMs(), settings, random.nextLong(), this);

        void endpointsChanged(boolean complete, List<Endpoint> endpoints) {
            endpoints.forEach(endpoint -> knownStartsMs.put(endpoint.id(), endpoint.startedMs()));
            controller.endpointsChanged(clock.nowMs(), complete, endpoints);
        }

        /** Runs the action after a delay in ms, unless the process has ended by then. */
        private void after(double delayMs, Runnable action) {
            clock.after(delayMs, () -> {
                if (incarnation == this) {
                    action.run();
                }
            });
        }

        @Override
        public void startAttempt(String id, String host, double timeoutMs) {
            ModelBackend backend = backends.get(host);
            OpenRequest request = requests.get(id);
            OpenAttempt attempt = new OpenAttempt(backend, clock.nowMs());
            int number = request.attempts.size();
            request.attempts.add(attempt);
            boolean informed = knownStartsMs.get(host) >= backend.startedMs();
            attempt.work = new ModelBackend.Attempt(request.workMs, informed, result -> {
                double delayMs = result == AttemptStatus.UNREACHABLE ? CONNECT_FAILED_MS : NETWORK_MS;
                after(delayMs, () -> attemptEnded(id, number, result));
            });
            clock.after(NETWORK_MS, () -> {
                if (!attempt.ended) {
                    backend.offer(attempt.work);
                }
            });
        }

        private void attemptEnded(String id, int number, AttemptStatus result) {
            OpenRequest request = requests.get(id);
            if (request == null || request.attempts.get(number).ended) {
                return;
            }
            OpenAttempt attempt = request.attempts.get(number);
            attempt.ended = true;
            if (result == AttemptStatus.SERVED && !request.completed) {
                request.completed = true;
                listener.served(clock.nowMs() - request.arrivedMs);
            }
            removeIfFinished(id, request);
            double tookMs = clock.nowMs() - attempt.sentMs;
            String host = attempt.backend.name();
            controller.attemptEnded(
                    clock.nowMs(),
                    new AttemptOutcome(id, host, number, result, tookMs, request.completed, -1, 0, null));
        }

        @Override
        public void cancelAttempt(String id, int number) {
            OpenRequest request = requests.get(id);
            if (request != null) {
                request.attempts.get(number).backend.cancel(request.attempts.get(number).work);
                after(0, () -> attemptEnded(id, number, AttemptStatus.CANCELLED));
            }
        }

        @Override
        public void shed(String id, double retryAfterMs) {
            completeWithoutValue(id);
        }

        @Override
        public void fail(String id) {
            completeWithoutValue(id);
        }

        private void completeWithoutValue(String id) {
            OpenRequest request = requests.get(id);
            request.completed = true;
            removeIfFinished(id, request);
        }

        /**
         * Removes a completed request only after all its attempts have ended, since the module is notified of each end.
         */
        private void removeIfFinished(String id, OpenRequest request) {
            if (request.completed && request.attempts.stream().allMatch(attempt -> attempt.ended)) {
                requests.remove(id);
            }
        }

        @Override
        public void setTimer(long token, double afterMs) {
            after(afterMs, () -> {
                if (!cancelledTimers.remove(token)) {
                    controller.timerExpired(clock.nowMs(), token);
                }
            });
        }

        @Override
        public void cancelTimer(long token) {
            cancelledTimers.add(token);
        }

        @Override
        public void checkHealth(String host) {}

        @Override
        public void subscribeToEndpoints() {}

        @Override
        public void log(String line) {}
    }
}
