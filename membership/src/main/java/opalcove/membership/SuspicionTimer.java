package opalcove.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * The suspicion of one peer: the members that suspect it, called its accusers, and the time that it has to refute the
 * suspicion. The timeout starts at its maximum and shrinks with each confirmation by another accuser (Lifeguard). Owned
 * by the thread of its {@link FailureDetector}.
 */
final class SuspicionTimer {
    /** Maximum number of pings sent to a suspect directly before it is declared dead. */
    private static final int MAX_LAST_PINGS = 3;
    /** Fraction of the timeout after which the last pings begin; they are spread evenly over the rest of the timeout. */
    private static final double LAST_PINGS_FROM = 0.6;

    private final Set<String> accusers = new HashSet<>();
    private long startedAtMs;
    private int lastPings;

    /** Restarts the timer with one accuser. */
    void start(long nowMs, String accuser) {
        cancel();
        startedAtMs = nowMs;
        accusers.add(accuser);
    }

    /** Removes all accusers and resets the count of last pings. */
    void cancel() {
        accusers.clear();
        lastPings = 0;
    }

    /** Extends the timeout by the duration in ms of a pause of this process. */
    void extendBy(long pauseMs) {
        startedAtMs += pauseMs;
    }

    /**
     * Adds an accuser. Returns false if it is one already, or if there are already as many as can shorten the timeout.
     */
    boolean confirm(String accuser, SwimConfig config) {
        return accusers.size() <= config.indirectProbes() && accusers.add(accuser);
    }

    boolean isAccusedBy(String name) {
        return accusers.contains(name);
    }

    /** Returns one of the accusers; empty if there is none. */
    String anyAccuser() {
        return accusers.isEmpty() ? "" : accusers.iterator().next();
    }

    /** Returns the fraction of the timeout that has elapsed; the timeout has expired from 1 on. */
    double elapsedFraction(long nowMs, SwimConfig config, int memberCount) {
        return (nowMs - startedAtMs) / timeoutMs(config, memberCount, accusers.size() - 1);
    }

    /** Returns whether another of the last pings is due, and counts it if so. */
    boolean takeLastPing(double elapsedFraction) {
        if (lastPings < MAX_LAST_PINGS
                && elapsedFraction >= LAST_PINGS_FROM + (1 - LAST_PINGS_FROM) * lastPings / MAX_LAST_PINGS) {
            lastPings++;
            return true;
        }
        return false;
    }

    /** Returns the minimum timeout in ms: some probe periods plus the time in which gossip reaches a fleet of this size. */
    static double minTimeoutMs(SwimConfig config, int memberCount) {
        return config.suspicionPeriods() * config.probePeriodMs()
                + config.gossipPeriodMs()
                        * Math.ceil(Math.log(Math.max(2, memberCount)) / Math.log(config.gossipFanout() + 1));
    }

    /** Returns the timeout in ms after the given number of confirmations. */
    static double timeoutMs(SwimConfig config, int memberCount, int confirmations) {
        double minMs = minTimeoutMs(config, memberCount);
        int expectedConfirmations = Math.min(config.indirectProbes(), memberCount - 2);
        if (expectedConfirmations < 1) {
            return minMs;
        }
        double confirmedFraction = Math.log(confirmations + 1.0) / Math.log(expectedConfirmations + 1.0);
        return Math.max(minMs, minMs * (config.suspicionSpread() - (config.suspicionSpread() - 1) * confirmedFraction));
    }
}
