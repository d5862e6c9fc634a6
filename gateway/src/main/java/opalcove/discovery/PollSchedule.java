package opalcove.discovery;

import java.util.random.RandomGenerator;
import opalcove.decision.DecisionSettings;

/**
 * Determines when discovery is called and how long each call may take.
 *
 * <p>A pushed list is held by an agent on this machine, which responds immediately and at no cost. It is therefore
 * called without delay, and again soon after a failure. A polled list is held by one service of limited capacity that
 * all gateways share. They spread their first calls, back off, and wait long enough for the service to reject a call,
 * so that no abandoned calls remain in its queue.
 *
 * <p>The gateway is required to know a change of a pushed list as soon as the agent has it, even if the agent was
 * silent before and never responds to the calls of that time. A call and the wait after it therefore end within the
 * drain grace, the time in which requests must stop being sent to a draining backend. The gateway is required to know a
 * change of a polled list 6 s after discovery had it and was reachable, regardless of which calls failed before.
 * docs/design/crossings.md has the calculations.
 *
 * @param waitMs how long a watch may wait for a change, in ms
 * @param silenceMs how much later than that its response may arrive before the watch counts as broken, in ms
 * @param firstAfterMs the delay of the first call, in ms
 * @param backoff the waits after failed calls; stateful, owned by the client's event loop
 * @param maxPeriodMs the longest time from the start of a failed call to the start of the next one, in ms
 * @param freshMs the longest time from a call to its response for which the received list is fresh, in ms; during a
 *     longer call the agent may have learnt of a drain, whose grace began at that time
 * @param lateMs how much later than its wait the response of a watch must be received to show that this process was
 *     stalled, in ms
 */
public record PollSchedule(
        int waitMs, int silenceMs, long firstAfterMs, Backoff backoff, long maxPeriodMs, long freshMs, long lateMs) {
    /**
     * The connect timeout before this client is ready, in ms; it is long because a process that has just started is
     * slow itself.
     */
    static final int STARTUP_CONNECT_TIMEOUT_MS = 1000;

    private static final long DEFAULT_FRESH_MS = 300;
    /**
     * The time per gateway, in ms, over which the first calls of all gateways are spread, and their calls after a
     * failure that all of them had. Without it, all gateways call at the same instant after a release, or after a
     * service has broken all its connections.
     */
    private static final double SPREAD_PER_GATEWAY_MS = 20;
    /**
     * The times of a polled list, in ms. A service that is short of capacity rejects a call after 2 s in its queue, and
     * the allowed silence is longer than that. A call and the wait after it leave 1.5 s of the 6 s for the response of
     * the next call and for a process that is stalled.
     */
    private static final int POLLED_WAIT_MS = 1500;

    private static final int POLLED_SILENCE_MS = 2500;
    private static final long POLLED_MAX_PERIOD_MS = 4500;
    private static final double POLLED_BACKOFF_MS = 200;
    private static final double POLLED_MAX_BACKOFF_MS = 3200;
    /**
     * The time after a move to another address within which a failed call is repeated, in ms. The gateway is required
     * to know a change 4 s after SIGHUP.
     */
    private static final long MAX_RETRY_AFTER_MOVE_MS = 3200;

    /**
     * The times of a pushed list as parts of the drain grace, of which a fifth is reserved for a process that is
     * stalled.
     */
    private static final double WAIT_PART = 0.25;

    private static final double SILENCE_PART = 0.4;
    private static final double BACKOFF_PART = 0.05;
    private static final double PERIOD_PART = 0.8;
    private static final double FRESH_PART = 0.3;
    private static final double LATE_PART = 0.4;
    /** A shorter drain grace does not reduce the times below those of this grace, in ms. */
    private static final double MIN_GRACE_MS = 100;
    /**
     * A longer drain grace does not extend the times beyond those of this grace, in ms: draining backends reject
     * attempts.
     */
    private static final double MAX_GRACE_MS = 1000;

    /** Creates a schedule without a bound for a call and the wait after it, and by which no response is late. */
    public PollSchedule(int waitMs, int silenceMs, long firstAfterMs, Backoff backoff) {
        this(waitMs, silenceMs, firstAfterMs, backoff, Long.MAX_VALUE, DEFAULT_FRESH_MS, Long.MAX_VALUE);
    }

    /** Returns the schedule for the kind of discovery, pushed or polled, that the settings name. */
    public static PollSchedule of(DecisionSettings settings, RandomGenerator random) {
        return settings.obligations().listOnRequest()
                ? polled(settings.gateways(), random)
                : pushed(settings.obligations().drainGraceMs(), random);
    }

    private static PollSchedule polled(int gateways, RandomGenerator random) {
        double fleetSpreadMs = SPREAD_PER_GATEWAY_MS * (gateways - 1);
        double spreadMs = Math.min(fleetSpreadMs, POLLED_MAX_PERIOD_MS);
        double backoffMs = Math.min(Math.max(POLLED_BACKOFF_MS, fleetSpreadMs), POLLED_MAX_BACKOFF_MS);
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

    /**
     * Returns the longest permitted wait after a failed call, in ms.
     *
     * @param msSinceCall the time since the failed call was made
     * @param moveCount how often the address of discovery has changed
     * @param msSinceMove the time since its last change
     */
    public long maxBackoffMs(long msSinceCall, int moveCount, long msSinceMove) {
        long remainingPeriodMs = maxPeriodMs - msSinceCall;
        boolean hasJustMoved = moveCount > 0 && msSinceMove < MAX_RETRY_AFTER_MOVE_MS;
        return Math.max(
                1,
                hasJustMoved ? Math.min(remainingPeriodMs, MAX_RETRY_AFTER_MOVE_MS - msSinceMove) : remainingPeriodMs);
    }

    /**
     * Returns the connect timeout for discovery, in ms. A connection that was attempted while the agent was down may
     * never be established; it must end within the same drain grace as a call without a response.
     */
    public int connectTimeoutMs() {
        return Math.min(STARTUP_CONNECT_TIMEOUT_MS, silenceMs);
    }
}
