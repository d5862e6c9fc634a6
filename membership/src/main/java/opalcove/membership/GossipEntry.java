package opalcove.membership;

/**
 * The state of one member as sent in gossip.
 *
 * @param member the member and its state
 * @param accuser for a suspicion, the name of the member that raised or confirmed it; else empty
 */
public record GossipEntry(Member member, String accuser) {
    static GossipEntry of(Member member) {
        return new GossipEntry(member, "");
    }
}
