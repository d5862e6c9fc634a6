package opalcove.laboratory.coldstart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import opalcove.decision.AttemptStatus;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;

/**
 * A simulated backend with cores, a first-in first-out queue, and a capacity that follows the slow-start ramp after
 * each start.
 */
final class ModelBackend {
    /** The size of a backend: its cores, the speed of each (1 is the reference), and the queue slots per core. */
    record Shape(int cores, double speed, int queuePerCore) {
        /** Returns the full capacity in cores of speed 1. */
        double capacity() {
            return cores * speed;
        }
    }

    /**
     * An attempt sent by a gateway. {@code workMs} is the time in ms that a fully warm core of speed 1 takes, and
     * {@code informed} is whether the gateway knew of the latest start of the backend when it sent the attempt.
     */
    record Attempt(double workMs, boolean informed, AttemptListener listener) {}

    /** Is notified of the status with which an attempt ended. */
    interface AttemptListener {
        void attemptEnded(AttemptStatus result);
    }

    private final VirtualClock clock;
    private final SlowStartRule rule;
    private final String name;
    private final String zone;
    private final Shape shape;
    private final double meanWorkMs;
    private final Deque<Attempt> waiting = new ArrayDeque<>();
    private final List<Attempt> running = new ArrayList<>();
    private final List<SlowStartPeriod> slowStartPeriods = new ArrayList<>();
    private double startedMs;
    private boolean up;
    private boolean draining;
    private int processChanges;

    ModelBackend(VirtualClock clock, SlowStartRule rule, String name, String zone, Shape shape, double meanWorkMs) {
        this.clock = clock;
        this.rule = rule;
        this.name = name;
        this.zone = zone;
        this.shape = shape;
        this.meanWorkMs = meanWorkMs;
    }

    /** Puts the backend into service at full capacity, past its slow start. */
    void startWarm() {
        up = true;
        startedMs = Double.NEGATIVE_INFINITY;
    }

    /** Starts a new process, which begins its slow start. */
    void startInSlowStart() {
        up = true;
        processChanges++;
        startedMs = clock.nowMs();
        slowStartPeriods.add(new SlowStartPeriod(rule, startedMs, shape.capacity() / meanWorkMs));
    }

    /** Drains the backend: its list entry has the state DRAINING, and attempts that still arrive are served. */
    void drain() {
        draining = true;
    }

    /** Ends the process; its running and queued attempts end as BROKEN. */
    void crash() {
        up = false;
        processChanges++;
        List<Attempt> unfinished = new ArrayList<>(running);
        unfinished.addAll(waiting);
        running.clear();
        waiting.clear();
        unfinished.forEach(attempt -> attempt.listener().attemptEnded(AttemptStatus.BROKEN));
    }

    void offer(Attempt attempt) {
        if (!up) {
            attempt.listener().attemptEnded(AttemptStatus.UNREACHABLE);
            return;
        }
        if (!slowStartPeriods.isEmpty()) {
            SlowStartPeriod latest = slowStartPeriods.get(slowStartPeriods.size() - 1);
            latest.requestArrived(clock.nowMs(), attempt.workMs() / meanWorkMs, attempt.informed());
        }
        if (waiting.size() >= shape.queuePerCore() * shape.cores()) {
            attempt.listener().attemptEnded(AttemptStatus.REJECTED);
            return;
        }
        waiting.add(attempt);
        startWaitingAttempts();
    }

    /** Removes a queued attempt; an attempt that is already running continues. */
    void cancel(Attempt attempt) {
        waiting.remove(attempt);
    }

    private void startWaitingAttempts() {
        while (running.size() < shape.cores() && !waiting.isEmpty()) {
            Attempt attempt = waiting.poll();
            running.add(attempt);
            int processChangesAtStart = processChanges;
            double serviceMs = rule.serviceMs(clock.nowMs() - startedMs, attempt.workMs() / shape.speed());
            clock.after(serviceMs, () -> {
                if (processChangesAtStart == processChanges) {
                    running.remove(attempt);
                    attempt.listener().attemptEnded(AttemptStatus.SERVED);
                    startWaitingAttempts();
                }
            });
        }
    }

    /**
     * Returns the entry of the backend in the endpoint list; the start time is 0 if the backend began past its slow
     * start.
     */
    Endpoint endpoint(double unitCapacity) {
        return new Endpoint(
                name,
                zone,
                "kind-" + shape.cores(),
                0,
                state(),
                shape.capacity() / unitCapacity,
                startedMs > 0 ? startedMs : 0);
    }

    private EndpointState state() {
        if (!up) {
            return EndpointState.REMOVED;
        }
        return draining ? EndpointState.DRAINING : EndpointState.UP;
    }

    String name() {
        return name;
    }

    double startedMs() {
        return startedMs;
    }

    double capacity() {
        return shape.capacity();
    }

    List<SlowStartPeriod> slowStartPeriods() {
        return slowStartPeriods;
    }
}
