package opalcove.control.xds;

/**
 * What the client of a stream has of one resource type, as far as it was sent and acknowledged.
 *
 * @param sentRevision the last snapshot revision that it was sent completely; -1: none
 * @param acknowledgedRevision the last snapshot revision all of whose changes it has accepted or rejected; -1: none
 * @param oldestPendingMs for how long the oldest acknowledgement has been outstanding, ms; 0: none is
 * @param acceptedCount responses that it accepted
 * @param rejectedCount responses that it rejected
 * @param rejectionReason why it rejected the last response; empty if it accepted the last one
 * @param withheldCount resources that are withheld since it rejects them in the version they have
 */
public record ClientVersions(
        long sentRevision,
        long acknowledgedRevision,
        double oldestPendingMs,
        long acceptedCount,
        long rejectedCount,
        String rejectionReason,
        int withheldCount) {}
