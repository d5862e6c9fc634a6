package opalcove.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import opalcove.configlease.VersionLog;
import org.testng.annotations.Test;

/** Tests elections among voters in virtual time. */
public class VoterElectionTest {
    /** Longer than a restarted voter takes to receive a message from its leader. */
    private static final long REJOIN_MS = 5_000;

    /** Guards against voters that do not detect the loss of a leader that they found during a pre-vote. */
    @Test
    public void electsNewLeaderWhenLeaderFoundDuringPreVoteIsLost() throws IOException {
        Path folder = Files.createTempDirectory("voters");
        Map<String, RaftVoterStore> stores = new LinkedHashMap<>();
        for (String name : VirtualVoters.NAMES) {
            stores.put(name, RaftVoterStore.open(folder.resolve(name)));
        }
        VirtualVoters voters = new VirtualVoters(stores, (from, message) -> {});
        String lostLeader = voters.awaitLeader();
        voters.propose(new VersionLog.Proposal("id-1", 0, "ops", "one"));
        for (String name : VirtualVoters.NAMES) {
            if (!name.equals(lostLeader)) {
                voters.restart(name, RaftVoterStore.open(folder.resolve(name)));
                voters.runFor(REJOIN_MS);
                assertEquals(voters.voter(name).leader(), lostLeader, name);
            }
        }
        voters.isolate(lostLeader);
        assertNotEquals(voters.awaitLeader(), lostLeader);
        assertEquals(
                voters.propose(new VersionLog.Proposal("id-2", 1, "ops", "two")), new VersionLog.Outcome(true, 2, ""));
    }
}
