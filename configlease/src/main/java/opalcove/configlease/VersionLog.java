package opalcove.configlease;

import java.io.Serializable;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The versions, as each voter has them: proposals taken or refused in the order that the voters agreed on. The same
 * proposals in the same order give the same versions everywhere. Free of I/O and clocks.
 */
public final class VersionLog {
    /** A change that is proposed: to the version {@code base}, as a whole new text, by somebody; the id is the proposal's own. */
    public record Proposal(String id, long base, String by, String text) implements Serializable {}

    /** One version. */
    public record Version(long number, String id, String by, String text) implements Serializable {}

    /** What became of a proposal: the number of its version, or why it was refused. */
    public record Outcome(boolean taken, long version, String reason) implements Serializable {}

    /** Versions that are kept for the history; a proposal that is repeated later than so many is refused as of an old base. */
    public static final int KEPT = 16;

    private final Deque<Version> versions = new ArrayDeque<>();

    /** The newest version, null before the first. */
    public Version newest() {
        return versions.peekLast();
    }

    /** The last versions, oldest first; the text of the newest alone is kept. */
    public List<Version> history() {
        return List.copyOf(versions);
    }

    /** Takes a proposal or refuses it. One that was taken before is told so again: a lost answer may be asked for anew. */
    public Outcome decide(Proposal proposal) {
        for (Version each : versions) {
            if (each.id().equals(proposal.id())) {
                return new Outcome(true, each.number(), "");
            }
        }
        Version newest = newest();
        long number = newest == null ? 0 : newest.number();
        if (proposal.base() != number) {
            return new Outcome(
                    false,
                    number,
                    "it changes version " + proposal.base() + ", but version " + number
                            + (newest == null ? "" : " by " + newest.by()) + " is in force");
        }
        if (newest != null) {
            versions.removeLast();
            versions.addLast(new Version(number, newest.id(), newest.by(), ""));
        }
        versions.addLast(new Version(number + 1, proposal.id(), proposal.by(), proposal.text()));
        if (versions.size() > KEPT) {
            versions.removeFirst();
        }
        return new Outcome(true, number + 1, "");
    }

    /** Goes on from versions that another voter had, oldest first. */
    public void restore(List<Version> from) {
        versions.clear();
        versions.addAll(from);
    }
}
