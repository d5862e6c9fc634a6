package opalcove.recovery;

import java.util.List;

/**
 * Stored state of a gateway, from which it recovers after a loss of power.
 *
 * @param gateway the gateway's name
 * @param writtenAtMs when the snapshot was written, Unix ms
 * @param incarnation the incarnation of the gateway's process
 * @param isClean whether the snapshot was written at a graceful shutdown
 * @param version the version of the configuration; 0 for none
 * @param text the configuration document of this version
 * @param members the other gateways
 */
public record Snapshot(
        String gateway,
        long writtenAtMs,
        long incarnation,
        boolean isClean,
        long version,
        String text,
        List<Peer> members) {
    /** Another gateway; its incarnation is the start time of its process in Unix ms, raised by each refutation. */
    public record Peer(String name, String address, long incarnation) {}
}
