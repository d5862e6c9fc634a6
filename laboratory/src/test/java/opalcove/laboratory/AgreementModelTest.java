package opalcove.laboratory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import opalcove.configlease.LeaseState;
import org.testng.annotations.Test;

/** Agreed versions in virtual time: the hard cases, and drawn faults by seed. Clocks are off by 200 ms either way. */
public class AgreementModelTest {
    private static final long LEASE = 2000;

    private static AgreementModel fleet(long seed, int gateways, int voters) {
        AgreementModel model = new AgreementModel(seed, gateways, voters, LEASE, 200);
        model.run(5000);
        assertTrue(model.leader() != null, "a voter leads");
        AgreementModel.Proposed first = model.propose("g1", 0, "one");
        model.run(3000);
        assertTrue(first.accepted(), "the first version is taken");
        assertTrue(model.allActOn(1), model.leaseStates().toString());
        return model;
    }

    private static void holds(AgreementModel model) {
        assertEquals(model.conflicts().conflictsLongerThan(LEASE, model.now()), List.of());
    }

    @Test
    public void aLeaderKilledAmidAVersionLosesNothing() {
        AgreementModel model = fleet(1, 7, 3);
        String leader = model.leader();
        AgreementModel.Proposed second = model.propose(leader, 1, "two");
        model.run(2);
        model.kill(leader);
        model.run(15_000);
        assertTrue(second.accepted(), "whoever leads next answers the proposal, once");
        assertEquals(second.version(), 2);
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        holds(model);
    }

    @Test
    public void aGatewayPausedPastItsLeaseActsStrictlyAndThenOnTheNewest() {
        AgreementModel model = fleet(2, 5, 3);
        model.pause("g5", 3 * LEASE);
        AgreementModel.Proposed second = model.propose("g1", 1, "two");
        model.run(4 * LEASE);
        assertTrue(second.accepted());
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        holds(model);
    }

    @Test
    public void aMinorityCutOffGetsStrictAndDecidesNothing() {
        AgreementModel model = fleet(3, 7, 5);
        String cut = model.leader();
        String fellow = model.names().stream()
                .filter(each -> !each.equals(cut))
                .findFirst()
                .orElseThrow();
        for (String each : model.names()) {
            if (!each.equals(cut) && !each.equals(fellow)) {
                for (String mine : List.of(cut, fellow)) {
                    model.cut(mine, each);
                    model.cut(each, mine);
                }
            }
        }
        AgreementModel.Proposed second = model.propose("g5", 1, "two");
        model.run(3 * LEASE);
        assertTrue(second.accepted(), "the others go on");
        for (String mine : List.of(cut, fellow)) {
            assertEquals(model.leaseStates().get(mine).version(), 1);
            assertEquals(model.leaseStates().get(mine).mode(), LeaseState.Mode.STRICT);
        }
        model.heal();
        model.run(3 * LEASE);
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        holds(model);
    }

    @Test
    public void whomTheLeaderDoesNotReachIsServedPastIt() {
        AgreementModel model = fleet(4, 5, 3);
        model.cut(model.leader(), "g5");
        model.cut(model.leader(), "g4");
        AgreementModel.Proposed second = model.propose("g1", 1, "two");
        model.run(3 * LEASE);
        assertTrue(second.accepted());
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        holds(model);
    }

    @Test
    public void ofTwoChangesAtOnceOneWinsAndTheOtherIsToldWhy() {
        AgreementModel model = fleet(5, 5, 3);
        AgreementModel.Proposed a = model.propose("g1", 1, "mine");
        AgreementModel.Proposed b = model.propose("g2", 1, "yours");
        model.run(3000);
        assertTrue(a.isDecided() && b.isDecided());
        assertTrue(a.accepted() ^ b.accepted(), "one is taken");
        AgreementModel.Proposed lost = a.accepted() ? b : a;
        assertTrue(lost.reason().contains("version 2 by client-"), lost.reason());
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        AgreementModel.Proposed empty = model.propose("g3", 2, "");
        model.run(3000);
        assertFalse(empty.accepted());
        assertEquals(empty.reason(), "it is empty");
        assertTrue(model.allActOn(2), model.leaseStates().toString());
        holds(model);
    }

    /** Drawn faults: loss, repeats, pauses, cuts one way or both, a kill; no contradiction outlives the lease. */
    @Test
    public void noContradictionOutlivesTheLeaseUnderDrawnFaults() throws Exception {
        AgreementTrial.Plan plan = new AgreementTrial.Plan(7, (int) LEASE, 1, 1);
        long longest = 0;
        for (int seed = 100; seed < 150; seed++) {
            AgreementTrial.FaultRun run = AgreementTrial.modelFaults(plan, seed);
            assertEquals(run.wrong(), List.of(), "seed " + seed);
            longest = Math.max(longest, run.longestMs());
        }
        assertTrue(longest > LEASE / 2, "the faults do bring gateways to act on two versions: " + longest);
    }
}
