package opalcove.laboratory.coldstart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import opalcove.decision.AttemptStatus;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;

/** A backend with cores, a queue that is served in order, and a capacity that follows the ramp after each start. */
final class ModelBackend {
    /** What a backend is like. */
    record Shape(int cores, double speed, int queuePerCore) {
        /** Its capacity in cores of speed 1. */
        double capacity() {
            return cores * speed;
        }
    }

    /** An attempt of a gateway; work is the time, ms, that a core of speed 1 takes. */
    record Attempt(double workMs, boolean informed, Ended ended) {}

    /** Hears how an attempt ended. */
    interface Ended {
        void ended(AttemptStatus result);
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
    private int starts;

    ModelBackend(VirtualClock clock, SlowStartRule rule, String name, String zone, Shape shape, double meanWorkMs) {
        this.clock = clock;
        this.rule = rule;
        this.name = name;
        this.zone = zone;
        this.shape = shape;
        this.meanWorkMs = meanWorkMs;
    }

    /** Puts a backend into service that has been warm for long. */
    void startWarm() {
        up = true;
        startedMs = Double.NEGATIVE_INFINITY;
    }

    /** Starts the process anew, cold. */
    void startInSlowStart() {
        up = true;
        starts++;
        startedMs = clock.nowMs();
        slowStartPeriods.add(new SlowStartPeriod(rule, startedMs, shape.capacity() / meanWorkMs));
    }

    /** Takes the backend out of service: the list says so, and what still comes is served. */
    void drain() {
        draining = true;
    }

    /** Ends the process; what it held is broken off. */
    void crash() {
        up = false;
        starts++;
        List<Attempt> held = new ArrayList<>(running);
        held.addAll(waiting);
        running.clear();
        waiting.clear();
        held.forEach(attempt -> attempt.ended().ended(AttemptStatus.BROKEN));
    }

    void offer(Attempt attempt) {
        if (!up) {
            attempt.ended().ended(AttemptStatus.UNREACHABLE);
            return;
        }
        if (!slowStartPeriods.isEmpty()) {
            SlowStartPeriod latest = slowStartPeriods.get(slowStartPeriods.size() - 1);
            latest.arrived(clock.nowMs(), attempt.workMs() / meanWorkMs, attempt.informed());
        }
        if (waiting.size() >= shape.queuePerCore() * shape.cores()) {
            attempt.ended().ended(AttemptStatus.REJECTED);
            return;
        }
        waiting.add(attempt);
        work();
    }

    /** Takes an attempt that still waits out of the queue; one that runs goes on. */
    void cancel(Attempt attempt) {
        waiting.remove(attempt);
    }

    private void work() {
        while (running.size() < shape.cores() && !waiting.isEmpty()) {
            Attempt attempt = waiting.poll();
            running.add(attempt);
            int start = starts;
            double tookMs = rule.serviceMs(clock.nowMs() - startedMs, attempt.workMs() / shape.speed());
            clock.after(tookMs, () -> {
                if (start == starts) {
                    running.remove(attempt);
                    attempt.ended().ended(AttemptStatus.SERVED);
                    work();
                }
            });
        }
    }

    /** The backend's line in the list; its start time is 0 where it has been warm for long. */
    Endpoint line(double sizeOfOne) {
        return new Endpoint(
                name,
                zone,
                "kind-" + shape.cores(),
                0,
                state(),
                shape.capacity() / sizeOfOne,
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
