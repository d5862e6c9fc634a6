package opalcove.discovery;

import java.util.random.RandomGenerator;
import opalcove.decision.DecisionSettings;

/**
 * When discovery is called, and how long each call is waited for. A list that is pushed is held by an agent on this
 * machine, which answers at once and at no cost: it is called at once, and again soon. One that is polled is held by one
 * service of limited capacity for all gateways: they spread their first calls, back off, and wait for its rejection
 * rather than leave calls in its queue.
 *
 * <p>What a pushed list's agent has counts as known at once, also when the agent has been silent and no call that was made
 * meanwhile is ever answered: a call and the wait after it together end within the drain grace, the time in which sends to
 * a draining backend have to stop. A change of a polled list counts as known 6 s after discovery had it and could be
 * reached, whatever calls failed before. docs/design/crossings.md has the sums.
 *
 * @param waitMs how long a watch may wait for a change
 * @param silenceMs how much later its response may arrive before the watch counts as broken
 * @param firstAfterMs when the first call is made
 * @param backoff waits after failed calls; stateful, owned by the client's event loop
 * @param maxPeriodMs the longest time from the start of a call that fails to the start of the next
 * @param freshMs a list is fresh that was received so soon after it was requested: while an older one was in flight its
 *     agent may have learnt of a drain, whose grace began then
 * @param lateMs a watch whose response is received so much later than its wait shows that this process was held up
 */
public record PollSchedule(
        int waitMs, int silenceMs, long firstAfterMs, Backoff backoff, long maxPeriodMs, long freshMs, long lateMs) {
    /** How long a connection may take to come up before the first list: a process that has just started is slow itself. */
    static final int FIRST_CONNECT_MS = 1000;

    private static final long DEFAULT_FRESH_MS = 300;
    /**
     * The first calls of all gateways, and those after a failure that all of them met, are spread over so long for each of
     * them: a release, or a service that breaks all its connections, does not make them call at one instant.
     */
    private static final double SPREAD_MS = 20;
    /**
     * A polled list: a service short of capacity rejects a call after 2 s in its queue, which the silence outlasts. A call
     * and the wait after it leave 1.5 s of the 6 s for the next call's response and for a process that is held up.
     */
    private static final int POLLED_WAIT_MS = 1500;

    private static final int POLLED_SILENCE_MS = 2500;
    private static final long POLLED_MAX_PERIOD_MS = 4500;
    private static final double POLLED_BACKOFF_MS = 200;
    private static final double POLLED_MAX_BACKOFF_MS = 3200;
    /**
     * After a move to another address a change counts as known 4 s after SIGHUP: a call that fails before that is repeated
     * within so long of the move.
     */
    private static final long MOVED_MS = 3200;

    /** The times of a pushed list as parts of the drain grace; a fifth is reserved for a process that is held up. */
    private static final double WAIT_PART = 0.25;

    private static final double SILENCE_PART = 0.4;
    private static final double BACKOFF_PART = 0.05;
    private static final double PERIOD_PART = 0.8;
    private static final double FRESH_PART = 0.3;
    private static final double LATE_PART = 0.4;
    /** No agent is given less time than this grace has. */
    private static final double MIN_GRACE_MS = 100;
    /** A longer grace makes no call slower than this one does: draining backends reject attempts. */
    private static final double MAX_GRACE_MS = 1000;

    /** A schedule whose calls are not bounded together, and by which nothing is late. */
    public PollSchedule(int waitMs, int silenceMs, long firstAfterMs, Backoff backoff) {
        this(waitMs, silenceMs, firstAfterMs, backoff, Long.MAX_VALUE, DEFAULT_FRESH_MS, Long.MAX_VALUE);
    }

    /** The schedule of the settings' kind of discovery. */
    public static PollSchedule of(DecisionSettings settings, RandomGenerator random) {
        return settings.obligations().listOnRequest()
                ? polled(settings.gateways(), random)
                : pushed(settings.obligations().drainGraceMs(), random);
    }

    private static PollSchedule polled(int gateways, RandomGenerator random) {
        double fleetMs = SPREAD_MS * (gateways - 1);
        double spreadMs = Math.min(fleetMs, POLLED_MAX_PERIOD_MS);
        double backoffMs = Math.min(Math.max(POLLED_BACKOFF_MS, fleetMs), POLLED_MAX_BACKOFF_MS);
        return new PollSchedule(
                POLLED_WAIT_MS,
                POLLED_SILENCE_MS,
                (long) (spreadMs * random.nextDouble()),
                new Backoff(backoffMs, POLLED_MAX_BACKOFF_MS, random),
                POLLED_MAX_PERIOD_MS,
                Long.MAX_VALUE,
                Long.MAX_VALUE);
    }

    private static PollSchedule pushed(double drainGraceMs, RandomGenerator random) {
        double graceMs = Math.max(MIN_GRACE_MS, Math.min(drainGraceMs, MAX_GRACE_MS));
        return new PollSchedule(
                (int) (WAIT_PART * graceMs),
                (int) (SILENCE_PART * graceMs),
                0,
                new Backoff(BACKOFF_PART * graceMs, 2 * BACKOFF_PART * graceMs, random),
                (long) (PERIOD_PART * graceMs),
                (long) (FRESH_PART * graceMs),
                (long) (LATE_PART * graceMs));
    }

    /** How long the wait after a failed call may be, ms; moveCount is how often the address has changed. */
    public long maxBackoffMs(long msSinceCall, int moveCount, long msSinceMove) {
        long periodLeftMs = maxPeriodMs - msSinceCall;
        boolean hasJustMoved = moveCount > 0 && msSinceMove < MOVED_MS;
        return Math.max(1, hasJustMoved ? Math.min(periodLeftMs, MOVED_MS - msSinceMove) : periodLeftMs);
    }

    /**
     * How long a connection to discovery may take to come up, ms. One that was tried while the agent was away may never
     * come up, and is part of the same drain grace as a call that is never answered.
     */
    public int connectMs() {
        return Math.min(FIRST_CONNECT_MS, silenceMs);
    }
}
