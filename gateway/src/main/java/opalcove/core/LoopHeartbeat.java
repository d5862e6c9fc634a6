package opalcove.core;

import opalcove.config.Clock;

/**
 * A timer that expires at a fixed interval; when it is late, the event loop was delayed. Used on the event loop only.
 */
final class LoopHeartbeat extends TimerQueue.Timer {
    /**
     * The longest interval, ms. Each beat updates the number of avoided backends in the metrics, which may be twice
     * this old.
     */
    private static final double MAX_INTERVAL_MS = 250;
    /** The shortest interval, ms, for any drain grace. */
    private static final double MIN_INTERVAL_MS = 25;

    /**
     * The interval between two beats as a fraction of the drain grace. A beat that is late by more than one interval
     * shows that the event loop was delayed. A drain that waits unread behind a request for half of its grace is
     * therefore read before that request is forwarded.
     */
    private static final double DRAIN_GRACE_FRACTION = 0.25;

    private final Clock clock;
    private final TimerQueue timers;
    private final ConfigGenerations generations;
    private final Runnable onBeat;
    private double lastBeatMs;

    LoopHeartbeat(Clock clock, TimerQueue timers, ConfigGenerations generations, Runnable onBeat) {
        this.clock = clock;
        this.timers = timers;
        this.generations = generations;
        this.onBeat = onBeat;
        lastBeatMs = clock.now();
    }

    /** Schedules the next beat. */
    void schedule() {
        timers.schedule(intervalMs(), this);
    }

    /** Whether the event loop has missed a beat, so that input of that time may not have been read yet. */
    boolean isLoopDelayed(double nowMs) {
        return nowMs - lastBeatMs > 2 * intervalMs();
    }

    private double intervalMs() {
        double wantedMs = DRAIN_GRACE_FRACTION
                * generations.newest().settings.obligations().drainGraceMs();
        return Math.max(MIN_INTERVAL_MS, Math.min(MAX_INTERVAL_MS, wantedMs));
    }

    @Override
    void onExpiry() {
        lastBeatMs = clock.now();
        onBeat.run();
        schedule();
    }
}
