package opalcove.replication;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import opalcove.configlease.VersionLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that voters recover from faults of their own, in virtual time. */
public class VoterRecoveryTest {
    /** Longer than an election, and longer than a voter takes to rejoin. */
    private static final long SETTLE_MS = 20_000;
    /** Shorter than the time after which the other voters consider a leader lost. */
    private static final long BELOW_HEARTBEAT_TIMEOUT_MS = 1_000;
    /** This many proposals, together with the entry of the first term, trigger a snapshot. */
    private static final int PROPOSALS_TO_SNAPSHOT = 7;

    /** A disk whose writes fail while it is full. */
    private static final class Disk implements FileOperations {
        private boolean isFull;

        @Override
        public void write(Path name, ByteBuffer bytes) throws IOException {
            if (isFull) {
                throw new IOException("No space left on device");
            }
            FileOperations.REAL.write(name, bytes);
        }

        @Override
        public void sync(Path name) throws IOException {
            FileOperations.REAL.sync(name);
        }

        @Override
        public void createAlias(Path alias, Path existing) throws IOException {
            FileOperations.REAL.createAlias(alias, existing);
        }

        @Override
        public void rename(Path source, Path target) throws IOException {
            FileOperations.REAL.rename(source, target);
        }
    }

    private Map<String, Disk> disks;
    private VirtualVoters voters;
    private int proposals;

    @BeforeMethod
    public void startVoters() throws IOException {
        Path folder = Files.createTempDirectory("voters");
        disks = new LinkedHashMap<>();
        proposals = 0;
        Map<String, RaftVoterStore> stores = new LinkedHashMap<>();
        for (String name : VirtualVoters.NAMES) {
            disks.put(name, new Disk());
            stores.put(name, RaftVoterStore.open(disks.get(name), folder.resolve(name)));
        }
        voters = new VirtualVoters(stores, (from, message) -> {});
    }

    private VersionLog.Proposal nextProposal() {
        proposals++;
        return new VersionLog.Proposal("id-" + proposals, proposals - 1, "ops", "text " + proposals);
    }

    private void proposeNext() {
        VersionLog.Outcome outcome = voters.propose(nextProposal());
        assertEquals(outcome, new VersionLog.Outcome(true, proposals, ""));
    }

    private static List<String> others(String name) {
        return VirtualVoters.NAMES.stream().filter(each -> !each.equals(name)).toList();
    }

    /** Guards against a leader that no longer counts itself for a majority after a write of its state has failed. */
    @Test
    public void leaderDecidesWithOneOtherVoterAfterItsDiskWasFull() {
        String leader = voters.awaitLeader();
        proposeNext();
        disks.get(leader).isFull = true;
        proposeNext();
        voters.runFor(BELOW_HEARTBEAT_TIMEOUT_MS);
        disks.get(leader).isFull = false;
        voters.runFor(SETTLE_MS);
        voters.isolate(others(leader).get(0));
        proposeNext();
    }

    /** Guards against reads that wait forever for a query that the terminated node never completes. */
    @Test
    public void failsPendingReadWhenLeaderCannotWriteItsState() {
        String leader = voters.awaitLeader();
        proposeNext();
        List<String> reads = new ArrayList<>();
        disks.get(leader).isFull = true;
        proposeNext();
        voters.voter(leader).readNewest(newest -> reads.add("answered"), () -> reads.add("failed"));
        voters.runFor(SETTLE_MS);
        disks.get(leader).isFull = false;
        voters.runFor(SETTLE_MS);
        assertEquals(reads, List.of("failed"));
    }

    /** Guards against a follower that cannot recover after a failed write has aborted the handling of a request. */
    @Test
    public void followerVotesAndReplicatesAfterItsDiskWasFull() {
        String leader = voters.awaitLeader();
        String follower = others(leader).get(0);
        proposeNext();
        disks.get(follower).isFull = true;
        proposeNext();
        voters.runFor(SETTLE_MS);
        disks.get(follower).isFull = false;
        voters.runFor(SETTLE_MS);
        voters.isolate(others(leader).get(1));
        proposeNext();
        voters.runFor(SETTLE_MS);
        assertEquals(voters.voter(follower).history().size(), proposals);
    }

    /** Guards against a former leader that rejects all entries because its own entries after a snapshot differ. */
    @Test
    public void voterCatchesUpWhenEntriesAfterItsSnapshotDifferFromLeader() {
        String formerLeader = voters.awaitLeader();
        for (int i = 0; i < PROPOSALS_TO_SNAPSHOT; i++) {
            proposeNext();
        }
        voters.isolate(formerLeader);
        Set<String> failedProposals = new TreeSet<>();
        for (String each : List.of("lost-1", "lost-2")) {
            voters.voter(formerLeader)
                    .propose(
                            new VersionLog.Proposal(each, proposals, "ops", each),
                            outcome -> failedProposals.add("decided: " + outcome),
                            () -> failedProposals.add(each));
        }
        proposeNext();
        voters.reconnectAll();
        voters.runFor(SETTLE_MS);
        proposeNext();
        voters.runFor(SETTLE_MS);
        assertEquals(failedProposals, Set.of("lost-1", "lost-2"));
        for (String each : VirtualVoters.NAMES) {
            assertEquals(
                    voters.voter(each).history(),
                    voters.voter(others(formerLeader).get(0)).history(),
                    each);
        }
        voters.isolate(others(formerLeader).get(0));
        proposeNext();
    }
}
