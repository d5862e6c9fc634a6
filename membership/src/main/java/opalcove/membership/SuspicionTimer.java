package opalcove.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * The suspicion of one peer: which members accuse it, and how long it has to refute them. The timeout starts at its
 * maximum and shrinks with each confirmation by another accuser (Lifeguard). Owned by the thread of its {@link
 * FailureDetector}.
 */
final class SuspicionTimer {
    /** How often a suspect is pinged once more before it is declared dead. */
    private static final int MAX_LAST_PINGS = 3;
    /** The fraction of the timeout after which the last pings begin; they are spread over the rest of it. */
    private static final double LAST_PINGS_FROM = 0.6;

    private final Set<String> accusers = new HashSet<>();
    private long startedAtMs;
    private int lastPings;

    /** Starts the timer anew, with one accuser. */
    void start(long nowMs, String accuser) {
        cancel();
        startedAtMs = nowMs;
        accusers.add(accuser);
    }

    /** Forgets the accusers. */
    void cancel() {
        accusers.clear();
        lastPings = 0;
    }

    /** Moves the timeout back, by the time in which this process itself stood still. */
    void extendBy(long pauseMs) {
        startedAtMs += pauseMs;
    }

    /** Adds an accuser; false if it is one already, or if there are as many as shorten the timeout. */
    boolean confirm(String accuser, SwimConfig config) {
        return accusers.size() <= config.indirectProbes() && accusers.add(accuser);
    }

    boolean isAccusedBy(String name) {
        return accusers.contains(name);
    }

    /** One of the accusers; empty if there is none. */
    String anyAccuser() {
        return accusers.isEmpty() ? "" : accusers.iterator().next();
    }

    /** The part of the timeout that has passed; from 1 it has expired. */
    double elapsedFraction(long nowMs, SwimConfig config, int memberCount) {
        return (nowMs - startedAtMs) / timeoutMs(config, memberCount, accusers.size() - 1);
    }

    /** Whether one more of the last pings is due; counts it. */
    boolean takeLastPing(double elapsedFraction) {
        if (lastPings < MAX_LAST_PINGS
                && elapsedFraction >= LAST_PINGS_FROM + (1 - LAST_PINGS_FROM) * lastPings / MAX_LAST_PINGS) {
            lastPings++;
            return true;
        }
        return false;
    }

    /** Minimum timeout: some probe periods, and the time in which gossip reaches a fleet of that size. */
    static double minTimeoutMs(SwimConfig config, int memberCount) {
        return config.suspicionPeriods() * config.probePeriodMs()
                + config.gossipPeriodMs()
                        * Math.ceil(Math.log(Math.max(2, memberCount)) / Math.log(config.gossipFanout() + 1));
    }

    /** The timeout after that many confirmations, in ms. */
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
