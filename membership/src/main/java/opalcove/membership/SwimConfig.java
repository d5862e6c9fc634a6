package opalcove.membership;

/**
 * The times and numbers of the protocol; all times in ms.
 *
 * @param probeMs in each period of so long two members are probed: the next on the ring, and one in turn
 * @param ackMs how long a direct answer may take before others are asked to try, and then how long theirs may take
 * @param helpers how many others are asked
 * @param suspectPeriods the least time that a suspect has to refute, in probe periods, beside the time of the gossip
 * @param suspectSpread how many times the least time the most is, which holds until others confirm the suspicion
 * @param gossipMs how often news is passed on by messages of its own
 * @param fanout to how many members at a time
 * @param gossipFactor how often each word is passed on, for each power of ten of members
 * @param gossipMost the most words in a message that is no SYNC
 * @param mostHealth the most that the local health multiplier grows to
 * @param rejoinMs in each period of so long one member held for dead, or a seed not known, is called
 * @param syncMs in each period of so long all that is known is exchanged with one member
 * @param forgetMs a member that is dead or has left is forgotten after so long
 */
public record SwimConfig(
        long probeMs,
        long ackMs,
        int helpers,
        double suspectPeriods,
        double suspectSpread,
        long gossipMs,
        int fanout,
        int gossipFactor,
        int gossipMost,
        int mostHealth,
        long rejoinMs,
        long syncMs,
        long forgetMs) {
    /**
     * Checks that the protocol can run with these times.
     *
     * @throws IllegalArgumentException if it cannot
     */
    public SwimConfig {
        if (probeMs <= 0
                || ackMs <= 0
                || 2 * ackMs > probeMs
                || helpers < 0
                || suspectPeriods <= 0
                || suspectSpread < 1
                || gossipMs <= 0
                || fanout <= 0
                || gossipFactor <= 0
                || gossipMost <= 0
                || mostHealth < 0
                || rejoinMs <= 0
                || syncMs <= 0
                || forgetMs <= 0) {
            throw new IllegalArgumentException(
                    "membership: figures must be over 0, and ack_ms at most half of probe_ms");
        }
    }

    /** The usual figures for a probe period. */
    public static SwimConfig of(long probeMs) {
        return new SwimConfig(
                probeMs,
                probeMs * 2 / 5,
                3,
                3,
                2,
                Math.max(1, probeMs / 5),
                3,
                6,
                12,
                8,
                2 * probeMs,
                20 * probeMs,
                600_000);
    }

    /** How long a suspect has to refute at the least among so many members: some periods, and the way of the word. */
    double leastSuspicionMs(int members) {
        return suspectPeriods * probeMs + gossipMs * Math.ceil(Math.log(Math.max(2, members)) / Math.log(fanout + 1));
    }

    /** How long it has after so many others have confirmed the suspicion (Lifeguard's time out that shrinks). */
    double suspicionMs(int members, int confirmations) {
        double least = leastSuspicionMs(members);
        int enough = Math.min(helpers, members - 2);
        if (enough < 1) {
            return least;
        }
        double part = Math.log(confirmations + 1.0) / Math.log(enough + 1.0);
        return Math.max(least, least * (suspectSpread - (suspectSpread - 1) * part));
    }

    /** How often each word is passed on among so many members. */
    int passes(int members) {
        return (int) Math.ceil(gossipFactor * Math.log10(members + 1.0));
    }
}
