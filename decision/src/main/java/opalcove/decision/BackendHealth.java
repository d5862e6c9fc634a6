package opalcove.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the health of backends from the outcomes of attempts, health checks and load reports: slowness, error rates,
 * ejection, and the failure rates of complete zones and kinds of backends. Owned by the thread that delivers the
 * instance's events.
 */
final class BackendHealth {
    /** Part of a backend's slowness and error rate that decays in an interval at full decay speed. */
    private static final double DECAY_RATE = 0.04;

    private static final double MAX_SLOWNESS = 20;
    private static final double CHECK_INTERVAL_MS = 1000;

    /** Ejection time for each consecutive rejection, and its maximum. */
    private static final double REJECTION_EJECTION_MS = 100;

    private static final double MAX_REJECTION_EJECTION_MS = 2000;

    /** Ejection time for each consecutive failure, and its maximum. */
    private static final double FAILURE_EJECTION_MS = 500;

    private static final double MAX_FAILURE_EJECTION_MS = 4000;

    /** Factor of the ejection time of a warming-up backend that rejects an attempt: it has no capacity yet. */
    private static final double WARM_UP_EJECTION_FACTOR = 10;

    /** The minimum capacity share of an up backend that is not ejected, so that it receives traffic again. */
    private static final double MIN_SHARE = 0.02;

    private final DecisionContext context;
    private final SlowStart slowStart;

    /**
     * Moving mean of the failures of each group, 0 to 1. Backends may fail together (a zone is cut off, one kind of
     * backends restarts), so the failures of some count against all others of their zone and kind.
     */
    private final Map<String, double[]> groupFailureRates = new HashMap<>();

    private double attemptsInInterval;
    private double meanAttempts;

    /**
     * Factor of the decay rate, 0.2 to 1. It is lower where this gateway seldom sends an attempt to the same backend;
     * otherwise slowness and error rates would decay before a selection uses them.
     */
    private double decaySpeed = 1;

    BackendHealth(DecisionContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
    }

    /** Records the start of an attempt. */
    void attemptStarted(BackendState backend, RequestState state) {
        if (backend.inFlight == 0) {
            backend.busySinceMs = context.nowMs;
        }
        attemptsInInterval++;
        backend.inFlight++;
        backend.outstandingMs += state.expectedMs();
        slowStart.charge(backend, context.responseTimes.meanMs(state.classIndex));
    }

    /** Records the outcome of an attempt. */
    void attemptEnded(AttemptState attempt, AttemptOutcome outcome, RequestState state) {
        BackendState backend = attempt.backend;
        backend.inFlight--;
        backend.outstandingMs = backend.inFlight == 0 ? 0 : Math.max(0, backend.outstandingMs - attempt.expectedMs);
        switch (outcome.status()) {
            case SERVED, ERROR -> recordResponse(attempt, outcome, state);
            case REJECTED -> recordRejection(backend);
            case UNREACHABLE -> {
                backend.failedConnects++;
                recordFailure(backend);
            }
            case BROKEN -> recordFailure(backend);
            // A cancelled or timed-out attempt would have taken at least the time that it was in flight. Without this,
            // a backend that never responds would not become slow.
            case CANCELLED, TIMED_OUT ->
                updateSlowness(
                        backend,
                        Math.max(backend.slowness, (context.nowMs - attempt.startedAtMs) / state.expectedMs()));
            default -> {}
        }
    }

    private void recordResponse(AttemptState attempt, AttemptOutcome outcome, RequestState state) {
        BackendState backend = attempt.backend;
        boolean isError = outcome.status() == AttemptStatus.ERROR;
        slowStart.recordCompleted(backend, attempt.expectedMs);
        backend.respondedAtMs = context.nowMs;
        recordFault(backend, 0);
        recordReachable(backend);
        backend.rejections = 0;
        backend.errorRate += 0.2 * ((isError ? 1 : 0) - backend.errorRate);
        if (isError) {
            return; // a fast error must not make the backend look fast
        }
        updateSlowness(backend, outcome.elapsedMs() / state.expectedMs());
        context.responseTimes.recordResponse(state.classIndex, state.request.units(), outcome.elapsedMs());
    }

    private void recordRejection(BackendState backend) {
        backend.respondedAtMs = context.nowMs;
        recordReachable(backend);
        backend.rejections++;
        double ejectionMs =
                Math.min(MAX_REJECTION_EJECTION_MS, REJECTION_EJECTION_MS * backend.rejections) / decaySpeed;
        backend.ejectedUntilMs =
                context.nowMs + ejectionMs * (slowStart.isWarmingUp(backend) ? WARM_UP_EJECTION_FACTOR : 1);
    }

    private void recordFailure(BackendState backend) {
        recordFault(backend, 1);
        backend.connectedAtMs = DecisionContext.NEVER_MS;
        backend.failures++;
        if (backend.failingSinceMs < 0) {
            backend.failingSinceMs = context.nowMs;
        }
        backend.ejectedUntilMs =
                context.nowMs + Math.min(MAX_FAILURE_EJECTION_MS, FAILURE_EJECTION_MS * backend.failures) / decaySpeed;
    }

    /**
     * Records that a backend is reachable. A backend may have restarted before the endpoint list shows it, so its slow
     * start begins if it failed for more than a second and more than two connects failed. Broken connections do not
     * count: when they did, two occasional ones in a row put warm backends into slow start.
     */
    private void recordReachable(BackendState backend) {
        boolean wasDown = backend.failingSinceMs >= 0 && context.nowMs - backend.failingSinceMs > 1000;
        if (backend.failedConnects > 2 && wasDown && !slowStart.isWarmingUp(backend)) {
            slowStart.begin(backend, context.nowMs);
        }
        backend.connectedAtMs = context.nowMs;
        backend.failures = 0;
        backend.failedConnects = 0;
        backend.failingSinceMs = -1;
    }

    /** Records the result of a health check. */
    void checkEnded(BackendState backend, ProbeStatus result) {
        backend.ejectedUntilMs = 0;
        if (result == ProbeStatus.DONE) {
            recordReachable(backend);
        } else {
            recordFailure(backend);
        }
    }

    /**
     * Records a load report on requests that a backend completed.
     *
     * @param meanMs the mean response time, ms; negative if it is unknown
     */
    void loadReported(BackendState backend, long served, long failed, double meanMs) {
        if (served + failed <= 0) {
            return;
        }
        backend.respondedAtMs = context.nowMs;
        attemptsInInterval += served + failed;
        double weight = 1 - Math.pow(0.8, served + failed);
        backend.errorRate += weight * ((double) failed / (served + failed) - backend.errorRate);
        if (served <= 0 || meanMs < 0) {
            return;
        }
        updateSlowness(backend, meanMs / context.responseTimes.meanMs(0));
        context.responseTimes.recordMean(0, meanMs);
    }

    private void updateSlowness(BackendState backend, double ratio) {
        double step = (ratio > backend.slowness ? 0.15 : 0.1) / Math.sqrt(decaySpeed);
        backend.slowness += step * (Math.min(MAX_SLOWNESS, ratio) - backend.slowness);
    }

    private void recordFault(BackendState backend, double failure) {
        recordFault(backend.zoneGroup, failure);
        recordFault(backend.kindGroup, failure);
    }

    private void recordFault(String group, double failure) {
        double[] failureRate = groupFailureRates.computeIfAbsent(group, name -> new double[1]);
        failureRate[0] = 0.7 * failureRate[0] + 0.3 * failure;
    }

    /** The sum of the failure rates of a backend's zone and kind, 0 to 2. */
    double groupFailureRate(BackendState backend) {
        return failureRateOf(backend.zoneGroup) + failureRateOf(backend.kindGroup);
    }

    private double failureRateOf(String group) {
        double[] failureRate = groupFailureRates.get(group);
        return failureRate == null ? 0 : failureRate[0];
    }

    /**
     * Adapts the decay speed to the number of attempts per up backend, and decays the failure rates of the groups.
     * Called once per interval.
     */
    void updateDecaySpeed(int upBackends) {
        meanAttempts += 0.1 * (attemptsInInterval - meanAttempts);
        attemptsInInterval = 0;
        decaySpeed = Math.max(0.2, Math.min(1, 20 * meanAttempts / Math.max(1, upBackends)));
        for (double[] failureRate : groupFailureRates.values()) {
            failureRate[0] *= 0.97;
        }
    }

    /**
     * Decays a backend's slowness and error rate, so that it receives attempts again. Called once per interval.
     */
    void decay(BackendState backend) {
        backend.slowness += DECAY_RATE * decaySpeed * (1 - backend.slowness);
        backend.errorRate *= 1 - DECAY_RATE * decaySpeed;
    }

    /**
     * Starts a health check of a backend that fails repeatedly, if health checks are allowed. Called once per interval.
     */
    void checkIfDue(BackendState backend) {
        if (backend.up && backend.isFailing() && context.limits.mayProbe() && context.nowMs >= backend.ejectedUntilMs) {
            backend.ejectedUntilMs = context.nowMs + CHECK_INTERVAL_MS;
            context.actions.checkHealth(backend.endpoint.id());
        }
    }

    /**
     * Returns the share of a backend's capacity that new work may use. The share of a warming-up backend follows its
     * ramp; slowness and errors reduce it.
     */
    CapacityShare capacityShare(BackendState backend) {
        String id = backend.endpoint.id();
        if (!backend.up || context.nowMs < backend.ejectedUntilMs) {
            return new CapacityShare(id, 0);
        }
        double share = slowStart.capacityShare(backend) / (Math.max(1, backend.slowness) * errorPenalty(backend));
        return new CapacityShare(id, Math.max(MIN_SHARE, share));
    }

    /** The factor by which a backend's error rate raises its expected wait. */
    static double errorPenalty(BackendState backend) {
        return 1 + 20 * backend.errorRate * backend.errorRate;
    }
}
