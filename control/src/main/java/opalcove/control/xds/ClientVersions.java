package opalcove.control.xds;

/**
 * The sent and acknowledged state of one resource type on a stream.
 *
 * @param sentRevision the last snapshot revision that was sent completely to the client; -1: none
 * @param acknowledgedRevision the last snapshot revision whose changes the client has all accepted or rejected; -1:
 *     none
 * @param oldestPendingMs age of the oldest outstanding acknowledgement, ms; 0: none is outstanding
 * @param acceptedCount number of responses that the client accepted
 * @param rejectedCount number of responses that the client rejected
 * @param rejectionReason why the client rejected the last response; empty if it accepted that response
 * @param withheldCount number of resources that are withheld because the client rejected their current version
 */
public record ClientVersions(
        long sentRevision,
        long acknowledgedRevision,
        double oldestPendingMs,
        long acceptedCount,
        long rejectedCount,
        String rejectionReason,
        int withheldCount) {}
