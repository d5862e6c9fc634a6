package opalcove.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * The health of backends as the outcomes of attempts, health checks and load reports show it: slowness, error rates,
 * ejection, and faults that a zone or a kind of backends has in common. Owned by the thread that delivers the
 * instance's events.
 */
final class BackendHealth {
    private static final double DECAY_RATE = 0.04;
    private static final double MAX_SLOWNESS = 20;
    private static final double CHECK_INTERVAL_MS = 1000;

    /** Ejection for each rejection in a row, and at most. */
    private static final double REJECTION_EJECTION_MS = 100;

    private static final double MAX_REJECTION_EJECTION_MS = 2000;

    /** Ejection for each failure in a row, and at most. */
    private static final double FAILURE_EJECTION_MS = 500;

    private static final double MAX_FAILURE_EJECTION_MS = 4000;

    /** A starting backend that rejects is ejected for this multiple: it has no capacity yet. */
    private static final double WARM_UP_EJECTION_FACTOR = 10;

    /** The least share of its capacity that a listed backend is given, so that it is tried again. */
    private static final double MIN_SHARE = 0.02;

    private final DecisionContext context;
    private final SlowStart slowStart;

    /** Guards against backends failing together (a zone cut, a kind restarting): part of failures by group. */
    private final Map<String, double[]> groupFailureRates = new HashMap<>();

    private double attemptsInInterval;
    private double meanAttempts;

    /** How fast marks fade: slower where a gateway comes back to a backend seldom, or none would be used. */
    private double decaySpeed = 1;

    BackendHealth(DecisionContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
    }

    /** Counts an attempt that begins. */
    void attemptStarted(BackendState backend, RequestState state) {
        if (backend.inFlight == 0) {
            backend.busySinceMs = context.nowMs;
        }
        attemptsInInterval++;
        backend.inFlight++;
        backend.outstandingMs += state.expectedMs();
        slowStart.charge(backend, context.responseTimes.meanMs(state.classIndex));
    }

    /** Takes in how an attempt ended. */
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
            // Guards against backends that never respond: a cancelled attempt took at least its time out.
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
            return; // a quick error must not make a backend look fast
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
     * Takes in that a backend is reachable. After failed connects it may have started anew before the endpoint list
     * says so, so its slow start begins. Guards also against connections that break now and then: two such in a row had
     * warm backends paced as starting ones.
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

    /** Takes in the end of a health check. */
    void checkEnded(BackendState backend, ProbeStatus result) {
        backend.ejectedUntilMs = 0;
        if (result == ProbeStatus.DONE) {
            recordReachable(backend);
        } else {
            recordFailure(backend);
        }
    }

    /**
     * Takes in a load report on work that ended at a backend.
     *
     * @param meanMs the mean response time; below 0 where it is unknown
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

    /** How much a backend's zone and kind fail, 0 to 2. */
    double groupFailureRate(BackendState backend) {
        return failureRateOf(backend.zoneGroup) + failureRateOf(backend.kindGroup);
    }

    private double failureRateOf(String group) {
        double[] failureRate = groupFailureRates.get(group);
        return failureRate == null ? 0 : failureRate[0];
    }

    /** Once an interval: adapts how fast marks fade to the attempts for each listed backend; fades group faults. */
    void updateDecaySpeed(int upBackends) {
        meanAttempts += 0.1 * (attemptsInInterval - meanAttempts);
        attemptsInInterval = 0;
        decaySpeed = Math.max(0.2, Math.min(1, 20 * meanAttempts / Math.max(1, upBackends)));
        for (double[] failureRate : groupFailureRates.values()) {
            failureRate[0] *= 0.97;
        }
    }

    /** Once an interval: fades a backend's marks so that it is tried again. */
    void decay(BackendState backend) {
        backend.slowness += DECAY_RATE * decaySpeed * (1 - backend.slowness);
        backend.errorRate *= 1 - DECAY_RATE * decaySpeed;
    }

    /** Once an interval: starts a health check of a backend that keeps failing, where checks are allowed. */
    void checkIfDue(BackendState backend) {
        if (backend.up
                && backend.isFailing()
                && context.limits.mayProbe()
                && context.nowMs >= backend.ejectedUntilMs) {
            backend.ejectedUntilMs = context.nowMs + CHECK_INTERVAL_MS;
            context.actions.checkHealth(backend.endpoint.id());
        }
    }

    /**
     * The share of its capacity that new work may take: a starting backend's follows its ramp, others' their health.
     */
    CapacityShare capacityShare(BackendState backend) {
        String id = backend.endpoint.id();
        if (!backend.up || context.nowMs < backend.ejectedUntilMs) {
            return new CapacityShare(id, 0);
        }
        double share = slowStart.capacityShare(backend) / (Math.max(1, backend.slowness) * errorPenalty(backend));
        return new CapacityShare(id, Math.max(MIN_SHARE, share));
    }

    /** The factor by which a backend's errors make it look slower. */
    static double errorPenalty(BackendState backend) {
        return 1 + 20 * backend.errorRate * backend.errorRate;
    }
}
