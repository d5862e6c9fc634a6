package opalcove.recovery;

import java.util.List;

/**
 * What a gateway knew at some time, stored so that it can recover after a loss of power.
 *
 * @param gateway the gateway's name
 * @param writtenAtMs when it was written, Unix ms
 * @param incarnation the incarnation of the gateway's process
 * @param isClean whether it was written at a graceful shutdown
 * @param version the version of the configuration; 0 for none
 * @param text the document of that version
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
    /** Another gateway; its incarnation is the start of its process, Unix ms, and higher after refutations. */
    public record Peer(String name, String address, long incarnation) {}
}
