package opalcove.membership;

/**
 * How often each event of the protocol has occurred since the start.
 *
 * @param probes probes of this member's own
 * @param acks answers to them
 * @param requestedProbes probes that other members requested
 * @param suspicions suspicions that this member raised
 * @param confirmedDeaths suspects that this member declared dead
 * @param refutations suspicions and deaths of this member itself that it refuted
 * @param pauses times that this process stood still for more than a probe period
 */
public record ProtocolCounts(
        long probes,
        long acks,
        long requestedProbes,
        long suspicions,
        long confirmedDeaths,
        long refutations,
        long pauses) {}
