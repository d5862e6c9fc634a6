package opalcove.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * The health of backends as the outcomes of attempts, health checks and load reports show it: slowness, error rates,
 * ejection, and faults that a zone or a kind of backends has in common. Owned by the thread that delivers the
 * instance's events.
 */
final class BackendHealth {
    private static final double FADE_RATE = 0.04;
    private static final double MAX_SLOWNESS = 20;
    private static final double CHECK_INTERVAL_MS = 1000;

    private final DecisionContext context;
    private final SlowStart slowStart;

    /** Guards against backends failing together (a zone cut, a kind restarting): part of failures by group. */
    private final Map<String, double[]> groupFaults = new HashMap<>();

    private double attempts;
    private double meanAttempts;

    /** How fast marks fade: slower where a gateway comes back to a backend seldom, or none would be used. */
    private double fadeSpeed = 1;

    BackendHealth(DecisionContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
    }

    /** Counts an attempt that begins. */
    void attemptStarted(BackendState backend, RequestState state) {
        if (backend.inFlight == 0) {
            backend.busySinceMs = context.nowMs;
        }
        attempts++;
        backend.inFlight++;
        backend.outstandingMs += state.expectedMs();
        slowStart.charge(backend, context.sizes.meanMs(state.classIndex));
    }

    /** Takes in how an attempt ended. */
    void attemptEnded(AttemptState attempt, AttemptOutcome outcome, RequestState state) {
        BackendState backend = attempt.backend;
        backend.inFlight--;
        backend.outstandingMs = backend.inFlight == 0 ? 0 : Math.max(0, backend.outstandingMs - attempt.expectedMs);
        switch (outcome.status()) {
            case SERVED, ERROR -> responded(attempt, outcome, state);
            case REJECTED -> rejected(backend);
            case UNREACHABLE -> {
                backend.failedConnects++;
                failed(backend);
            }
            case BROKEN -> failed(backend);
            // Guards against backends that never respond: a cancelled attempt took at least its time out.
            case CANCELLED, TIMED_OUT ->
                updateSlowness(
                        backend,
                        Math.max(backend.slowness, (context.nowMs - attempt.startedAtMs) / state.expectedMs()));
            default -> {}
        }
    }

    private void responded(AttemptState attempt, AttemptOutcome outcome, RequestState state) {
        BackendState backend = attempt.backend;
        boolean isError = outcome.status() == AttemptStatus.ERROR;
        slowStart.recordCompleted(backend, attempt.expectedMs);
        backend.respondedAtMs = context.nowMs;
        recordFault(backend, 0);
        connected(backend);
        backend.rejections = 0;
        backend.errorRate += 0.2 * ((isError ? 1 : 0) - backend.errorRate);
        if (isError) {
            return; // a quick error must not make a backend look fast
        }
        updateSlowness(backend, outcome.elapsedMs() / state.expectedMs());
        context.sizes.recordResponse(state.classIndex, state.request.units(), outcome.elapsedMs());
    }

    private void rejected(BackendState backend) {
        backend.respondedAtMs = context.nowMs;
        connected(backend);
        backend.rejections++;
        double ejectionMs = Math.min(2000, 100 * backend.rejections) / fadeSpeed;
        backend.ejectedUntilMs = context.nowMs + ejectionMs * (slowStart.isWarmingUp(backend) ? 10 : 1);
    }

    private void failed(BackendState backend) {
        recordFault(backend, 1);
        backend.connectedAtMs = DecisionContext.NEVER_MS;
        backend.failures++;
        if (backend.failingSinceMs < 0) {
            backend.failingSinceMs = context.nowMs;
        }
        backend.ejectedUntilMs = context.nowMs + Math.min(4000, 500 * backend.failures) / fadeSpeed;
    }

    /**
     * Takes in that a backend is reachable. After failed connects it may have started anew before the endpoint list
     * says so, so its slow start begins. Guards also against connections that break now and then: two such in a row had
     * warm backends paced as starting ones.
     */
    private void connected(BackendState backend) {
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
            connected(backend);
        } else {
            failed(backend);
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
        attempts += served + failed;
        double part = 1 - Math.pow(0.8, served + failed);
        backend.errorRate += part * ((double) failed / (served + failed) - backend.errorRate);
        if (served <= 0 || meanMs < 0) {
            return;
        }
        updateSlowness(backend, meanMs / context.sizes.meanMs(0));
        context.sizes.recordMean(0, meanMs);
    }

    private void updateSlowness(BackendState backend, double ratio) {
        double step = (ratio > backend.slowness ? 0.15 : 0.1) / Math.sqrt(fadeSpeed);
        backend.slowness += step * (Math.min(MAX_SLOWNESS, ratio) - backend.slowness);
    }

    private void recordFault(BackendState backend, double part) {
        recordFault(backend.zoneGroup, part);
        recordFault(backend.kindGroup, part);
    }

    private void recordFault(String group, double part) {
        double[] known = groupFaults.computeIfAbsent(group, none -> new double[1]);
        known[0] = 0.7 * known[0] + 0.3 * part;
    }

    /** How much a backend's zone and kind fail, 0 to 2. */
    double groupFaults(BackendState backend) {
        return faultsOf(backend.zoneGroup) + faultsOf(backend.kindGroup);
    }

    private double faultsOf(String group) {
        double[] known = groupFaults.get(group);
        return known == null ? 0 : known[0];
    }

    /** Once an interval: adapts how fast marks fade to the attempts for each listed backend; fades group faults. */
    void update(int listedBackends) {
        meanAttempts += 0.1 * (attempts - meanAttempts);
        attempts = 0;
        fadeSpeed = Math.max(0.2, Math.min(1, 20 * meanAttempts / Math.max(1, listedBackends)));
        for (double[] part : groupFaults.values()) {
            part[0] *= 0.97;
        }
    }

    /** Once an interval: fades a backend's marks so that it is tried again. */
    void fade(BackendState backend) {
        backend.slowness += FADE_RATE * fadeSpeed * (1 - backend.slowness);
        backend.errorRate *= 1 - FADE_RATE * fadeSpeed;
    }

    /** Once an interval: starts a health check of a backend that keeps failing, where checks are allowed. */
    void checkIfDue(BackendState backend) {
        if (backend.listed
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
        if (!backend.listed || context.nowMs < backend.ejectedUntilMs) {
            return new CapacityShare(id, 0);
        }
        double share = slowStart.capacityShare(backend) / (Math.max(1, backend.slowness) * errorPenalty(backend));
        return new CapacityShare(id, Math.max(0.02, share));
    }

    /** The factor by which a backend's errors make it look slower. */
    static double errorPenalty(BackendState backend) {
        return 1 + 20 * backend.errorRate * backend.errorRate;
    }
}
