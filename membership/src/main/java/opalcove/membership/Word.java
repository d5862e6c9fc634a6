package opalcove.membership;

/** Word of a member, as it is passed on; {@code by} is who accuses, where the word is a suspicion, else empty. */
public record Word(Member member, String by) {
    static Word of(Member member) {
        return new Word(member, "");
    }
}
