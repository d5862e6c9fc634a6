package opalcove.laboratory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import opalcove.configlease.LeaseState;
import org.testng.annotations.Test;

/**
 * Checks in virtual time that gateways do not act on different versions for longer than a lease, in chosen cases and under
 * random faults by seed. Clocks are up to 200 ms fast or slow.
 */
public class AgreementModelTest {
    private static final long LEASE_MS = 2000;

    private static AgreementModel startFleet(long seed, int gateways, int voters) {
        AgreementModel model = new AgreementModel(seed, gateways, voters, LEASE_MS, 200);
        model.run(5000);
        assertTrue(model.leader() != null, "there is a leader");
        AgreementModel.Proposed first = model.propose("g1", 0, "one");
        model.run(3000);
        assertTrue(first.accepted(), "the first version is accepted");
        assertTrue(model.allActOn(1), model.leaseStates().toString());
        return model;
    }

    private static void assertNoConflictLongerThanLease(AgreementModel model) {
        assertEquals(model.conflicts().conflictsLongerThan(LEASE_MS, model.now()), List.of());
    }

    @Test
    public void losesNoProposalWhenLeaderIsKilledDuringReplication() {
        AgreementModel model = startFleet(1, 7, 3);
        String leader = model.leader();
        AgreementModel.Proposed second = model.propose(leader, 1, "two");
        model.run(2);
        model.kill(leader);
        model.run(15_000);
        assertTrue(second.accepted(), "the next leader decides the proposal, once");
        assertEquals(second.version(), 2);
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        assertNoConflictLongerThanLease(model);
    }

    @Test
    public void adoptsNewestVersionAfterPauseLongerThanLease() {
        AgreementModel model = startFleet(2, 5, 3);
        model.pause("g5", 3 * LEASE_MS);
        AgreementModel.Proposed second = model.propose("g1", 1, "two");
        model.run(4 * LEASE_MS);
        assertTrue(second.accepted());
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        assertNoConflictLongerThanLease(model);
    }

    @Test
    public void becomesStrictAndDecidesNothingWhenCutOffInMinority() {
        AgreementModel model = startFleet(3, 7, 5);
        String leader = model.leader();
        String follower = model.names().stream()
                .filter(each -> !each.equals(leader))
                .findFirst()
                .orElseThrow();
        for (String each : model.names()) {
            if (!each.equals(leader) && !each.equals(follower)) {
                for (String isolated : List.of(leader, follower)) {
                    model.cut(isolated, each);
                    model.cut(each, isolated);
                }
            }
        }
        AgreementModel.Proposed second = model.propose("g5", 1, "two");
        model.run(3 * LEASE_MS);
        assertTrue(second.accepted(), "the majority accepts the proposal");
        for (String isolated : List.of(leader, follower)) {
            assertEquals(model.leaseStates().get(isolated).version(), 1);
            assertEquals(model.leaseStates().get(isolated).mode(), LeaseState.Mode.STRICT);
        }
        model.heal();
        model.run(3 * LEASE_MS);
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        assertNoConflictLongerThanLease(model);
    }

    @Test
    public void adoptsVersionWhenMessagesFromLeaderAreCut() {
        AgreementModel model = startFleet(4, 5, 3);
        model.cut(model.leader(), "g5");
        model.cut(model.leader(), "g4");
        AgreementModel.Proposed second = model.propose("g1", 1, "two");
        model.run(3 * LEASE_MS);
        assertTrue(second.accepted());
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        assertNoConflictLongerThanLease(model);
    }

    @Test
    public void acceptsOneChangeAndRejectsOtherWithReasonWhenBothHaveSameBase() {
        AgreementModel model = startFleet(5, 5, 3);
        AgreementModel.Proposed a = model.propose("g1", 1, "mine");
        AgreementModel.Proposed b = model.propose("g2", 1, "yours");
        model.run(3000);
        assertTrue(a.isDecided() && b.isDecided());
        assertTrue(a.accepted() ^ b.accepted(), "exactly one is accepted");
        AgreementModel.Proposed rejected = a.accepted() ? b : a;
        assertTrue(rejected.reason().contains("version 2 by client-"), rejected.reason());
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        AgreementModel.Proposed empty = model.propose("g3", 2, "");
        model.run(3000);
        assertFalse(empty.accepted());
        assertEquals(empty.reason(), "it is empty");
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        assertNoConflictLongerThanLease(model);
    }

    /** The random faults are lost and duplicated messages, pauses, cuts in one or both directions, and one kill. */
    @Test
    public void hasNoConflictLongerThanLeaseUnderRandomFaults() throws Exception {
        AgreementTrial.Plan plan = new AgreementTrial.Plan(7, (int) LEASE_MS, 1, 1);
        long longestMs = 0;
        for (int seed = 100; seed < 150; seed++) {
            AgreementTrial.FaultRun run = AgreementTrial.modelFaults(plan, seed);
            assertEquals(run.wrong(), List.of(), "seed " + seed);
            longestMs = Math.max(longestMs, run.longestMs());
        }
        assertTrue(longestMs > LEASE_MS / 2, "the faults make gateways act on two versions at once: " + longestMs);
    }
}
