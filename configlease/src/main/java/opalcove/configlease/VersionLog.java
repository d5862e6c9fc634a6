package opalcove.configlease;

import java.io.Serializable;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The configuration versions of one voter. The log accepts or rejects proposals in the order that the voters agreed on,
 * and is deterministic: the same proposals in the same order produce the same versions on every voter. It does no I/O
 * and reads no clock. Not thread-safe; owned by its voter's thread.
 */
public final class VersionLog {
    /**
     * A proposed change of the configuration. Stored, and sent between voters, in serialized form.
     *
     * @param proposalId the unique id of the proposal, which identifies a repeated proposal
     * @param baseVersion the number of the version that the proposal replaces; 0 for the first version
     * @param author the name of the proposer
     * @param text the complete new document
     */
    public record Proposal(String proposalId, long baseVersion, String author, String text) implements Serializable {}

    /**
     * A version of the configuration. Stored, and sent between voters, in serialized form.
     *
     * @param number the number of the version; the first one is 1
     * @param proposalId the id of the proposal that became this version
     * @param author the name of the proposer
     * @param text the document; empty for all versions but the newest
     */
    public record Version(long number, String proposalId, String author, String text) implements Serializable {}

    /**
     * The outcome of a proposal.
     *
     * @param accepted whether the proposal became a version
     * @param version the number of the version that the proposal became, or of the version in effect if it was rejected
     * @param reason why the proposal was rejected; empty if it was accepted
     */
    public record Outcome(boolean accepted, long version, String reason) implements Serializable {}

    /**
     * Maximum number of versions in the history. A proposal that is repeated after more versions than that is no longer
     * recognized, and is rejected because its base version is not the newest.
     */
    public static final int MAX_HISTORY = 16;

    private final Deque<Version> versions = new ArrayDeque<>();

    /** Returns the newest version; null before the first. */
    public Version newest() {
        return versions.peekLast();
    }

    /** Returns the last versions, oldest first; only the newest one has its text. */
    public List<Version> history() {
        return List.copyOf(versions);
    }

    /**
     * Accepts or rejects a proposal. For an accepted proposal that is repeated it returns the same outcome again,
     * because the client may have missed the response.
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

    /** Replaces all versions with those of a snapshot, oldest first; the snapshot may come from another voter. */
    public void restore(List<Version> snapshotVersions) {
        versions.clear();
        versions.addAll(snapshotVersions);
    }
}
