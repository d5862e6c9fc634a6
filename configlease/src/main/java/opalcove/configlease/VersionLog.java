package opalcove.configlease;

import java.io.Serializable;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The versions of the configuration, as each voter has them: proposals accepted or rejected in the order that the
 * voters agreed on. The same proposals in the same order give the same versions everywhere. Does no I/O and reads no
 * clock; owned by its voter's thread.
 */
public final class VersionLog {
    /**
     * A proposed change. Stored and sent between voters in serialized form.
     *
     * @param proposalId its own id, by which a repetition is recognized
     * @param baseVersion the version that it changes
     * @param author who proposes it
     * @param text the complete new document
     */
    public record Proposal(String proposalId, long baseVersion, String author, String text) implements Serializable {}

    /**
     * One version. Stored and sent between voters in serialized form.
     *
     * @param number its number, from 1
     * @param proposalId the id of its proposal
     * @param author who proposed it
     * @param text its document; empty for all but the newest
     */
    public record Version(long number, String proposalId, String author, String text) implements Serializable {}

    /**
     * The outcome of a proposal.
     *
     * @param accepted whether it became a version
     * @param version the number of its version, or of the version in force if it was rejected
     * @param reason why it was rejected; else empty
     */
    public record Outcome(boolean accepted, long version, String reason) implements Serializable {}

    /**
     * Versions in the history. A proposal that is repeated after more versions than that is rejected, for its base is
     * old.
     */
    public static final int MAX_HISTORY = 16;

    private final Deque<Version> versions = new ArrayDeque<>();

    /** The newest version; null before the first. */
    public Version newest() {
        return versions.peekLast();
    }

    /** The last versions, oldest first; only the newest one has its text. */
    public List<Version> history() {
        return List.copyOf(versions);
    }

    /**
     * Accepts or rejects a proposal. For a repeated one the outcome is repeated: the client may have missed the
     * response.
     */
    public Outcome decide(Proposal proposal) {
        for (Version version : versions) {
            if (version.proposalId().equals(proposal.proposalId())) {
                return new Outcome(true, version.number(), "");
            }
        }
        Version newest = newest();
        long newestNumber = newest == null ? 0 : newest.number();
        if (proposal.baseVersion() != newestNumber) {
            return new Outcome(
                    false,
                    newestNumber,
                    "it changes version " + proposal.baseVersion() + ", but version " + newestNumber
                            + (newest == null ? "" : " by " + newest.author()) + " is in force");
        }
        if (newest != null) {
            versions.removeLast();
            versions.addLast(new Version(newestNumber, newest.proposalId(), newest.author(), ""));
        }
        versions.addLast(new Version(newestNumber + 1, proposal.proposalId(), proposal.author(), proposal.text()));
        if (versions.size() > MAX_HISTORY) {
            versions.removeFirst();
        }
        return new Outcome(true, newestNumber + 1, "");
    }

    /** Replaces the versions by those of another voter, oldest first. */
    public void restore(List<Version> snapshotVersions) {
        versions.clear();
        versions.addAll(snapshotVersions);
    }
}
