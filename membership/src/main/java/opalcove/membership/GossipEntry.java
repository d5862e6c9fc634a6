package opalcove.membership;

/** Word of a member, as it is passed on; {@code by} is who accuses, where the word is a suspicion, else empty. */
public record GossipEntry(Member member, String by) {
    static GossipEntry of(Member member) {
        return new GossipEntry(member, "");
    }
}
