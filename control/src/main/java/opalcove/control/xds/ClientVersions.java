package opalcove.control.xds;

/**
 * What a proxy is known to know of one type.
 *
 * @param sent the serial of the last view that it was told all of
 * @param acknowledged the serial of the last view all of whose news it has answered for, taken or refused
 * @param waitingMs how long the oldest answer has been owed, ms; 0: none is
 * @param taken responses it took
 * @param refused responses it refused
 * @param reason why it refused the last one it refused; empty where it refused none, or took it since
 * @param refusedNames how many resources it does not take in the version they have
 */
public record ClientVersions(
        long sent, long acknowledged, double waitingMs, long taken, long refused, String reason, int refusedNames) {}
