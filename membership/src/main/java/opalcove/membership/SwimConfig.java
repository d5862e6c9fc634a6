package opalcove.membership;

/**
 * Times and limits of the protocol; all times are in ms.
 *
 * @param probePeriodMs period in which two members are probed: the next one on the ring and one in random order
 * @param ackTimeoutMs timeout of a direct ACK, after which indirect probes are requested, and timeout of these
 * @param indirectProbes number of other members that are requested to probe a member that sent no ACK
 * @param suspicionPeriods minimum suspicion timeout in probe periods, to which the propagation time of gossip is added
 * @param suspicionSpread ratio of the maximum suspicion timeout, which applies without confirmations, to the minimum
 * @param gossipPeriodMs period in which pending gossip is sent in separate messages
 * @param gossipFanout number of members that receive these messages
 * @param retransmitFactor transmissions of each gossip entry for each power of ten of the fleet's size
 * @param maxGossipEntries maximum number of gossip entries in a message other than SYNC and SYNC_ACK
 * @param maxHealthScore maximum of the local health score
 * @param rejoinPeriodMs period in which one dead member or one unknown seed is contacted
 * @param syncPeriodMs period in which the complete state is exchanged with one member
 * @param retentionMs time after which members that are dead or have left are removed
 */
public record SwimConfig(
        long probePeriodMs,
        long ackTimeoutMs,
        int indirectProbes,
        double suspicionPeriods,
        double suspicionSpread,
        long gossipPeriodMs,
        int gossipFanout,
        int retransmitFactor,
        int maxGossipEntries,
        int maxHealthScore,
        long rejoinPeriodMs,
        long syncPeriodMs,
        long retentionMs) {
    /**
     * Checks the times and limits.
     *
     * @throws IllegalArgumentException if one is out of range, or if two ACK timeouts exceed the probe period
     */
    public SwimConfig {
        if (probePeriodMs <= 0
                || ackTimeoutMs <= 0
                || 2 * ackTimeoutMs > probePeriodMs
                || indirectProbes < 0
                || suspicionPeriods <= 0
                || suspicionSpread < 1
                || gossipPeriodMs <= 0
                || gossipFanout <= 0
                || retransmitFactor <= 0
                || maxGossipEntries <= 0
                || maxHealthScore < 0
                || rejoinPeriodMs <= 0
                || syncPeriodMs <= 0
                || retentionMs <= 0) {
            throw new IllegalArgumentException(
                    "membership: times and limits must be positive, and ack_ms at most half of probe_ms");
        }
    }

    /** Returns the default configuration for a probe period in ms. */
    public static SwimConfig of(long probePeriodMs) {
        long ackTimeoutMs = probePeriodMs * 2 / 5;
        int indirectProbes = 3;
        double suspicionPeriods = 3;
        double suspicionSpread = 2;
        long gossipPeriodMs = Math.max(1, probePeriodMs / 5);
        int gossipFanout = 3;
        int retransmitFactor = 6;
        int maxGossipEntries = 12;
        int maxHealthScore = 8;
        long rejoinPeriodMs = 2 * probePeriodMs;
        long syncPeriodMs = 20 * probePeriodMs;
        long retentionMs = 600_000;
        return new SwimConfig(
                probePeriodMs,
                ackTimeoutMs,
                indirectProbes,
                suspicionPeriods,
                suspicionSpread,
                gossipPeriodMs,
                gossipFanout,
                retransmitFactor,
                maxGossipEntries,
                maxHealthScore,
                rejoinPeriodMs,
                syncPeriodMs,
                retentionMs);
    }
}
