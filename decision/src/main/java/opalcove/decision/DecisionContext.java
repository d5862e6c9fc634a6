package opalcove.decision;

import java.util.SplittableRandom;

/**
 * The state that the parts of a module instance share: settings, random numbers, response time estimates, the time of
 * the event that is handled, and the actions of the embedding gateway. Owned by the thread that delivers the instance's
 * events.
 */
final class DecisionContext {
    /** A time before all others, for an event that has never happened, ms. */
    static final double NEVER_MS = -1e18;

    /** A time after all others, for an event that is not scheduled, ms. */
    static final double UNSCHEDULED_MS = Double.MAX_VALUE;

    /**
     * Length of a control interval, ms, for which the token buckets hold tokens. Some responses of each class fall into
     * it.
     */
    static final double INTERVAL_MS = 250;

    /** Idle tenants and removed backends are forgotten after this time, ms. */
    static final double FORGET_AFTER_MS = 60_000;

    final DecisionSettings settings;
    final DecisionSettings.Obligations obligations;
    final DecisionSettings.Limits limits;
    final DecisionActions actions;
    final SplittableRandom random;
    final ResponseTimeEstimator responseTimes;

    /** The time of the event that is handled, ms of the embedding gateway's clock. */
    double nowMs;

    DecisionContext(double nowMs, DecisionSettings settings, long seed, DecisionActions actions) {
        this.nowMs = nowMs;
        this.settings = settings;
        this.actions = actions;
        obligations = settings.obligations();
        limits = settings.limits();
        random = new SplittableRandom(seed);
        responseTimes = new ResponseTimeEstimator(settings);
    }
}
