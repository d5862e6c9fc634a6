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
        void served(double tookMs);
    }

    private static final class OpenRequest {
        final double arrivedMs;
        final double workMs;
        final List<OpenAttempt> attempts = new ArrayList<>();
        boolean answered;

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

    void start(List<Endpoint> list) {
        incarnation = new Incarnation();
        incarnation.listed(true, list);
    }

    /** Ends the process; its open requests are lost, and the attempts that it sent stay at the backends. */
    void kill() {
        incarnation = null;
    }

    boolean isUp() {
        return incarnation != null;
    }

    /** Delivers changed entries of the endpoint list; a process that is down does not receive them. */
    void listed(List<Endpoint> lines) {
        if (isUp()) {
            incarnation.listed(false, lines);
        }
    }

    void request(AdmissionRequest request, double workMs) {
        incarnation.requests.put(request.requestId(), new OpenRequest(clock.nowMs(), workMs));
        incarnation.policy.requestArrived(clock.nowMs(), request);
    }

    /** The state of the process from one start to its end. */
    private final class Incarnation implements DecisionActions {
        final Map<String, OpenRequest> requests = new HashMap<>();
        final Map<String, Double> knownStarts = new HashMap<>();
        final Set<Long> forgottenTimers = new HashSet<>();
        final AdmissionController policy = new AdmissionController(clock.nowMs(), settings, random.nextLong(), this);

        void listed(boolean whole, List<Endpoint> lines) {
            lines.forEach(line -> knownStarts.put(line.id(), line.startedMs()));
            policy.endpointsChanged(clock.nowMs(), whole, lines);
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
            boolean informed = knownStarts.get(host) >= backend.startedMs();
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
            if (result == AttemptStatus.SERVED && !request.answered) {
                request.answered = true;
                listener.served(clock.nowMs() - request.arrivedMs);
            }
            forgetIfSettled(id, request);
            double tookMs = clock.nowMs() - attempt.sentMs;
            String host = attempt.backend.name();
            policy.attemptEnded(
                    clock.nowMs(), new AttemptOutcome(id, host, number, result, tookMs, request.answered, -1, 0, null));
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
            answeredWithoutValue(id);
        }

        @Override
        public void fail(String id) {
            answeredWithoutValue(id);
        }

        private void answeredWithoutValue(String id) {
            OpenRequest request = requests.get(id);
            request.answered = true;
            forgetIfSettled(id, request);
        }

        /**
         * Removes a completed request only after all its attempts have ended, since the module is notified of each end.
         */
        private void forgetIfSettled(String id, OpenRequest request) {
            if (request.answered && request.attempts.stream().allMatch(attempt -> attempt.ended)) {
                requests.remove(id);
            }
        }

        @Override
        public void setTimer(long token, double afterMs) {
            after(afterMs, () -> {
                if (!forgottenTimers.remove(token)) {
                    policy.timerExpired(clock.nowMs(), token);
                }
            });
        }

        @Override
        public void cancelTimer(long token) {
            forgottenTimers.add(token);
        }

        @Override
        public void checkHealth(String host) {}

        @Override
        public void subscribeToEndpoints() {}

        @Override
        public void log(String line) {}
    }
}
