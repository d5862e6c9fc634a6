package opalcove.membership;

/**
 * The state of one member, as it is spread by gossip.
 *
 * @param member the member in that state
 * @param accuser for a suspicion, the name of the member that raised or confirmed it; else empty
 */
public record GossipEntry(Member member, String accuser) {
    static GossipEntry of(Member member) {
        return new GossipEntry(member, "");
    }
}
