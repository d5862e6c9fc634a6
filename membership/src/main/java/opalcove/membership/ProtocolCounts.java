package opalcove.membership;

/**
 * Number of times each event of the protocol has occurred since the start.
 *
 * @param probes this member's own probes
 * @param acks ACKs received for its own probes
 * @param requestedProbes probes that other members requested
 * @param suspicions suspicions that this member raised
 * @param confirmedDeaths suspects that this member declared dead
 * @param refutations suspicions and deaths of this member itself that it refuted
 * @param pauses pauses of this process that were longer than a probe period
 */
public record ProtocolCounts(
        long probes,
        long acks,
        long requestedProbes,
        long suspicions,
        long confirmedDeaths,
        long refutations,
        long pauses) {}
